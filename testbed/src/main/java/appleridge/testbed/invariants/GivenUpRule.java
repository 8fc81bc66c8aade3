package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a request that the module has refused or given up is answered at once. Behind an open
 * request on the same connection it may be answered as late as that one.
 */
final class GivenUpRule implements DayListener {
    private final InvariantBounds bounds;
    private final RuleContext context;
    private final Map<Long, AttemptRecord> byKey = new HashMap<>();
    private final Map<String, Map<Long, AttemptRecord>> byModuleId = new HashMap<>();

    GivenUpRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    @Override
    public void requestStarted(ClientAttempt attempt) {
        byKey.put(attempt.cookieKey(), context.requests().find(attempt.id()));
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        byModuleId.remove(sidecar);
    }

    @Override
    public void moduleAccepted(String sidecar, int incarnation, long moduleId, long key) {
        AttemptRecord request = byKey.get(key);
        if (request != null) {
            byModuleId.computeIfAbsent(sidecar, name -> new HashMap<>()).put(moduleId, request);
        }
    }

    @Override
    public void moduleRefused(String sidecar, int incarnation, long moduleId) {
        recordGivenUp(sidecar, moduleId);
    }

    @Override
    public void moduleFailed(String sidecar, int incarnation, long moduleId) {
        recordGivenUp(sidecar, moduleId);
    }

    private void recordGivenUp(String sidecar, long moduleId) {
        AttemptRecord request = byModuleId.getOrDefault(sidecar, Map.of()).get(moduleId);
        if (request != null && request.givenUpAt == AttemptRecord.NEVER) {
            request.givenUpAt = context.checks().now();
        }
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = context.requests().find(id);
        if (request == null
                || request.givenUpAt == AttemptRecord.NEVER
                || request.stage == AttemptRecord.Stage.ANSWERED) {
            return;
        }
        long from = request.givenUpAt;
        String aheadId = context.sockets().idAhead(id);
        AttemptRecord previous = aheadId == null ? null : context.requests().find(aheadId);
        if (previous != null) {
            from = Math.max(from, previous.answeredAt);
        }
        if (lastByteSentAt
                > context.excuses()
                        .extended(
                                request.attempt,
                                from,
                                from + bounds.reactionTime() + bounds.loopDelay())) {
            context.findings()
                    .add(
                            Rule.GIVEN_UP_LATE,
                            id,
                            "answered "
                                    + TimeSpans.text(lastByteSentAt - request.givenUpAt)
                                    + " after the module had given it up");
        }
    }
}
