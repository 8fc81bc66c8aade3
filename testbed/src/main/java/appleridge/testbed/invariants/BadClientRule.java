package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/** A bad client gets an error or a close in the time that it is owed, and is never served. */
final class BadClientRule implements DayListener {
    private final Shared shared;

    /** When each that waits has connected. */
    private final Map<String, Long> waiting = new HashMap<>();

    BadClientRule(Shared shared) {
        this.shared = shared;
    }

    @Override
    public void badClientConnected(String name, long owedBy) {
        long connected = shared.alarms().now();
        waiting.put(name, connected);
        shared.alarms().at(owedBy, () -> overdue(name, connected, owedBy));
    }

    private void overdue(String name, long connected, long owedBy) {
        Long waits = waiting.get(name);
        if (waits == null || waits != connected) {
            return;
        }
        long due = shared.excuses().extendedForAny(connected, owedBy);
        if (due > shared.alarms().now()) {
            shared.alarms().at(due, () -> overdue(name, connected, owedBy));
            return;
        }
        waiting.remove(name);
        shared.findings()
                .add(
                        Rule.BAD_CLIENT,
                        name,
                        "neither an error nor a close "
                                + TimeSpans.text(shared.alarms().now() - connected)
                                + " after it connected");
    }

    @Override
    public void badClientEnded(String name, int statusOr0) {
        waiting.remove(name);
        if (statusOr0 >= 200 && statusOr0 < 300) {
            shared.findings().add(Rule.BAD_CLIENT, name, "served with " + statusOr0);
        }
    }
}
