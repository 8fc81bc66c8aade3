package appleridge.loadbalancing;

/** Checks of the settings' values. */
final class Preconditions {
    private Preconditions() {}

    /**
     * Throws unless a condition holds.
     *
     * @param setting name of the setting
     * @param value its value
     * @param allowed the allowed range, or what else it has to be
     * @throws IllegalArgumentException if the condition does not hold; the message names all three
     */
    static void require(boolean holds, String setting, Object value, String allowed) {
        if (!holds) {
            throw new IllegalArgumentException(
                    "setting " + setting + " is " + value + ", must be " + allowed);
        }
    }

    /** Throws unless a whole number is 0 or more. */
    static void requireNotNegative(long value, String setting) {
        require(value >= 0, setting, value, "0 or more");
    }
}
