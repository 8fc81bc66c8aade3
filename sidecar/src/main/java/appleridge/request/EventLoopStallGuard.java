package appleridge.request;

import java.util.concurrent.TimeUnit;

/**
 * Computes from the times of events how late the event loop is: for how long no event was handled,
 * and for how long the input that is read now may have waited unread. It takes no action itself;
 * {@link StallReconciler} acts on it.
 *
 * <p>Invariant: input that arrived while the loop was late is not handled as if it had just
 * arrived. All times are nanoseconds on the loop's own clock. Event loop only.
 */
final class EventLoopStallGuard {
    /**
     * The longest gap between events after which pending discovery updates need not be read; half
     * of the drain grace, if that is less.
     */
    private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * The loop is late after a longer gap between events. For the same time after the gap, input
     * that is read may have arrived within the gap.
     */
    private static final long LATE_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * The longest time that clients' input may stay unread: no attempt may begin more than 0.1 s
     * after its client has disconnected. It is twice the interval between two calls of {@link
     * #onAllInputRead}, so that an idle loop checks no clients.
     */
    private static final long MAX_UNREAD_INPUT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    /** The time after a stall in which input that is read may have arrived before its end. */
    private static final long AFTER_STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long stallThresholdNanos;
    private long lastEventNanos;
    private long gapNanos;
    private boolean stalled;
    private boolean clientsUnchecked;
    private long lastStallNanos;

    /** The last event before the loop was late: the start of the latest late span. */
    private long lateStartNanos;

    /** The first event after the loop was late: the end of the latest late turn. */
    private long lateEndNanos;

    /** The end of the first of several late turns in a row. */
    private long firstLateEndNanos;

    /** When all input had been read, or all clients been checked, for the last time. */
    private long allReadAtNanos;

    /** When all clients were last checked because the loop was late. */
    private long clientsCheckedAtNanos;

    /**
     * Creates a guard that sees the loop as on time.
     *
     * @param now the current time
     * @param drainGraceNanos the time within which a discovery update has to take effect
     */
    EventLoopStallGuard(long now, long drainGraceNanos) {
        this.stallThresholdNanos =
                Math.min(MAX_GAP_NANOS, Math.max(LATE_GAP_NANOS, drainGraceNanos / 2));
        this.lastEventNanos = now;
        this.allReadAtNanos = now;
        this.lastStallNanos = now - AFTER_STALL_NANOS;
        this.lateEndNanos = now - AFTER_STALL_NANOS;
        this.clientsCheckedAtNanos = now - AFTER_STALL_NANOS;
    }

    /** Records that an event is about to be handled; the other methods refer to this event. */
    void observe(long now) {
        gapNanos = now - lastEventNanos;
        stalled = gapNanos > stallThresholdNanos;
        if (stalled) {
            lastStallNanos = now;
        }
        if (gapNanos > LATE_GAP_NANOS) {
            recordLateTurn(now);
        }
        // A long turn of many events in close succession has no gap, yet the input that it reads
        // last has waited for the whole turn.
        clientsUnchecked =
                gapNanos > MAX_UNREAD_INPUT_NANOS || now - allReadAtNanos > MAX_UNREAD_INPUT_NANOS;
        if (clientsUnchecked) {
            clientsCheckedAtNanos = now;
            allReadAtNanos = now;
        }
        lastEventNanos = now;
    }

    /**
     * Records that the loop was late up to now. A loop that is late again soon afterwards has not
     * read all earlier input yet, because it accepts connections four at a time and reads a new
     * connection's request one turn later; so the start of the late span stays. A loop that has
     * been late for {@link #AFTER_STALL_NANOS} has read it, so the start moves on; otherwise
     * everything that a permanently late loop reads would count as too old.
     */
    private void recordLateTurn(long now) {
        boolean lateAgain = lastEventNanos - lateEndNanos < LATE_GAP_NANOS;
        if (!lateAgain) {
            firstLateEndNanos = now;
        }
        if (!lateAgain || now - firstLateEndNanos >= AFTER_STALL_NANOS) {
            lateStartNanos = lastEventNanos;
        }
        lateEndNanos = now;
    }

    /** Records that a timer has fired, so that all input that arrived before it has been read. */
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

    /** Whether the last event follows a stall that makes it necessary to read discovery updates. */
    boolean isStalled() {
        return stalled;
    }

    /**
     * Whether a client may have disconnected unnoticed, so that clients have to be checked before
     * anything is sent.
     */
    boolean mayHaveMissedClients() {
        return clientsUnchecked;
    }

    /**
     * Whether input that is read from a client now may have waited unread, so that the client may
     * have disconnected since.
     */
    boolean mayHaveWaited() {
        return lastEventNanos - lastStallNanos < AFTER_STALL_NANOS
                || lastEventNanos - clientsCheckedAtNanos < LATE_GAP_NANOS;
    }

    /**
     * Returns the earliest time at which input that is read from clients now may have arrived: soon
     * after the loop was late, that of the last event before. If the deadline of a request that
     * waited unread were counted from its reading, its response would be late by that wait.
     */
    long earliestArrivalNanos() {
        return lastEventNanos - lateEndNanos < LATE_GAP_NANOS ? lateStartNanos : lastEventNanos;
    }
}
