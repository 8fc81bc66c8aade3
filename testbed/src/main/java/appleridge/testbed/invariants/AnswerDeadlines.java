package appleridge.testbed.invariants;

/** When answers are due, as far as is known now. */
final class AnswerDeadlines {
    /**
     * What the sidecar's process has not read, or had not accepted for a while, as it stands behind
     * hundreds of connections that say nothing, is answered or closed so much later at the latest.
     */
    private static final long MAX_READ_DELAY = TimeSpans.SECOND;

    private final InvariantBounds bounds;
    private final RuleContext context;

    AnswerDeadlines(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    /** When the sidecar must have written its answer. */
    long forAnswer(AttemptRecord request) {
        return deadline(request, answerSlack(), readDelay(request));
    }

    /** When that will be if the sidecar reads it at once, as it mostly does. */
    long forAnswerIfReadAtOnce(AttemptRecord request) {
        return deadline(request, answerSlack(), 0);
    }

    /** Until when its client waits, as far as the sidecar can know. */
    long forClient(AttemptRecord request) {
        long waited = context.sockets().acceptedAt(request.id()) - request.takenAt;
        return deadline(request, bounds.reactionTime(), Math.max(readDelay(request), waited));
    }

    private long answerSlack() {
        return bounds.answerSlack() + bounds.socketSlack();
    }

    private long deadline(AttemptRecord request, long slack, long readDelay) {
        long deadline =
                context.excuses()
                        .extended(
                                request.attempt,
                                request.takenAt,
                                request.takenAt
                                        + request.attempt.deadlineNanos()
                                        + slack
                                        + bounds.linkDelay()
                                        + bounds.loopDelay()
                                        + readDelay);
        String ahead = context.sockets().ahead(request.id());
        AttemptRecord previous = ahead == null ? null : context.requests().find(ahead);
        if (previous != null
                && previous != request
                && previous.takenAt != AttemptRecord.NEVER
                && previous.takenAt <= request.takenAt) {
            return Math.max(deadline, deadline(previous, slack, readDelay(previous)));
        }
        return deadline;
    }

    private long readDelay(AttemptRecord request) {
        return context.sockets().wasRead(request.id()) ? acceptDelay(request) : MAX_READ_DELAY;
    }

    /**
     * For how long a request that was read in the end had waited in the system; nobody tells the
     * process.
     */
    private long acceptDelay(AttemptRecord request) {
        long waited = context.sockets().acceptedAt(request.id()) - request.takenAt;
        return Math.max(0, Math.min(MAX_READ_DELAY, waited));
    }
}
