package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a sidecar without open requests for a while reports none: no call, no attempt, and as
 * many connections of clients and to servers as its machine holds. A mismatch that lasts only for a
 * moment, such as a socket that is just being closed, is checked again before it is reported.
 */
final class IdleResourcesRule implements DayListener {
    private static final long IDLE_TIME = 2 * TimeSpans.SECOND;

    /**
     * Delays between checks; unequal, so that they do not fall in step with a periodic activity.
     */
    private static final long[] RECHECK_DELAYS = {70 * TimeSpans.MS, 190 * TimeSpans.MS};

    private final RuleContext context;
    private final ResourceProbe probe;
    private final Map<String, String> sidecarOfRequest = new HashMap<>();
    private final Map<String, Integer> openRequests = new HashMap<>();

    /** Incremented whenever a request starts, or a process starts or is paused. */
    private final Map<String, Integer> changes = new HashMap<>();

    IdleResourcesRule(RuleContext context, ResourceProbe probe) {
        this.context = context;
        this.probe = probe;
    }

    @Override
    public void requestStarted(ClientAttempt attempt) {
        if (sidecarOfRequest.put(attempt.id(), attempt.sidecar()) == null) {
            openRequests.merge(attempt.sidecar(), 1, Integer::sum);
        }
        countChange(attempt.sidecar());
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        endRequest(id);
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        endRequest(id);
    }

    @Override
    public void clientGaveUp(String id) {
        endRequest(id);
    }

    private void endRequest(String id) {
        String sidecar = sidecarOfRequest.remove(id);
        if (sidecar != null && openRequests.merge(sidecar, -1, Integer::sum) == 0) {
            scheduleCheck(sidecar, IDLE_TIME);
        }
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        countChange(sidecar);
        scheduleCheck(sidecar, IDLE_TIME);
    }

    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        countChange(sidecar);
        scheduleCheck(sidecar, until - from + IDLE_TIME);
    }

    private void countChange(String sidecar) {
        changes.merge(sidecar, 1, Integer::sum);
    }

    private void scheduleCheck(String sidecar, long time) {
        int now = changes.getOrDefault(sidecar, 0);
        context.checks().at(context.checks().now() + time, () -> check(sidecar, now, 0, ""));
    }

    private void check(String sidecar, int change, int repeats, String before) {
        long now = context.checks().now();
        if (openRequests.getOrDefault(sidecar, 0) > 0
                || changes.getOrDefault(sidecar, 0) != change
                || context.excuses().paused(sidecar, now - IDLE_TIME, now)) {
            return;
        }
        String mismatch = mismatch(sidecar);
        if (mismatch.isEmpty()) {
            return;
        }
        // While idle connections are being closed, each check finds another mismatch.
        int same = mismatch.equals(before) ? repeats : 0;
        if (same < RECHECK_DELAYS.length) {
            context.checks()
                    .at(
                            now + RECHECK_DELAYS[same],
                            () -> check(sidecar, change, same + 1, mismatch));
        } else {
            context.findings().add(Rule.BOOKS, sidecar, "without open requests: " + mismatch);
        }
    }

    private String mismatch(String sidecar) {
        ResourceCounts now = probe.resources(sidecar);
        if (now == null) {
            return "";
        }

        StringBuilder mismatch = new StringBuilder();
        addMismatch(mismatch, "calls", now.openCalls(), 0);
        addMismatch(mismatch, "attempts", now.attempts(), 0);
        addMismatch(
                mismatch,
                "client connections",
                now.clientConnections(),
                probe.clientConnections(sidecar));
        addMismatch(
                mismatch,
                "server connections",
                now.upstreamConnections(),
                probe.upstreamConnections(sidecar));
        return mismatch.toString();
    }

    private static void addMismatch(StringBuilder mismatch, String what, int counted, int actual) {
        if (counted != actual) {
            mismatch.append(mismatch.length() > 0 ? ", " : "")
                    .append(counted)
                    .append(' ')
                    .append(what)
                    .append(" instead of ")
                    .append(actual);
        }
    }
}
