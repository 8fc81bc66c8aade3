package appleridge.testbed.invariants;

/**
 * Checks that the connection of an accepted request does not end without a complete answer. The end
 * is excused
 *
 * <ul>
 *   <li>if the process was killed, unless the kill came after the time promised after SIGTERM: by
 *       then all requests had to be answered, except for those of the last moments or if the
 *       process was paused;
 *   <li>if the link to its client was in trouble since the request was accepted;
 *   <li>if its deadline had passed: the request has failed, and {@link LateRule} checks why;
 *   <li>if nothing was sent for it, and it was the first on its connection or its sidecar had not
 *       read it: the close crossed the request;
 *   <li>if its answer had begun and could not be finished, because no server completed one or a
 *       fault struck the request.
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
                                + " after it was accepted");
    }

    /**
     * A request that was excused because nothing had been sent for it may turn out to have been
     * sent after all.
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
                            "its connection ended although it had been sent to " + server);
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
