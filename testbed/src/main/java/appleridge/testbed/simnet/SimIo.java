package appleridge.testbed.simnet;

/** A channel as seen by its event loop. */
interface SimIo {
    /** Whether an I/O event is pending that the channel is interested in. */
    boolean isReady();

    /** Handles the pending I/O events. */
    void handle();

    /** Whether the channel is in the loop's ready list; maintained by the loop. */
    boolean isQueued();

    void queued(boolean now);

    /** Detaches the channel because its process has died. */
    void forget();
}
