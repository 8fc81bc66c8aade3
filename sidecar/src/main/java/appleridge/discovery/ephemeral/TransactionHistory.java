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
        GOES_ON,
        /** A server that lags. */
        OLDER,
        /** The past is lost, and nothing has come in its place. */
        LOST,
        /** The past is lost, and this has come in its place. */
        ANEW
    }

    /**
     * A server that lags for so long is no part of its ensemble any more. Danger: taken for a new
     * beginning, what it has not heard of yet would undo what was told.
     */
    private static final long LONGEST_LAG = TimeUnit.SECONDS.toNanos(15);

    private static final long NEVER = Long.MAX_VALUE;

    private long seen;

    /**
     * The highest that events of the present connection told of: no server runs back on one
     * connection.
     */
    private long seenOnConnection;

    private long olderSince = NEVER;
    private boolean newSession;
    private boolean lost;

    /** Something was told of this transaction. */
    void saw(long zxid) {
        if (lost) {
            return;
        }
        seen = Math.max(seen, zxid);
        seenOnConnection = Math.max(seenOnConnection, zxid);
    }

    /** What comes now may come from another server. */
    void connected() {
        seenOnConnection = 0;
    }

    /** Whether an event may be part of what was told long ago; also where nothing tells. */
    boolean isOld(long zxid) {
        return zxid < seen;
    }

    /**
     * The ensemble has ended the session: none of the handles to come knows how far it had come.
     */
    void sessionEnded() {
        newSession = true;
        olderSince = NEVER;
    }

    /** It is known otherwise that the past is lost. */
    void lose() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** Whatever comes next is right. */
    void forget() {
        seen = 0;
        begin();
    }

    Verdict weigh(long now, long read, boolean holdsEntries) {
        long zxid = Math.max(read, seenOnConnection);
        if (!lost && zxid >= seen) {
            seen = zxid;
            begin();
            return Verdict.GOES_ON;
        }
        olderSince = Math.min(olderSince, now);
        // A session that goes on proves that the ensemble has its past: servers refuse who has seen
        // more.
        lost |= newSession && now - olderSince >= LONGEST_LAG;
        if (!lost) {
            return Verdict.OLDER;
        }
        if (!holdsEntries) {
            return Verdict.LOST;
        }
        seen = zxid;
        begin();
        return Verdict.ANEW;
    }

    private void begin() {
        lost = false;
        newSession = false;
        olderSince = NEVER;
    }
}
