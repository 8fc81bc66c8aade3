package appleridge.loadbalancing;

/** Checks of the settings' values. */
final class Preconditions {
    private Preconditions() {}

    /**
     * Throws unless a condition holds.
     *
     * @param setting the name of the setting that the message tells
     * @throws IllegalArgumentException if the condition does not hold
     */
    static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting makes no sense: " + setting);
        }
    }
}
