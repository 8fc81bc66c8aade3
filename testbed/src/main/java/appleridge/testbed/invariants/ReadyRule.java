package appleridge.testbed.invariants;

/**
 * A process says that it is ready only while it has a ready server in its list, and is not to end.
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
        // It may have been about to read the question, or behind its work.
        long heard = bounds.reactionTime() + bounds.loopDelay() + bounds.socketSlack();
        if (term != AttemptRecord.NEVER
                && lastByteSentAt > term + heard
                && !context.excuses().paused(sidecar, term, lastByteSentAt)) {
            context.findings()
                    .add(
                            Rule.READY,
                            sidecar,
                            "said that it was ready "
                                    + TimeSpans.text(lastByteSentAt - term)
                                    + " after SIGTERM");
        }
        if (!lists.mayListReady(sidecar, lastByteSentAt)) {
            context.findings()
                    .add(
                            Rule.READY,
                            sidecar,
                            "said that it was ready, and all servers drain or are"
                                    + " gone, as far as it was told of any");
        }
    }
}
