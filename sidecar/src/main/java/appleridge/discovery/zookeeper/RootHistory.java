package appleridge.discovery.zookeeper;

/**
 * What any handle was told of the root so far, to tell an ensemble that was wiped: its root was
 * made by another transaction, and its transactions run back. Thread-safe.
 */
final class RootHistory {
    private long rootCzxid;
    private long highestZxid;

    /** Some node was changed by this transaction. */
    synchronized void onZxid(long zxid) {
        highestZxid = Math.max(highestZxid, zxid);
    }

    /** The root was read; whether that shows the ensemble to have been wiped. */
    synchronized boolean isWiped(long czxid, long latestZxid) {
        boolean wiped = rootCzxid != 0 && czxid != rootCzxid && latestZxid < highestZxid;
        if (wiped) {
            highestZxid = latestZxid;
        }
        rootCzxid = czxid;
        return wiped;
    }
}
