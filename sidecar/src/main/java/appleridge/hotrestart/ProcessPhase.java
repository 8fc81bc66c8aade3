package appleridge.hotrestart;

/** How far a process is. */
public enum ProcessPhase {
    /** It can't serve yet. */
    STARTING("STARTING"),
    /** It serves. */
    SERVING("SERVING"),
    /** It accepts no more, and answers what it holds. */
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
