package appleridge.handover;

/** How far a process is. */
public enum Phase {
    /** It can't serve yet. */
    STARTING,
    /** It serves. */
    SERVING,
    /** It accepts no more, and answers what it holds. */
    ENDING
}
