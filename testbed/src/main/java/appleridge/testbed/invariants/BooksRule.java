package appleridge.testbed.invariants;

/**
 * When all is over, nothing is left in a sidecar's books but connections that are there, and no
 * exception has escaped.
 */
final class BooksRule {
    private final Findings findings;

    BooksRule(Findings findings) {
        this.findings = findings;
    }

    void compare(String sidecar, ResourceCounts now, ResourceCounts baseline) {
        StringBuilder left = new StringBuilder();
        add(left, "open calls", now.openCalls(), baseline.openCalls());
        add(left, "attempts", now.attempts(), baseline.attempts());
        add(left, "connections of clients", now.clientConnections(), baseline.clientConnections());
        add(
                left,
                "connections to servers",
                now.upstreamConnections(),
                baseline.upstreamConnections());
        add(left, "timers", now.timers(), baseline.timers());
        add(left, "bytes of buffers", now.bufferBytes(), baseline.bufferBytes());
        if (left.length() > 0) {
            findings.add(Rule.LEAK, sidecar, "left over: " + left);
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

    private static void add(StringBuilder left, String what, long now, long baseline) {
        if (now > baseline) {
            left.append(left.length() > 0 ? ", " : "")
                    .append(now - baseline)
                    .append(' ')
                    .append(what);
        }
    }
}
