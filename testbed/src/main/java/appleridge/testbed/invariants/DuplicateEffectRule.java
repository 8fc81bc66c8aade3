package appleridge.testbed.invariants;

import appleridge.testbed.invariants.InvariantBounds.ClassRule;
import appleridge.testbed.invariants.InvariantBounds.Repeats;
import java.util.function.UnaryOperator;

/**
 * Checks that no effect happens twice, or after the client was told that it did not happen.
 *
 * <p>A copy that a server has read completely may have run unless the server has said otherwise by
 * then. Sending another copy, or refusing the request, on the mere hope that it did not run is a
 * violation even if the hope comes true.
 */
final class DuplicateEffectRule implements DayListener {
    private final InvariantBounds bounds;
    private final Requests requests;
    private final Findings findings;
    private final UnaryOperator<String> zoneOf;

    DuplicateEffectRule(
            InvariantBounds bounds,
            Requests requests,
            Findings findings,
            UnaryOperator<String> zoneOf) {
        this.bounds = bounds;
        this.requests = requests;
        this.findings = findings;
        this.zoneOf = zoneOf;
    }

    @Override
    public void serverReceived(
            String server,
            int incarnation,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        AttemptRecord request = requests.find(id);
        if (request == null) {
            return;
        }
        ClassRule rule = bounds.classOf(request.attempt);
        RequestCopy newest = request.copies.get(request.copies.size() - 1);
        if (!newest.mayHaveRun()) {
            return;
        }
        if (request.wasRefused() && !rule.repeats().mayBeRefused()) {
            findings.add(
                    Rule.DUPLICATE,
                    id,
                    "refused with " + request.status + ", then it reached " + server);
        }
        RequestCopy first = newest;
        for (RequestCopy each : request.copies) {
            if (each.mayHaveRun() && each.lastByteAt < first.lastByteAt) {
                first = each;
            }
        }
        for (RequestCopy each : request.copies) {
            if (each != first && each.mayHaveRun()) {
                compare(request, rule, first, each);
            }
        }
    }

    private void compare(
            AttemptRecord request, ClassRule rule, RequestCopy first, RequestCopy later) {
        String places =
                " at "
                        + first.server
                        + " and "
                        + TimeSpans.text(later.lastByteAt - first.lastByteAt)
                        + " later at "
                        + later.server;
        if (rule.repeats() == Repeats.NEVER) {
            findings.add(Rule.DUPLICATE, request.id(), "may have run twice:" + places);
        } else if (rule.repeats() != Repeats.FREELY
                && later.lastByteAt > first.lastByteAt + rule.window() + bounds.socketSlack()) {
            findings.add(
                    Rule.DUPLICATE, request.id(), "repeated after its window had passed:" + places);
        } else if (rule.repeats() == Repeats.WITHIN_ZONE
                && !zoneOf.apply(first.server).equals(zoneOf.apply(later.server))) {
            findings.add(Rule.DUPLICATE, request.id(), "repeated in another zone:" + places);
        }
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = requests.find(id);
        if (request == null
                || status != 429 && status != 503
                || bounds.classOf(request.attempt).repeats().mayBeRefused()) {
            return;
        }
        for (RequestCopy each : request.copies) {
            if (each.mayHaveRun()) {
                findings.add(
                        Rule.DUPLICATE,
                        id,
                        "refused with " + status + ", but it may have run at " + each.server);
                return;
            }
        }
    }
}
