package appleridge.hotrestart;

/**
 * The phase in the life of one process of a sidecar. State files contain its {@link #storedName}.
 */
public enum ProcessPhase {
    /** The process is not ready yet. */
    STARTING("STARTING"),
    /** The process is ready and accepts connections. */
    SERVING("SERVING"),
    /**
     * The process accepts no new connections and finishes open requests. Stored as {@code ENDING},
     * the name that other versions read.
     */
    DRAINING("ENDING");

    private final String storedName;

    ProcessPhase(String storedName) {
        this.storedName = storedName;
    }

    /** The name of this phase in a state file. */
    public String storedName() {
        return storedName;
    }

    /**
     * Returns the phase with the given name in a state file.
     *
     * @throws IllegalArgumentException if no phase has this name
     */
    public static ProcessPhase ofStoredName(String name) {
        for (ProcessPhase phase : values()) {
            if (phase.storedName.equals(name)) {
                return phase;
            }
        }
        throw new IllegalArgumentException("unknown process phase: " + name);
    }
}
