package appleridge.testbed.invariants;

/**
 * Checks that a process reports ready only while it has a ready server in its list and was not sent
 * SIGTERM.
 */
final class ReadyRule implements DayListener {
    private final InvariantBounds bounds;
    private final DeliveredLists lists;
    private final RuleContext context;

    ReadyRule(InvariantBounds bounds, DeliveredLists lists, RuleContext context) {
        this.bounds = bounds;
        this.lists = lists;
        this.context = context;
    }

    @Override
    public void readinessAnswered(String sidecar, int status, long lastByteSentAt) {
        if (status != 200) {
            return;
        }
        long term = context.incarnations().termAt(sidecar, context.incarnations().current(sidecar));
        // The process may have been about to read the probe, or still busy with earlier work.
        long heard = bounds.reactionTime() + bounds.loopDelay() + bounds.socketSlack();
        if (term != AttemptRecord.NEVER
                && lastByteSentAt > term + heard
                && !context.excuses().paused(sidecar, term, lastByteSentAt)) {
            context.findings()
                    .add(
                            Rule.READY,
                            sidecar,
                            "reported ready "
                                    + TimeSpans.text(lastByteSentAt - term)
                                    + " after SIGTERM");
        }
        if (!lists.mayListReady(sidecar, lastByteSentAt)) {
            context.findings()
                    .add(
                            Rule.READY,
                            sidecar,
                            "reported ready without a usable server: all delivered ones, if"
                                    + " any, are draining or gone");
        }
    }
}
