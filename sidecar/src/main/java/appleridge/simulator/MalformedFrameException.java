package appleridge.simulator;

/** Input that breaks the wire's format; the message says what and where. */
final class MalformedFrameException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
