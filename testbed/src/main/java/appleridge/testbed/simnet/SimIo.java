package appleridge.testbed.simnet;

/** A channel as its loop sees it. */
interface SimIo {
    /** Whether there is something to do that its owner is interested in. */
    boolean isReady();

    void handle();

    /** Whether the loop has it on its list; kept for the loop. */
    boolean isListed();

    void listed(boolean now);

    /** Its process is dead. */
    void forget();
}
