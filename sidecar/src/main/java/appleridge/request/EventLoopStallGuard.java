package appleridge.request;

import java.util.concurrent.TimeUnit;

/**
 * Derives from the times of events alone how late the event loop is: for how long nothing was
 * handled, and for how long what is read now may have waited unread. It only answers; {@link
 * StallReconciler} acts.
 *
 * <p>Invariant: what came while the loop was late is not handled as if it had just come. All times
 * are nanoseconds on the loop's own clock. Event loop only.
 */
final class EventLoopStallGuard {
    /**
     * The longest gap between events after which discovery need not be caught up with; half of the
     * drain grace, if that is less.
     */
    private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * After a gap of so much the loop counts as late; for as long afterwards, what is read may have
     * come within the gap.
     */
    private static final long LATE_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * For no longer may clients' input stay unread: no attempt may begin more than 0.1 s after its
     * client has left. Twice the interval from one {@link #onAllInputRead} to the next, so that a
     * quiet loop checks no clients.
     */
    private static final long MAX_UNREAD_INPUT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    /** For so long after a stall, what is read may have waited since before it. */
    private static final long AFTER_STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long stallThresholdNanos;
    private long lastEventNanos;
    private long gapNanos;
    private boolean stalled;
    private boolean clientsUnchecked;
    private long lastStallNanos;

    /** The last event before the loop was late. */
    private long lateFromNanos;

    /** The first event after the loop was late. */
    private long lateUntilNanos;

    /** The first event after the first of several late turns in a row. */
    private long lateSinceNanos;

    /** When all input had last been read, or all clients been checked. */
    private long allReadAtNanos;

    /** When all clients were last checked because the loop was late. */
    private long clientsCheckedAtNanos;

    /**
     * Begins to watch.
     *
     * @param now the time
     * @param drainGraceNanos within which a discovery update has to take effect
     */
    EventLoopStallGuard(long now, long drainGraceNanos) {
        this.stallThresholdNanos =
                Math.min(MAX_GAP_NANOS, Math.max(LATE_GAP_NANOS, drainGraceNanos / 2));
        this.lastEventNanos = now;
        this.allReadAtNanos = now;
        this.lastStallNanos = now - AFTER_STALL_NANOS;
        this.lateUntilNanos = now - AFTER_STALL_NANOS;
        this.clientsCheckedAtNanos = now - AFTER_STALL_NANOS;
    }

    /** An event is about to be handled; the other methods answer as of this event. */
    void observe(long now) {
        gapNanos = now - lastEventNanos;
        stalled = gapNanos > stallThresholdNanos;
        if (stalled) {
            lastStallNanos = now;
        }
        if (gapNanos > LATE_GAP_NANOS) {
            noteLate(now);
        }
        // A long turn in which many events follow each other closely has no gap, and yet what is
        // read last in it has waited for as long as all of it took.
        clientsUnchecked =
                gapNanos > MAX_UNREAD_INPUT_NANOS || now - allReadAtNanos > MAX_UNREAD_INPUT_NANOS;
        if (clientsUnchecked) {
            clientsCheckedAtNanos = now;
            allReadAtNanos = now;
        }
        lastEventNanos = now;
    }

    /**
     * A loop that is late again soon after has not yet read all that came before: connections are
     * accepted four at a time, and a new one's request is read one turn later. A loop that is late
     * for good has read it; else all that it reads would count as too old.
     */
    private void noteLate(long now) {
        boolean again = lastEventNanos - lateUntilNanos < LATE_GAP_NANOS;
        if (!again) {
            lateSinceNanos = now;
        }
        if (!again || now - lateSinceNanos >= AFTER_STALL_NANOS) {
            lateFromNanos = lastEventNanos;
        }
        lateUntilNanos = now;
    }

    /** A timer has fired, so all input that was there before it has been read. */
    void onAllInputRead() {
        allReadAtNanos = lastEventNanos;
    }

    /** The time of the last event. */
    long lastEventNanos() {
        return lastEventNanos;
    }

    /** The time between the last event and the one before. */
    long gapNanos() {
        return gapNanos;
    }

    /** Whether the last event came after a stall after which discovery has to be caught up with. */
    boolean isStalled() {
        return stalled;
    }

    /**
     * Whether a client may have left unnoticed, so that clients are to be checked before anything
     * is sent.
     */
    boolean mayHaveMissedClients() {
        return clientsUnchecked;
    }

    /**
     * Whether what is read from clients now may have waited unread, and its client have left since.
     */
    boolean mayHaveWaited() {
        return lastEventNanos - lastStallNanos < AFTER_STALL_NANOS
                || lastEventNanos - clientsCheckedAtNanos < LATE_GAP_NANOS;
    }

    /**
     * Since when what is read from clients now may have been there: soon after the loop was late,
     * since the last event before that. Counted from its reading instead, a request that waited
     * would be answered as much later than its client waits for it.
     */
    long earliestArrivalNanos() {
        return lastEventNanos - lateUntilNanos < LATE_GAP_NANOS ? lateFromNanos : lastEventNanos;
    }
}
