package appleridge.discovery.ephemeral;

import java.util.concurrent.TimeUnit;

/**
 * What the ensemble's transactions tell of a state that was read: whether it is newer than what was
 * told before, older, or of an ensemble that has lost its past.
 */
final class TransactionHistory {
    /** What a state that was read is to what was told before. */
    enum Verdict {
        /** No older: it holds, and so does what it leaves out. */
        CURRENT,
        /** A server that lags. */
        OLDER,
        /** The past is lost, and nothing has come in its place. */
        LOST,
        /** The past is lost, and this has come in its place. */
        RESTARTED
    }

    /**
     * A server that lags for so long is no part of its ensemble any more. Danger: taken for a new
     * beginning, what it has not heard of yet would undo what was told.
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

    /** Something was told of this transaction. */
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

    /** Whether an event may be part of what was told long ago; also where nothing tells. */
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

    /** It is known otherwise that the past is lost. */
    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** Whatever comes next is right. */
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
