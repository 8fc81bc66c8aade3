package appleridge.testbed.invariants;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that the system recovers within some time after the day's last fault: each sidecar has
 * become ready, and enough requests are served. Counted are the requests of clients that wait for
 * their whole deadline and read their answer, if the deadline passes before the day ends.
 */
final class RecoveryRule implements DayListener {
    private final InvariantBounds bounds;
    private final RuleContext context;
    private long lastFaultEndedAt = AttemptRecord.NEVER;

    /** Start times of the processes that have not become ready, by sidecar. */
    private final Map<String, Long> notReady = new TreeMap<>();

    private int eligible;
    private int served;

    RecoveryRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        notReady.put(sidecar, context.checks().now());
    }

    @Override
    public void sidecarReady(String sidecar, int incarnation) {
        notReady.remove(sidecar);
    }

    @Override
    public void lastFaultEnded() {
        lastFaultEndedAt = context.checks().now();
    }

    @Override
    public void dayEnded() {
        if (lastFaultEndedAt == AttemptRecord.NEVER) {
            return;
        }
        long end = context.checks().now();
        for (AttemptRecord each : context.requests().all()) {
            ClientAttempt attempt = each.attempt;
            // A further attempt has only the rest of its operation's time, which may be less than
            // the work takes.
            if (attempt.number() == 0
                    && attempt.startedAt() >= lastFaultEndedAt + bounds.recovery()
                    && attempt.startedAt() + attempt.deadlineNanos() + bounds.answerSlack() <= end
                    && waitedForDeadline(each)
                    && !context.excuses()
                            .linkTroubled(
                                    attempt,
                                    attempt.startedAt(),
                                    attempt.startedAt() + attempt.deadlineNanos())) {
                eligible++;
                served += each.stage == AttemptRecord.Stage.ANSWERED && each.status == 200 ? 1 : 0;
            }
        }
        notReady.forEach(
                (sidecar, since) -> {
                    if (end - Math.max(since, lastFaultEndedAt) >= bounds.recovery()) {
                        context.findings()
                                .add(
                                        Rule.NOT_RECOVERED,
                                        sidecar,
                                        "started at "
                                                + TimeSpans.text(since)
                                                + " and has not become ready");
                    }
                });
        // One failure is allowed even among few requests: a server may err once.
        int mayFail = Math.max(1, (int) Math.floor(eligible * (1 - bounds.servedShare())));
        if (eligible - served > mayFail) {
            context.findings()
                    .add(
                            Rule.NOT_RECOVERED,
                            "day",
                            served
                                    + " of "
                                    + eligible
                                    + " requests served from "
                                    + TimeSpans.text(bounds.recovery())
                                    + " after the last fault on");
        }
    }

    /**
     * Returns whether the client waited for its whole deadline. Even a patient client's request can
     * end early: another client that leaves closes the connection they share.
     */
    private static boolean waitedForDeadline(AttemptRecord request) {
        long deadline = request.attempt.deadlineNanos();
        return request.attempt.clientTimeoutNanos() >= deadline
                && (request.stage != AttemptRecord.Stage.LEFT
                        || request.leftAt >= request.attempt.startedAt() + deadline);
    }

    /** Returns how many requests were judged. */
    int judged() {
        return eligible;
    }
}
