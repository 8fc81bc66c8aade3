package appleridge.lease;

/** A parameter of a lease is outside the range in which the lease is safe. */
public final class InvalidLeaseParameterException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Names what is wrong.
     *
     * @param parameter its name in the code
     * @param value what was given
     * @param min the smallest allowed value
     * @param max the largest allowed value
     */
    InvalidLeaseParameterException(String parameter, long value, long min, long max) {
        super(parameter + " is " + value + "; allowed: " + min + " to " + max);
    }
}
