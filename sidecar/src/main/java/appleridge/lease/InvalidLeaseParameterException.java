package appleridge.lease;

/** A parameter of a lease is outside the range in which the lease is safe. */
public final class InvalidLeaseParameterException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception; its message names the parameter, the value and the allowed range.
     *
     * @param parameter the parameter's name in the code
     * @param value the rejected value
     * @param min the smallest allowed value
     * @param max the largest allowed value
     */
    InvalidLeaseParameterException(String parameter, long value, long min, long max) {
        super(parameter + " is " + value + "; allowed: " + min + " to " + max);
    }
}
