package appleridge.testbed.invariants;

/**
 * After SIGTERM new connections are taken for as long as they go on coming, and the process ends by
 * itself before SIGKILL comes, which leaves it the longest deadline and some time more, unless it
 * stood still or could not reach its clients meanwhile. At no other time are connections refused by
 * a process that has been ready.
 */
final class EndingRule implements DayListener {
    /** The end itself takes a moment. */
    private static final long ENDS = 50 * TimeSpans.MS;

    private final InvariantBounds figures;
    private final Shared shared;

    EndingRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
    }

    @Override
    public void connectRefused(String sidecar, long begunAt) {
        SidecarIncarnations lives = shared.lives();
        int life = lives.current(sidecar);
        if (lives.isKilled(sidecar, life) || !lives.wasReady(sidecar, life, begunAt)) {
            return;
        }
        // Heard later it may have come later: over a slow link, or again, having found the backlog
        // full.
        long term = lives.termAt(sidecar, life);
        if (term == AttemptRecord.NEVER
                ? lives.runs(sidecar, life)
                : shared.alarms().now() <= term + figures.stillComing()) {
            shared.findings()
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
    public void sidecarKilled(String sidecar, int life) {
        long now = shared.alarms().now();
        long term = shared.lives().termAt(sidecar, life);
        if (term != AttemptRecord.NEVER
                && now >= term + figures.longestDeadline() + figures.killAfter() + ENDS
                && !shared.excuses().paused(sidecar, term, now)
                && !shared.excuses().linksTroubled(sidecar, term, now)) {
            shared.findings()
                    .add(
                            Rule.ENDING,
                            sidecar,
                            "had not ended when SIGKILL came, "
                                    + TimeSpans.text(now - term)
                                    + " after SIGTERM");
        }
    }
}
