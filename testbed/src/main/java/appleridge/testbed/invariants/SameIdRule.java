package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that while a request is open, no other request is forwarded under its id. The request is
 * surely open from when its sidecar has read it until its answer is written; an answer that took a
 * while to write ended the request somewhat before its last byte.
 */
final class SameIdRule implements DayListener {
    private static final int CONFLICT = 409;

    private final InvariantBounds bounds;
    private final RuleContext context;

    /**
     * The id of the open request, by the id under which servers report the other client's request.
     */
    private final Map<String, String> owners = new HashMap<>();

    /** When other requests were sent under an id, by the id of the open request. */
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
                            "another request was forwarded under its id while it was open");
        }
    }
}
