package appleridge.transport;

/** What an event loop knows of its own turns. Event loop only. */
public interface LoopActivity {
    /** The age that stands for an unknown one: longer than any process runs. */
    long UNKNOWN_NANOS = Long.MAX_VALUE / 4;

    /** A loop that neither counts its turns nor knows what it has read. */
    LoopActivity UNKNOWN =
            new LoopActivity() {
                @Override
                public long turnCount() {
                    return 0;
                }

                @Override
                public long maxUnreadInputNanos() {
                    return UNKNOWN_NANOS;
                }
            };

    /** Returns the number of turns of the loop since its start; each polls for events once. */
    long turnCount();

    /**
     * Returns for how long input that has not been read yet may have been there: the time since the
     * last poll after which all channels that it found ready were handled. A handler sees the poll
     * before the one that it is called for. {@link #UNKNOWN_NANOS} if there was none.
     */
    long maxUnreadInputNanos();
}
