package appleridge.testbed.invariants;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a sidecar has two connections to discovery at most, one for calls and one on which it
 * still awaits an answer, and that it limits its call rate: discovery serves all sidecars.
 */
final class DiscoveryRule implements DayListener {
    /** Connections at once, including those being opened. */
    static final int MAX_CONNECTIONS = 2;

    /** Calls within one second. */
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
                            "called discovery " + recent.size() + " times within a second");
        }
    }
}
