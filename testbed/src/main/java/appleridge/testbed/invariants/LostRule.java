package appleridge.testbed.invariants;

/**
 * A request that was taken has its connection ended with no whole answer. That is excused
 *
 * <ul>
 *   <li>if the process was killed, unless the kill kept the time that is promised after SIGTERM: by
 *       then all had to be answered, but for what came in its last moments or during a pause;
 *   <li>if the link to its client was in trouble since it was taken;
 *   <li>if its time was up: it has failed (and {@link LateRule} asks why);
 *   <li>if nothing was sent on for it, and it was the first on its connection or its sidecar had
 *       not read it: an end that crossed it;
 *   <li>if its answer had begun and could not be finished, for a server made none or a fault struck
 *       the request.
 * </ul>
 */
final class LostRule implements DayListener {
    private final InvariantBounds figures;
    private final Shared shared;

    LostRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        AttemptRecord request = shared.requests().find(id);
        if (request == null || !request.isOpen()) {
            return;
        }
        long now = shared.alarms().now();
        ClientAttempt asking = request.asking;
        if (shared.lives().isKilled(asking.sidecar(), request.life)
                || shared.excuses().linkTroubled(asking, request.takenAt, now)
                || now > request.takenAt + asking.deadlineNanos()
                || shared.crossed(request)
                || begun && (request.made.isEmpty() || request.struck)) {
            return;
        }
        shared.findings()
                .add(
                        Rule.LOST,
                        id,
                        "its connection ended ("
                                + how
                                + ") "
                                + TimeSpans.text(now - request.takenAt)
                                + " after it was taken");
    }

    /**
     * What was excused because nothing was sent on for it may turn out to have been sent all the
     * same.
     */
    @Override
    public void serverReadId(
            String server, int life, String sidecar, String id, long firstByteSentAt) {
        AttemptRecord request = shared.requests().find(id);
        if (request != null
                && request.stage == AttemptRecord.Stage.BROKEN
                && request.takenAt != AttemptRecord.NEVER
                && request.sent.size() == 1
                && firstByteSentAt < request.brokenAt - figures.link()
                && !shared.lives().isKilled(sidecar, request.life)
                && !shared.excuses().linkTroubled(request.asking, request.takenAt, request.brokenAt)
                && request.brokenAt <= request.takenAt + request.asking.deadlineNanos()) {
            shared.findings()
                    .add(
                            Rule.LOST,
                            id,
                            "its connection was ended, and it had been sent to " + server);
        }
    }

    @Override
    public void sidecarKilled(String sidecar, int life) {
        long now = shared.alarms().now();
        long term = shared.lives().termAt(sidecar, life);
        if (term == AttemptRecord.NEVER
                || now < term + figures.longestDeadline() + figures.killAfter()
                || shared.excuses().paused(sidecar, term, now)) {
            return;
        }
        for (AttemptRecord each : shared.requests().open(sidecar, life)) {
            if (each.takenAt <= now - figures.socketSlack() - figures.link()
                    && !shared.excuses().linkTroubled(each.asking, each.takenAt, now)) {
                shared.findings()
                        .add(
                                Rule.LOST,
                                each.id(),
                                "unanswered when SIGKILL came, "
                                        + TimeSpans.text(now - term)
                                        + " after SIGTERM");
            }
        }
    }
}
