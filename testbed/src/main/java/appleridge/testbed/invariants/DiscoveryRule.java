package appleridge.testbed.invariants;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A sidecar has two connections to discovery at most, one that asks and one that is listened to
 * yet, and asks no more often than some times a second: discovery serves all sidecars.
 */
final class DiscoveryRule implements DayListener {
    /** Connections at once, with those that are being opened. */
    static final int MAX_CONNECTIONS = 2;

    /** Calls within a second. */
    static final int MAX_CALLS_PER_SECOND = 20;

    private final RuleContext context;
    private final Map<String, ArrayDeque<Long>> calls = new HashMap<>();

    DiscoveryRule(RuleContext context) {
        this.context = context;
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        calls.remove(sidecar);
    }

    @Override
    public void discoveryConnecting(String sidecar, int open) {
        if (open > MAX_CONNECTIONS) {
            context.findings()
                    .add(Rule.DISCOVERY, sidecar, "has " + open + " connections to discovery");
        }
    }

    @Override
    public void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {
        long now = context.checks().now();
        ArrayDeque<Long> recent = calls.computeIfAbsent(sidecar, name -> new ArrayDeque<>());
        while (!recent.isEmpty() && recent.peek() <= now - TimeSpans.SECOND) {
            recent.poll();
        }
        recent.add(now);
        if (recent.size() > MAX_CALLS_PER_SECOND) {
            context.findings()
                    .add(
                            Rule.DISCOVERY,
                            sidecar,
                            "has asked discovery " + recent.size() + " times within a second");
        }
    }
}
