package appleridge.testbed.invariants;

/**
 * Checks that nothing is sent for a request after its final answer was written, nor after its
 * client's connection was closed and the sidecar could have noticed.
 */
final class SentAfterRule implements DayListener {
    private final InvariantBounds bounds;
    private final RuleContext context;

    SentAfterRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    @Override
    public void serverReadId(
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {
        AttemptRecord request = context.requests().find(id);
        if (request == null) {
            return;
        }
        if (request.stage == AttemptRecord.Stage.ANSWERED) {
            compare(request, server, firstByteSentAt, request.answeredAt);
            return;
        }
        long closed = context.sockets().closedAt(id);
        if (closed != AttemptRecord.NEVER
                && firstByteSentAt
                        > context.excuses()
                                .extended(
                                        request.attempt,
                                        closed,
                                        closed
                                                + bounds.linkDelay()
                                                + bounds.reactionTime()
                                                + bounds.loopDelay())) {
            context.findings()
                    .add(
                            Rule.SENT_AFTER,
                            id,
                            "sent to "
                                    + server
                                    + " "
                                    + TimeSpans.text(firstByteSentAt - closed)
                                    + " after its client's connection was closed");
        }
    }

    /** A copy that began before the answer must also have ended by then. */
    @Override
    public void serverReceived(
            String server,
            int incarnation,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        AttemptRecord request = context.requests().find(id);
        if (request != null && request.stage == AttemptRecord.Stage.ANSWERED) {
            compare(request, server, lastByteSentAt, request.answeredAt);
        }
    }

    /**
     * A server may begin to read a copy that was sent after the answer before the client reads that
     * answer.
     */
    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = context.requests().find(id);
        if (request != null && request.stage != AttemptRecord.Stage.ANSWERED) {
            for (RequestCopy each : request.copies) {
                compare(request, each.server, each.firstByteAt, lastByteSentAt);
            }
        }
    }

    private void compare(AttemptRecord request, String server, long sentAt, long answeredAt) {
        if (sentAt > answeredAt) {
            context.findings()
                    .add(
                            Rule.SENT_AFTER,
                            request.id(),
                            "sent to "
                                    + server
                                    + " "
                                    + TimeSpans.text(sentAt - answeredAt)
                                    + " after its final answer");
        }
    }
}
