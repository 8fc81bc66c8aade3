package appleridge.testbed.invariants;

import java.util.Map;
import java.util.TreeMap;

/**
 * Some time after the day's last fault all is well again: each sidecar has become ready, and of the
 * requests that are then asked by clients who wait for their whole deadline and read what they get,
 * and whose time is up when the day ends, enough are served.
 */
final class RecoveryRule implements DayListener {
    private final InvariantBounds bounds;
    private final RuleContext context;
    private long lastFaultAt = AttemptRecord.NEVER;

    /** When those processes began that have not become ready yet, by their sidecars. */
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
        lastFaultAt = context.checks().now();
    }

    @Override
    public void dayEnded() {
        if (lastFaultAt == AttemptRecord.NEVER) {
            return;
        }
        long end = context.checks().now();
        for (AttemptRecord each : context.requests().all()) {
            ClientAttempt attempt = each.attempt;
            // A further try has what its wish has left, which may be less than the work takes.
            if (attempt.number() == 0
                    && attempt.askedAt() >= lastFaultAt + bounds.recovery()
                    && attempt.askedAt() + attempt.deadlineNanos() + bounds.answerSlack() <= end
                    && waited(each)
                    && !context.excuses()
                            .linkTroubled(
                                    attempt,
                                    attempt.askedAt(),
                                    attempt.askedAt() + attempt.deadlineNanos())) {
                eligible++;
                served += each.stage == AttemptRecord.Stage.ANSWERED && each.status == 200 ? 1 : 0;
            }
        }
        notReady.forEach(
                (sidecar, since) -> {
                    if (end - Math.max(since, lastFaultAt) >= bounds.recovery()) {
                        context.findings()
                                .add(
                                        Rule.NOT_RECOVERED,
                                        sidecar,
                                        "began at "
                                                + TimeSpans.text(since)
                                                + " and has never been ready");
                    }
                });
        // Of a few requests one may fail all the same: a server may err once.
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

    /** Danger: a client that leaves takes along what others have asked on its connection. */
    private static boolean waited(AttemptRecord request) {
        long deadline = request.attempt.deadlineNanos();
        return request.attempt.patienceNanos() >= deadline
                && (request.stage != AttemptRecord.Stage.LEFT
                        || request.leftAt >= request.attempt.askedAt() + deadline);
    }

    /** How many requests it judged by. */
    int judged() {
        return eligible;
    }
}
