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
    private final InvariantBounds bounds;
    private final RuleContext context;

    LostRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        AttemptRecord request = context.requests().find(id);
        if (request == null || !request.isOpen()) {
            return;
        }
        long now = context.checks().now();
        ClientAttempt attempt = request.attempt;
        if (context.incarnations().isKilled(attempt.sidecar(), request.incarnation)
                || context.excuses().linkTroubled(attempt, request.takenAt, now)
                || now > request.takenAt + attempt.deadlineNanos()
                || context.crossed(request)
                || begun && (request.serverBodies.isEmpty() || request.struckByFault)) {
            return;
        }
        context.findings()
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
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {
        AttemptRecord request = context.requests().find(id);
        if (request != null
                && request.stage == AttemptRecord.Stage.BROKEN
                && request.takenAt != AttemptRecord.NEVER
                && request.copies.size() == 1
                && firstByteSentAt < request.brokenAt - bounds.linkDelay()
                && !context.incarnations().isKilled(sidecar, request.incarnation)
                && !context.excuses()
                        .linkTroubled(request.attempt, request.takenAt, request.brokenAt)
                && request.brokenAt <= request.takenAt + request.attempt.deadlineNanos()) {
            context.findings()
                    .add(
                            Rule.LOST,
                            id,
                            "its connection was ended, and it had been sent to " + server);
        }
    }

    @Override
    public void sidecarKilled(String sidecar, int incarnation) {
        long now = context.checks().now();
        long term = context.incarnations().termAt(sidecar, incarnation);
        if (term == AttemptRecord.NEVER
                || now < term + bounds.longestDeadline() + bounds.killAfter()
                || context.excuses().paused(sidecar, term, now)) {
            return;
        }
        for (AttemptRecord each : context.requests().open(sidecar, incarnation)) {
            if (each.takenAt <= now - bounds.socketSlack() - bounds.linkDelay()
                    && !context.excuses().linkTroubled(each.attempt, each.takenAt, now)) {
                context.findings()
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
