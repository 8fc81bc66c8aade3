package appleridge.discovery.zookeeper;

/**
 * Counts calls to the ensemble and their responses, to detect an unresponsive server. Not
 * thread-safe: guarded by the owner's lock.
 */
final class CallCounter {
    private long sent;
    private long answered;

    void onSent() {
        sent++;
    }

    void onAnswered() {
        answered++;
    }

    /** Whether a call is in flight. */
    boolean isWaiting() {
        return sent > answered;
    }

    /** Returns the number of responses so far. */
    long answered() {
        return answered;
    }
}
