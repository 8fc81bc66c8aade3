package appleridge.testbed.invariants;

/**
 * Checks the shutdown of a sidecar. After SIGTERM it accepts new connections for as long as clients
 * go on opening them, and it exits by itself before SIGKILL, which leaves it the longest deadline
 * and some more time, unless it was paused or could not reach its clients meanwhile. At no other
 * time does a process that has been ready refuse connections.
 */
final class ShutdownRule implements DayListener {
    /** Time that the exit itself takes. */
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
        // A refusal seen after that time is no violation: the connect may have arrived late, over
        // a slow link or as a retry after a full backlog.
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
                            "had not exited when SIGKILL came, "
                                    + TimeSpans.text(now - term)
                                    + " after SIGTERM");
        }
    }
}
