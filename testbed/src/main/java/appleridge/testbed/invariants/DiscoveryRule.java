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
    static final int MOST_OPEN = 2;

    /** Calls within a second. */
    static final int MOST_CALLS = 20;

    private final Shared shared;
    private final Map<String, ArrayDeque<Long>> calls = new HashMap<>();

    DiscoveryRule(Shared shared) {
        this.shared = shared;
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        calls.remove(sidecar);
    }

    @Override
    public void discoveryConnecting(String sidecar, int open) {
        if (open > MOST_OPEN) {
            shared.findings()
                    .add(Rule.DISCOVERY, sidecar, "has " + open + " connections to discovery");
        }
    }

    @Override
    public void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {
        long now = shared.alarms().now();
        ArrayDeque<Long> recent = calls.computeIfAbsent(sidecar, name -> new ArrayDeque<>());
        while (!recent.isEmpty() && recent.peek() <= now - TimeSpans.SECOND) {
            recent.poll();
        }
        recent.add(now);
        if (recent.size() > MOST_CALLS) {
            shared.findings()
                    .add(
                            Rule.DISCOVERY,
                            sidecar,
                            "has asked discovery " + recent.size() + " times within a second");
        }
    }
}
