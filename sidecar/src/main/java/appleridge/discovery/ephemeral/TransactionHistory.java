package appleridge.discovery.ephemeral;

import java.util.concurrent.TimeUnit;

/**
 * Judges a state that was read by the ensemble's transaction numbers: newer than what was notified
 * before, older, or of an ensemble that has lost its past. Not thread-safe; times are nanoseconds
 * on the loop's clock.
 */
final class TransactionHistory {
    /** What a state that was read is to what was notified before. */
    enum Verdict {
        /** No older: it holds, and what it leaves out is gone. */
        CURRENT,
        /** A server that lags. */
        OLDER,
        /** The past is lost, and nothing has come in its place. */
        LOST,
        /** The past is lost, and this has come in its place. */
        RESTARTED
    }

    /**
     * A server that lags for longer is no part of its ensemble any more. A shorter limit would take
     * a lagging server's state for a new history, and undo changes that were notified.
     */
    private static final long MAX_REPLICA_LAG_NANOS = TimeUnit.SECONDS.toNanos(15);

    private static final long NEVER = Long.MAX_VALUE;

    private long highestZxid;

    /**
     * The highest that events of the present connection told of: no server runs back on one
     * connection.
     */
    private long connectionZxid;

    private long staleSinceNanos = NEVER;
    private boolean newSession;
    private boolean lost;

    /** An event named this transaction. */
    void onEvent(long zxid) {
        if (lost) {
            return;
        }
        highestZxid = Math.max(highestZxid, zxid);
        connectionZxid = Math.max(connectionZxid, zxid);
    }

    /** What comes now may come from another server. */
    void onConnected() {
        connectionZxid = 0;
    }

    /** Whether an event may be older than what was notified before. */
    boolean mayPredate(long zxid) {
        return zxid < highestZxid;
    }

    /**
     * The ensemble has ended the session: none of the handles to come knows how far it had come.
     */
    void onSessionExpired() {
        newSession = true;
        staleSinceNanos = NEVER;
    }

    /** It is known from the root that the past is lost. */
    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** An operator says that whatever comes next is right. */
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
        // A session that goes on proves that the ensemble has its past: servers refuse who has seen
        // more.
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
