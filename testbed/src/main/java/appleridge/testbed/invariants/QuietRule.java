package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * When nothing has been open at a sidecar for a while, its books say so and agree with its sockets:
 * no call, no attempt, as many connections of clients and to servers as its machine holds. What
 * stands there for a moment only, as a socket that is just being closed, is looked at again.
 */
final class QuietRule implements DayListener {
    private static final long QUIET = 2 * TimeSpans.SECOND;

    /** Between two looks; unlike one another, so that they meet no rhythm. */
    private static final long[] AGAIN = {70 * TimeSpans.MS, 190 * TimeSpans.MS};

    private final Shared shared;
    private final ResourceProbe ledger;
    private final Map<String, String> openAt = new HashMap<>();
    private final Map<String, Integer> open = new HashMap<>();

    /** Grows whenever a request is asked or a process begins or stands still. */
    private final Map<String, Integer> changes = new HashMap<>();

    QuietRule(Shared shared, ResourceProbe ledger) {
        this.shared = shared;
        this.ledger = ledger;
    }

    @Override
    public void requestStarted(ClientAttempt asking) {
        if (openAt.put(asking.id(), asking.sidecar()) == null) {
            open.merge(asking.sidecar(), 1, Integer::sum);
        }
        changed(asking.sidecar());
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        over(id);
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        over(id);
    }

    @Override
    public void clientGaveUp(String id) {
        over(id);
    }

    private void over(String id) {
        String sidecar = openAt.remove(id);
        if (sidecar != null && open.merge(sidecar, -1, Integer::sum) == 0) {
            wait(sidecar, QUIET);
        }
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        changed(sidecar);
        wait(sidecar, QUIET);
    }

    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        changed(sidecar);
        wait(sidecar, until - from + QUIET);
    }

    private void changed(String sidecar) {
        changes.merge(sidecar, 1, Integer::sum);
    }

    private void wait(String sidecar, long time) {
        int now = changes.getOrDefault(sidecar, 0);
        shared.alarms().at(shared.alarms().now() + time, () -> look(sidecar, now, 0, ""));
    }

    private void look(String sidecar, int change, int looks, String before) {
        long now = shared.alarms().now();
        if (open.getOrDefault(sidecar, 0) > 0
                || changes.getOrDefault(sidecar, 0) != change
                || shared.excuses().paused(sidecar, now - QUIET, now)) {
            return;
        }
        String wrong = wrong(sidecar);
        if (wrong.isEmpty()) {
            return;
        }
        // While idle ones are being closed, each look finds others.
        int same = wrong.equals(before) ? looks : 0;
        if (same < AGAIN.length) {
            shared.alarms().at(now + AGAIN[same], () -> look(sidecar, change, same + 1, wrong));
        } else {
            shared.findings().add(Rule.BOOKS, sidecar, "with nothing open there: " + wrong);
        }
    }

    private String wrong(String sidecar) {
        ResourceCounts now = ledger.resources(sidecar);
        if (now == null) {
            return "";
        }

        StringBuilder wrong = new StringBuilder();
        add(wrong, "calls", now.openCalls(), 0);
        add(wrong, "attempts", now.attempts(), 0);
        add(
                wrong,
                "connections of clients",
                now.clientConnections(),
                ledger.clientConnections(sidecar));
        add(
                wrong,
                "connections to servers",
                now.upstreamConnections(),
                ledger.upstreamConnections(sidecar));
        return wrong.toString();
    }

    private static void add(StringBuilder wrong, String what, int counted, int there) {
        if (counted != there) {
            wrong.append(wrong.length() > 0 ? ", " : "")
                    .append(counted)
                    .append(' ')
                    .append(what)
                    .append(" where there are ")
                    .append(there);
        }
    }
}
