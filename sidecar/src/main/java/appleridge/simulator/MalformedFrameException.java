package appleridge.simulator;

/** Input that violates the simulator's wire protocol; the message says what is wrong and where. */
final class MalformedFrameException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
