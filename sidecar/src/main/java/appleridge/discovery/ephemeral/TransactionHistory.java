package appleridge.discovery.ephemeral;

import java.util.concurrent.TimeUnit;

/**
 * Classifies each snapshot by the ensemble's transaction ids: no older than what was notified
 * before, older, or of an ensemble that has lost its history. Not thread-safe; times are
 * nanoseconds on the loop's clock.
 */
final class TransactionHistory {
    /** How a snapshot relates to what was notified before. */
    enum Verdict {
        /** No older: it is valid, and nodes missing from it are gone. */
        CURRENT,
        /** Older: the server lags. */
        OLDER,
        /** The ensemble has lost its history, and holds no nodes yet. */
        LOST,
        /** The ensemble has lost its history, and this snapshot starts a new one. */
        RESTARTED
    }

    /**
     * A server that lags for longer is no longer part of its ensemble. A shorter limit would take a
     * lagging server's state for a new history and undo changes that were notified.
     */
    private static final long MAX_REPLICA_LAG_NANOS = TimeUnit.SECONDS.toNanos(15);

    private static final long NEVER = Long.MAX_VALUE;

    private long highestZxid;

    /**
     * The highest transaction of this connection's events; on one connection a server never goes
     * back.
     */
    private long connectionZxid;

    private long staleSinceNanos = NEVER;
    private boolean newSession;
    private boolean lost;

    /** Notes the transaction of an event. */
    void onEvent(long zxid) {
        if (lost) {
            return;
        }
        highestZxid = Math.max(highestZxid, zxid);
        connectionZxid = Math.max(connectionZxid, zxid);
    }

    /** Starts a new connection, which may be to another server. */
    void onConnected() {
        connectionZxid = 0;
    }

    /** Whether an event of this transaction may be older than what was notified before. */
    boolean mayPredate(long zxid) {
        return zxid < highestZxid;
    }

    /**
     * Notes that the session has expired. Later handles do not know its last transaction, so the
     * ensemble no longer proves by accepting them that it has kept its history.
     */
    void onSessionExpired() {
        newSession = true;
        staleSinceNanos = NEVER;
    }

    /** Notes that the history is lost, as the root shows. */
    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** Makes the next snapshot count as current, as an operator has requested. */
    void trustNext() {
        highestZxid = 0;
        restart();
    }

    Verdict classify(long nowNanos, long snapshotZxid, boolean holdsEntries) {
        long zxid = Math.max(snapshotZxid, connectionZxid);
        if (!lost && zxid >= highestZxid) {
            highestZxid = zxid;
            restart();
            return Verdict.CURRENT;
        }
        staleSinceNanos = Math.min(staleSinceNanos, nowNanos);
        // A session that continues proves that the ensemble has its history: a server rejects a
        // client that has seen a later transaction.
        lost |= newSession && nowNanos - staleSinceNanos >= MAX_REPLICA_LAG_NANOS;
        if (!lost) {
            return Verdict.OLDER;
        }
        if (!holdsEntries) {
            return Verdict.LOST;
        }
        highestZxid = zxid;
        restart();
        return Verdict.RESTARTED;
    }

    private void restart() {
        lost = false;
        newSession = false;
        staleSinceNanos = NEVER;
    }
}
