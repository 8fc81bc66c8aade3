package appleridge.hotrestart;

/** The phase of a process of a sidecar; in state files by its {@link #storedWord}. */
public enum ProcessPhase {
    /** It is not ready yet. */
    STARTING("STARTING"),
    /** It serves. */
    SERVING("SERVING"),
    /** It accepts no connections, and ends what is open. */
    DRAINING("ENDING");

    private final String storedWord;

    ProcessPhase(String storedWord) {
        this.storedWord = storedWord;
    }

    /** The word by which a state file names this phase. */
    public String storedWord() {
        return storedWord;
    }

    /**
     * The phase that a state file names.
     *
     * @throws IllegalArgumentException if no phase has this word
     */
    public static ProcessPhase ofStoredWord(String word) {
        for (ProcessPhase phase : values()) {
            if (phase.storedWord.equals(word)) {
                return phase;
            }
        }
        throw new IllegalArgumentException("unknown phase: " + word);
    }
}
