package appleridge.loadbalancing;

/** Checks of setting values. */
final class Preconditions {
    private Preconditions() {}

    /**
     * Throws unless a condition holds.
     *
     * @param setting name of the setting
     * @param value the value of the setting
     * @param allowed the allowed range or values, to follow "must be"
     * @throws IllegalArgumentException if the condition does not hold; the message names setting,
     *     value and allowed range
     */
    static void require(boolean holds, String setting, Object value, String allowed) {
        if (!holds) {
            throw new IllegalArgumentException(
                    "setting " + setting + " is " + value + ", must be " + allowed);
        }
    }

    /** Throws unless the value is 0 or more. */
    static void requireNotNegative(long value, String setting) {
        require(value >= 0, setting, value, "0 or more");
    }
}
