package appleridge.testbed.invariants;

/** Computes when the answer to a request is due, as far as is known at the moment. */
final class AnswerDeadlines {
    /**
     * Extra time for a request that the sidecar's process has not read, or whose connection waited
     * to be accepted: it may queue behind hundreds of connections that send nothing.
     */
    private static final long MAX_READ_DELAY = TimeSpans.SECOND;

    /** How long a server may pause in an answer that is not known to be long, with a margin. */
    private static final long MAX_SERVER_PAUSE = 1300 * TimeSpans.MS;

    /** By how much a request may outlast its deadline before it counts as lost. */
    private static final long LOST_AFTER = 500 * TimeSpans.MS;

    private final InvariantBounds bounds;
    private final RuleContext context;

    AnswerDeadlines(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    /**
     * Returns the time by which the sidecar must have written the answer. A long answer, or one
     * that may be long, is passed on as its server writes it: if its first bytes were in time, the
     * rest follows the server.
     */
    long forAnswer(AttemptRecord request) {
        return followingServer(request, 0);
    }

    /**
     * Returns the time by which the client must have the answer or the end of its connection, if
     * the server stops in the middle of an answer whose first bytes were in time. The sidecar may
     * wait for the server to go on for as long as the request is not lost.
     */
    long forEnd(AttemptRecord request) {
        long end = followingServer(request, MAX_SERVER_PAUSE);
        return hasBegunInTime(request)
                ? Math.max(end, deadline(request, LOST_AFTER, readDelay(request)))
                : end;
    }

    private boolean hasBegunInTime(AttemptRecord request) {
        long begunAt = context.sockets().answerBegunAt(request.id());
        return begunAt != AttemptRecord.NEVER
                && begunAt <= deadline(request, answerSlack(), readDelay(request));
    }

    private long followingServer(AttemptRecord request, long pause) {
        long due = deadline(request, answerSlack(), readDelay(request));
        if (!hasBegunInTime(request)) {
            return due;
        }
        long lastRead = context.sockets().lastAnswerReadAt(request.id());
        return Math.max(
                due, lastRead + pause + answerSlack() + bounds.linkDelay() + bounds.loopDelay());
    }

    /** Returns that time for a sidecar that reads the request at once, as it mostly does. */
    long forAnswerIfReadAtOnce(AttemptRecord request) {
        return deadline(request, answerSlack(), 0);
    }

    /** Returns the time until which the client waits, as far as the sidecar can know. */
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
        String ahead = context.sockets().idAhead(request.id());
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
     * Returns how long the connection of a request that has been read waited to be accepted. The
     * process itself cannot see that time.
     */
    private long acceptDelay(AttemptRecord request) {
        long waited = context.sockets().acceptedAt(request.id()) - request.takenAt;
        return Math.max(0, Math.min(MAX_READ_DELAY, waited));
    }
}
