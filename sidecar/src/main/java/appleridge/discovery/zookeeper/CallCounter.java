package appleridge.discovery.zookeeper;

/**
 * Counts calls to the ensemble and their responses, to tell a server that answers nothing. Not
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

    /** Whether a call has no response yet. */
    boolean isWaiting() {
        return sent > answered;
    }

    /** Responses so far. */
    long answered() {
        return answered;
    }
}
