package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * What the module has refused or given up is answered at once, not held back. Behind an open
 * request on the same connection it may go as late as that one's answer.
 */
final class GivenUpRule implements DayListener {
    private final InvariantBounds figures;
    private final Shared shared;
    private final Map<Long, AttemptRecord> byKey = new HashMap<>();
    private final Map<String, Map<Long, AttemptRecord>> taken = new HashMap<>();

    GivenUpRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
    }

    @Override
    public void requestStarted(ClientAttempt asking) {
        byKey.put(asking.cookieKey(), shared.requests().find(asking.id()));
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        taken.remove(sidecar);
    }

    @Override
    public void moduleAccepted(String sidecar, int life, long moduleId, long key) {
        AttemptRecord request = byKey.get(key);
        if (request != null) {
            taken.computeIfAbsent(sidecar, name -> new HashMap<>()).put(moduleId, request);
        }
    }

    @Override
    public void moduleRefused(String sidecar, int life, long moduleId) {
        givesUp(sidecar, moduleId);
    }

    @Override
    public void moduleFailed(String sidecar, int life, long moduleId) {
        givesUp(sidecar, moduleId);
    }

    private void givesUp(String sidecar, long moduleId) {
        AttemptRecord request = taken.getOrDefault(sidecar, Map.of()).get(moduleId);
        if (request != null && request.givenUpAt == AttemptRecord.NEVER) {
            request.givenUpAt = shared.alarms().now();
        }
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = shared.requests().find(id);
        if (request == null
                || request.givenUpAt == AttemptRecord.NEVER
                || request.stage == AttemptRecord.Stage.ANSWERED) {
            return;
        }
        long from = request.givenUpAt;
        String ahead = shared.wires().ahead(id);
        AttemptRecord before = ahead == null ? null : shared.requests().find(ahead);
        if (before != null) {
            from = Math.max(from, before.answeredAt);
        }
        if (lastByteSentAt
                > shared.excuses()
                        .extended(
                                request.asking, from, from + figures.quantum() + figures.loop())) {
            shared.findings()
                    .add(
                            Rule.GIVEN_UP_LATE,
                            id,
                            "answered "
                                    + TimeSpans.text(lastByteSentAt - request.givenUpAt)
                                    + " after the module had given it up");
        }
    }
}
