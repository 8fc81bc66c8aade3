package appleridge.testbed.invariants;

/** When answers are due, as far as is known now. */
final class AnswerDeadlines {
    /**
     * What the sidecar's process has not read, or had not accepted for a while, as it stands behind
     * hundreds of connections that say nothing, is answered or closed so much later at the latest.
     */
    private static final long UNREAD = TimeSpans.SECOND;

    private final InvariantBounds figures;
    private final Shared shared;

    AnswerDeadlines(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
    }

    /** When the sidecar must have written its answer. */
    long answer(AttemptRecord request) {
        return due(request, inAnswers(), unread(request));
    }

    /** When that will be if the sidecar reads it at once, as it mostly does. */
    long onceRead(AttemptRecord request) {
        return due(request, inAnswers(), 0);
    }

    /** Until when its client waits, as far as the sidecar can know. */
    long patience(AttemptRecord request) {
        long waited = shared.wires().acceptedAt(request.id()) - request.takenAt;
        return due(request, figures.quantum(), Math.max(unread(request), waited));
    }

    private long inAnswers() {
        return figures.answerSlack() + figures.socketSlack();
    }

    private long due(AttemptRecord request, long slack, long unread) {
        long due =
                shared.excuses()
                        .extended(
                                request.asking,
                                request.takenAt,
                                request.takenAt
                                        + request.asking.deadlineNanos()
                                        + slack
                                        + figures.link()
                                        + figures.loop()
                                        + unread);
        String ahead = shared.wires().ahead(request.id());
        AttemptRecord before = ahead == null ? null : shared.requests().find(ahead);
        if (before != null
                && before != request
                && before.takenAt != AttemptRecord.NEVER
                && before.takenAt <= request.takenAt) {
            return Math.max(due, due(before, slack, unread(before)));
        }
        return due;
    }

    private long unread(AttemptRecord request) {
        return shared.wires().wasRead(request.id()) ? unaccepted(request) : UNREAD;
    }

    /**
     * For how long a request that was read in the end had waited in the system; nobody tells the
     * process.
     */
    private long unaccepted(AttemptRecord request) {
        long waited = shared.wires().acceptedAt(request.id()) - request.takenAt;
        return Math.max(0, Math.min(UNREAD, waited));
    }
}
