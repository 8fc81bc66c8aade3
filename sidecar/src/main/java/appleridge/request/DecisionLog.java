package appleridge.request;

import java.util.concurrent.TimeUnit;

/**
 * Logs every decision on whether a request is sent, so that it is found by the request's id: many
 * decisions to a line, each with its own time. The number of decisions a second is bounded; what
 * exceeds the bound is counted in the next line. Event loop only.
 */
final class DecisionLog {
    /** What was decided. */
    enum Decision {
        /** The first byte of an attempt is about to be written. */
        BEGUN,
        /** An attempt waits, because nobody knows whether the client is there. */
        WAITING,
        /** An attempt waits, because its host may be draining unknown to this process. */
        WAITING_FOR_LIST,
        /** An attempt was cancelled. */
        CANCELLED,
        /** An attempt ended before its first byte was written. */
        UNSENT,
        /** A request was answered as not executed. */
        REJECTED,
        /** A request failed, or its response broke off. */
        FAILED,
        /** A request ended because its client has disconnected. */
        DISCONNECTED,
        /** A request was dropped before it was accepted. */
        DROPPED;

        private final String label = name().toLowerCase(java.util.Locale.ROOT);
    }

    /** The age of the client's last sign where there has been none. */
    static final long NEVER_SEEN = Long.MAX_VALUE;

    /** The longest time from a decision to its line. */
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long BOUND_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DECISIONS_PER_PERIOD = 5000;
    private static final int MAX_LINE_CHARS = 8000;
    private static final String LEGEND =
            "format=decision/reason:id:attempt:after_start_ms:client_seen_ago_ms";

    private final MonotonicClock clock;
    private final EventLog log;
    private final StringBuilder line = new StringBuilder();

    /** When each decision in the line was made, so that it can be given relative to the line. */
    private long lineStartNanos;

    private long periodStartNanos;
    private int decisionsInPeriod;
    private int omitted;

    DecisionLog(MonotonicClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
        this.periodStartNanos = clock.nanoTime();
    }

    /**
     * Records a decision.
     *
     * @param attempt the number of the attempt; -1 if it concerns the whole request
     * @param clientSeenAgoNanos for how long the client has not been known to be there; {@link
     *     #NEVER_SEEN} if it never was
     */
    void record(Decision decision, String id, int attempt, long clientSeenAgoNanos, long now) {
        record(decision.label, id, attempt, clientSeenAgoNanos, now);
    }

    /** Records that a request was answered as not executed, failed, or was ended by its client. */
    void recordEnd(
            Decision decision, EndReason reason, String id, long clientSeenAgoNanos, long now) {
        record(decision.label + "/" + reason.label(), id, -1, clientSeenAgoNanos, now);
    }

    private void record(String label, String id, int attempt, long clientSeenAgoNanos, long now) {
        if (now - periodStartNanos >= BOUND_PERIOD_NANOS) {
            periodStartNanos = now;
            decisionsInPeriod = 0;
        }
        if (decisionsInPeriod >= MAX_DECISIONS_PER_PERIOD) {
            omitted++;
            return;
        }
        decisionsInPeriod++;
        if (line.isEmpty()) {
            lineStartNanos = now;
        }
        append(label, id, attempt, clientSeenAgoNanos, now);
        if (line.length() >= MAX_LINE_CHARS) {
            flush();
        }
    }

    private void append(String label, String id, int attempt, long clientSeenAgoNanos, long now) {
        line.append(' ').append(label).append(':').append(LogText.id(id)).append(':');
        if (attempt >= 0) {
            line.append(attempt);
        }
        line.append(":+").append(millis(now - lineStartNanos)).append(':');
        if (clientSeenAgoNanos != NEVER_SEEN) {
            line.append(millis(clientSeenAgoNanos));
        }
    }

    /** Writes the line if its first decision is old enough; to be called periodically. */
    void flushIfDue(long now) {
        if (!line.isEmpty() && now - lineStartNanos >= MAX_DELAY_NANOS) {
            flush();
        }
    }

    /** Writes what has been recorded. */
    void flush() {
        if (line.isEmpty() && omitted == 0) {
            return;
        }
        long startedAgoMillis = millis(clock.nanoTime() - lineStartNanos);
        String decisions = line.toString();
        int left = omitted;
        line.setLength(0);
        omitted = 0;
        log.event(
                LogEvent.REQUEST_DECISIONS,
                () ->
                        LEGEND
                                + " started_ago_ms="
                                + startedAgoMillis
                                + " omitted="
                                + left
                                + decisions);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
