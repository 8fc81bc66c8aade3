package appleridge.testbed.invariants;

/**
 * When all is over, nothing is left in a sidecar's books but connections that are there, and no
 * exception has escaped.
 */
final class ResourceLeakRule {
    private final Findings findings;

    ResourceLeakRule(Findings findings) {
        this.findings = findings;
    }

    void compare(String sidecar, ResourceCounts now, ResourceCounts baseline) {
        StringBuilder surplus = new StringBuilder();
        addSurplus(surplus, "open calls", now.openCalls(), baseline.openCalls());
        addSurplus(surplus, "attempts", now.attempts(), baseline.attempts());
        addSurplus(
                surplus,
                "connections of clients",
                now.clientConnections(),
                baseline.clientConnections());
        addSurplus(
                surplus,
                "connections to servers",
                now.upstreamConnections(),
                baseline.upstreamConnections());
        addSurplus(surplus, "timers", now.timers(), baseline.timers());
        addSurplus(surplus, "bytes of buffers", now.bufferBytes(), baseline.bufferBytes());
        if (surplus.length() > 0) {
            findings.add(Rule.LEAK, sidecar, "left over: " + surplus);
        }
        if (now.clientConnections() < baseline.clientConnections()
                || now.upstreamConnections() < baseline.upstreamConnections()) {
            findings.add(
                    Rule.BOOKS,
                    sidecar,
                    "counts "
                            + now.clientConnections()
                            + " connections of clients of "
                            + baseline.clientConnections()
                            + " and "
                            + now.upstreamConnections()
                            + " to servers of "
                            + baseline.upstreamConnections());
        }
        if (!now.escaped().isEmpty()) {
            findings.add(Rule.CRASH, sidecar, "escaped: " + String.join("; ", now.escaped()));
        }
    }

    private static void addSurplus(StringBuilder surplus, String what, long now, long baseline) {
        if (now > baseline) {
            surplus.append(surplus.length() > 0 ? ", " : "")
                    .append(now - baseline)
                    .append(' ')
                    .append(what);
        }
    }
}
