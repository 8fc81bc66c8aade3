package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * While a request is open nothing else is passed on under its id. It is surely open from when its
 * sidecar has read it until its answer is written; what was in writing for a while ended somewhat
 * before its last byte.
 */
final class SameIdRule implements DayListener {
    private static final int CONFLICT = 409;

    private final InvariantBounds bounds;
    private final RuleContext context;

    /** Whose id it is, by the ids by which servers tell of what others ask under it. */
    private final Map<String, String> owners = new HashMap<>();

    /** When something else was sent under an id, by whose it is. */
    private final Map<String, List<Long>> sent = new HashMap<>();

    SameIdRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
    }

    @Override
    public void badClientReusedId(String name, String id, String owner) {
        AttemptRecord request = context.requests().find(owner);
        if (request != null && request.isOpen() && context.sockets().wasRead(owner)) {
            owners.put(id, owner);
        }
    }

    @Override
    public void serverReadId(
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {
        String owner = owners.get(id);
        if (owner == null) {
            return;
        }
        sent.computeIfAbsent(owner, name -> new ArrayList<>()).add(firstByteSentAt);
        AttemptRecord request = context.requests().find(owner);
        if (request != null && request.stage == AttemptRecord.Stage.ANSWERED) {
            compare(request, request.status, request.answeredAt);
        }
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = context.requests().find(id);
        if (request != null && sent.containsKey(id)) {
            compare(request, status, lastByteSentAt);
        }
    }

    private void compare(AttemptRecord request, int status, long answeredAt) {
        long latestOpen = answeredAt - bounds.linkDelay() - bounds.loopDelay();
        if (status != CONFLICT
                && !context.excuses().linkTroubled(request.attempt, request.takenAt, answeredAt)
                && sent.get(request.id()).stream().anyMatch(at -> at < latestOpen)) {
            context.findings()
                    .add(
                            Rule.DUPLICATE,
                            request.id(),
                            "while it was open something else was passed on under its id");
        }
    }
}
