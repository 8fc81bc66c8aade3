package appleridge.testbed.invariants;

/**
 * Nothing is sent for a request after its final answer was written, nor after its client's
 * connection was closed and the sidecar could have heard of it.
 */
final class SentAfterRule implements DayListener {
    private final InvariantBounds figures;
    private final Shared shared;

    SentAfterRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
    }

    @Override
    public void serverReadId(
            String server, int life, String sidecar, String id, long firstByteSentAt) {
        AttemptRecord request = shared.requests().find(id);
        if (request == null) {
            return;
        }
        if (request.stage == AttemptRecord.Stage.ANSWERED) {
            compare(request, server, firstByteSentAt, request.answeredAt);
            return;
        }
        long closed = shared.wires().closedAt(id);
        if (closed != AttemptRecord.NEVER
                && firstByteSentAt
                        > shared.excuses()
                                .extended(
                                        request.asking,
                                        closed,
                                        closed
                                                + figures.link()
                                                + figures.quantum()
                                                + figures.loop())) {
            shared.findings()
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

    /** What began before its answer has ended by then too. */
    @Override
    public void serverReceived(
            String server,
            int life,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        AttemptRecord request = shared.requests().find(id);
        if (request != null && request.stage == AttemptRecord.Stage.ANSWERED) {
            compare(request, server, lastByteSentAt, request.answeredAt);
        }
    }

    /** The answer may be read only after a server has begun to read what was sent after it. */
    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = shared.requests().find(id);
        if (request != null && request.stage != AttemptRecord.Stage.ANSWERED) {
            for (RequestCopy each : request.sent) {
                compare(request, each.server, each.firstByteAt, lastByteSentAt);
            }
        }
    }

    private void compare(AttemptRecord request, String server, long sentAt, long answeredAt) {
        if (sentAt > answeredAt) {
            shared.findings()
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
