package appleridge.testbed.invariants;

/**
 * A process says that it is ready only while it has a ready server in its list, and is not to end.
 */
final class ReadyRule implements DayListener {
    private final InvariantBounds figures;
    private final Lists lists;
    private final Shared shared;

    ReadyRule(InvariantBounds figures, Lists lists, Shared shared) {
        this.figures = figures;
        this.lists = lists;
        this.shared = shared;
    }

    @Override
    public void readinessAnswered(String sidecar, int status, long lastByteSentAt) {
        if (status != 200) {
            return;
        }
        long term = shared.lives().termAt(sidecar, shared.lives().current(sidecar));
        // It may have been about to read the question, or behind its work.
        long heard = figures.quantum() + figures.loop() + figures.socketSlack();
        if (term != AttemptRecord.NEVER
                && lastByteSentAt > term + heard
                && !shared.excuses().paused(sidecar, term, lastByteSentAt)) {
            shared.findings()
                    .add(
                            Rule.READY,
                            sidecar,
                            "said that it was ready "
                                    + TimeSpans.text(lastByteSentAt - term)
                                    + " after SIGTERM");
        }
        if (!lists.mayHaveReady(sidecar, lastByteSentAt)) {
            shared.findings()
                    .add(
                            Rule.READY,
                            sidecar,
                            "said that it was ready, and all servers drain or are"
                                    + " gone, as far as it was told of any");
        }
    }
}
