package appleridge.discovery.zookeeper;

/**
 * Tracks the root over all handles, to detect an ensemble that was wiped: its root was created by
 * another transaction, and its transactions are lower than before. Thread-safe.
 */
final class RootHistory {
    private long rootCzxid;
    private long highestZxid;

    /** Notes the transaction of a change. */
    synchronized void onZxid(long zxid) {
        highestZxid = Math.max(highestZxid, zxid);
    }

    /** Notes a read of the root; whether it shows that the ensemble was wiped. */
    synchronized boolean isWiped(long czxid, long latestZxid) {
        boolean wiped = rootCzxid != 0 && czxid != rootCzxid && latestZxid < highestZxid;
        if (wiped) {
            highestZxid = latestZxid;
        }
        rootCzxid = czxid;
        return wiped;
    }
}
