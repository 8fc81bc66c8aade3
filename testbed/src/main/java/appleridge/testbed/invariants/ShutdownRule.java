package appleridge.testbed.invariants;

/**
 * After SIGTERM new connections are taken for as long as they go on coming, and the process ends by
 * itself before SIGKILL comes, which leaves it the longest deadline and some time more, unless it
 * stood still or could not reach its clients meanwhile. At no other time are connections refused by
 * a process that has been ready.
 */
final class ShutdownRule implements DayListener {
    /** The end itself takes a moment. */
    private static final long EXIT_TIME = 50 * TimeSpans.MS;

    private final InvariantBounds bounds;
    private final RuleContext context;

    ShutdownRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    @Override
    public void connectRefused(String sidecar, long begunAt) {
        SidecarIncarnations incarnations = context.incarnations();
        int incarnation = incarnations.current(sidecar);
        if (incarnations.isKilled(sidecar, incarnation)
                || !incarnations.wasReady(sidecar, incarnation, begunAt)) {
            return;
        }
        // Heard later it may have come later: over a slow link, or again, having found the backlog
        // full.
        long term = incarnations.termAt(sidecar, incarnation);
        if (term == AttemptRecord.NEVER
                ? incarnations.runs(sidecar, incarnation)
                : context.checks().now() <= term + bounds.connectsAfterTerm()) {
            context.findings()
                    .add(
                            Rule.ENDING,
                            sidecar,
                            "refused a connection"
                                    + (term == AttemptRecord.NEVER
                                            ? ""
                                            : " that came "
                                                    + TimeSpans.text(begunAt - term)
                                                    + " after SIGTERM"));
        }
    }

    @Override
    public void sidecarKilled(String sidecar, int incarnation) {
        long now = context.checks().now();
        long term = context.incarnations().termAt(sidecar, incarnation);
        if (term != AttemptRecord.NEVER
                && now >= term + bounds.longestDeadline() + bounds.killAfter() + EXIT_TIME
                && !context.excuses().paused(sidecar, term, now)
                && !context.excuses().linksTroubled(sidecar, term, now)) {
            context.findings()
                    .add(
                            Rule.ENDING,
                            sidecar,
                            "had not ended when SIGKILL came, "
                                    + TimeSpans.text(now - term)
                                    + " after SIGTERM");
        }
    }
}
