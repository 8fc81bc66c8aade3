package appleridge.testbed.invariants;

import java.util.Map;
import java.util.TreeMap;

/**
 * Some time after the day's last fault all is well again: each sidecar has become ready, and of the
 * requests that are then asked by clients who wait for their whole deadline and read what they get,
 * and whose time is up when the day ends, enough are served.
 */
final class RecoveryRule implements DayListener {
    private final InvariantBounds figures;
    private final Shared shared;
    private long over = AttemptRecord.NEVER;

    /** When those processes began that have not become ready yet, by their sidecars. */
    private final Map<String, Long> notReady = new TreeMap<>();

    private int could;
    private int served;

    RecoveryRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        notReady.put(sidecar, shared.alarms().now());
    }

    @Override
    public void sidecarReady(String sidecar, int life) {
        notReady.remove(sidecar);
    }

    @Override
    public void lastFaultEnded() {
        over = shared.alarms().now();
    }

    @Override
    public void dayEnded() {
        if (over == AttemptRecord.NEVER) {
            return;
        }
        long end = shared.alarms().now();
        for (AttemptRecord each : shared.requests().all()) {
            ClientAttempt asking = each.asking;
            // A further try has what its wish has left, which may be less than the work takes.
            if (asking.number() == 0
                    && asking.askedAt() >= over + figures.recovery()
                    && asking.askedAt() + asking.deadlineNanos() + figures.answerSlack() <= end
                    && waited(each)
                    && !shared.excuses()
                            .linkTroubled(
                                    asking,
                                    asking.askedAt(),
                                    asking.askedAt() + asking.deadlineNanos())) {
                could++;
                served += each.stage == AttemptRecord.Stage.ANSWERED && each.status == 200 ? 1 : 0;
            }
        }
        notReady.forEach(
                (sidecar, since) -> {
                    if (end - Math.max(since, over) >= figures.recovery()) {
                        shared.findings()
                                .add(
                                        Rule.NOT_RECOVERED,
                                        sidecar,
                                        "began at "
                                                + TimeSpans.text(since)
                                                + " and has never been ready");
                    }
                });
        // Of a few requests one may fail all the same: a server may err once.
        int mayFail = Math.max(1, (int) Math.floor(could * (1 - figures.served())));
        if (could - served > mayFail) {
            shared.findings()
                    .add(
                            Rule.NOT_RECOVERED,
                            "day",
                            served
                                    + " of "
                                    + could
                                    + " requests served from "
                                    + TimeSpans.text(figures.recovery())
                                    + " after the last fault on");
        }
    }

    /** Danger: a client that leaves takes along what others have asked on its connection. */
    private static boolean waited(AttemptRecord request) {
        long deadline = request.asking.deadlineNanos();
        return request.asking.patienceNanos() >= deadline
                && (request.stage != AttemptRecord.Stage.LEFT
                        || request.leftAt >= request.asking.askedAt() + deadline);
    }

    /** How many requests it judged by. */
    int judged() {
        return could;
    }
}
