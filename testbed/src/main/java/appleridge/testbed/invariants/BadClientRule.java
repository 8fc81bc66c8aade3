package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a bad client gets an error or a close within the time it is owed, and is never
 * served.
 */
final class BadClientRule implements DayListener {
    private final RuleContext context;

    /** Connect time of each bad client that still waits. */
    private final Map<String, Long> connectedAt = new HashMap<>();

    BadClientRule(RuleContext context) {
        this.context = context;
    }

    @Override
    public void badClientConnected(String name, long deadline) {
        long connected = context.checks().now();
        connectedAt.put(name, connected);
        context.checks().at(deadline, () -> checkOverdue(name, connected, deadline));
    }

    private void checkOverdue(String name, long connected, long deadline) {
        Long known = connectedAt.get(name);
        if (known == null || known != connected) {
            return;
        }
        long extended = context.excuses().extendedForAny(connected, deadline);
        if (extended > context.checks().now()) {
            context.checks().at(extended, () -> checkOverdue(name, connected, deadline));
            return;
        }
        connectedAt.remove(name);
        context.findings()
                .add(
                        Rule.BAD_CLIENT,
                        name,
                        "neither an error nor a close "
                                + TimeSpans.text(context.checks().now() - connected)
                                + " after it connected");
    }

    @Override
    public void badClientEnded(String name, int statusOr0) {
        connectedAt.remove(name);
        if (statusOr0 >= 200 && statusOr0 < 300) {
            context.findings().add(Rule.BAD_CLIENT, name, "served with " + statusOr0);
        }
    }
}
