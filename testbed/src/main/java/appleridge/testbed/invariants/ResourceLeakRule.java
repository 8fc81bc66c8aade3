package appleridge.testbed.invariants;

/**
 * Checks at the end of the day that a sidecar holds no resources beyond the allowed baseline, that
 * it counts its existing connections, and that no exception has escaped.
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
                "client connections",
                now.clientConnections(),
                baseline.clientConnections());
        addSurplus(
                surplus,
                "server connections",
                now.upstreamConnections(),
                baseline.upstreamConnections());
        addSurplus(surplus, "timers", now.timers(), baseline.timers());
        addSurplus(surplus, "buffer bytes", now.bufferBytes(), baseline.bufferBytes());
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
                            + " of "
                            + baseline.clientConnections()
                            + " client connections and "
                            + now.upstreamConnections()
                            + " of "
                            + baseline.upstreamConnections()
                            + " server connections");
        }
        if (!now.escaped().isEmpty()) {
            findings.add(Rule.CRASH, sidecar, "uncaught: " + String.join("; ", now.escaped()));
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
