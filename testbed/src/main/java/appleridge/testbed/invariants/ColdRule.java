package appleridge.testbed.invariants;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a cold server does not collapse under work of which two thirds or more came from
 * sidecars that knew of its start.
 *
 * <p>Work that a sidecar sent before it knew of the start, or before it could act on it, does not
 * count against it. The server reports work per sidecar; the share of it that counts is that of the
 * sidecar's requests within the window.
 */
final class ColdRule implements DayListener {
    private record ReceivedWork(long at, String sidecar, long sentAt, long work) {}

    private static final class Server {
        private long bornAt;
        private final ArrayDeque<ReceivedWork> recentWork = new ArrayDeque<>();
    }

    private static final double MIN_INFORMED_SHARE = 2 / 3.0;

    private final InvariantBounds bounds;
    private final DeliveredLists lists;
    private final DeliveredNodes nodes;
    private final RuleContext context;
    private final Map<String, Server> servers = new HashMap<>();

    ColdRule(
            InvariantBounds bounds,
            DeliveredLists lists,
            DeliveredNodes nodes,
            RuleContext context) {
        this.bounds = bounds;
        this.lists = lists;
        this.nodes = nodes;
        this.context = context;
    }

    @Override
    public void serverState(String server, int incarnation, String state, long bornAt) {
        if (!state.equals("Gone")) {
            of(server).bornAt = bornAt;
        }
    }

    private Server of(String server) {
        return servers.computeIfAbsent(server, name -> new Server());
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
        ArrayDeque<ReceivedWork> recentWork = of(server).recentWork;
        long now = context.checks().now();
        while (!recentWork.isEmpty() && recentWork.peek().at < now - bounds.tipAfter()) {
            recentWork.poll();
        }
        recentWork.add(new ReceivedWork(now, sidecar, lastByteSentAt, work));
    }

    @Override
    public void serverCollapsed(
            String server, int incarnation, Map<String, Double> workBySidecarInWindow) {
        double total = 0;
        double informed = 0;
        for (Map.Entry<String, Double> each : workBySidecarInWindow.entrySet()) {
            total += each.getValue();
            informed += each.getValue() * informedShare(server, each.getKey());
        }
        if (total > 0 && informed >= MIN_INFORMED_SHARE * total) {
            context.findings()
                    .add(
                            Rule.COLD,
                            server,
                            "collapsed; "
                                    + Math.round(100 * informed / total)
                                    + " % of its work in the window came from sidecars that"
                                    + " knew of its start");
        }
    }

    private double informedShare(String server, String sidecar) {
        Server collapsed = of(server);
        long now = context.checks().now();
        long deliveredAt = lists.startDeliveredAt(sidecar, server, collapsed.bornAt, now);
        long byNode = nodes.startDeliveredAt(sidecar, server, collapsed.bornAt, now);
        if (deliveredAt == AttemptRecord.NEVER
                || byNode != AttemptRecord.NEVER && byNode < deliveredAt) {
            deliveredAt = byNode;
        }
        if (deliveredAt == AttemptRecord.NEVER) {
            return 0;
        }
        double total = 0;
        double informed = 0;
        for (ReceivedWork each : collapsed.recentWork) {
            if (each.at >= now - bounds.tipAfter() && each.sidecar.equals(sidecar)) {
                total += each.work;
                if (each.sentAt >= deliveredAt + bounds.socketSlack()) {
                    informed += each.work;
                }
            }
        }
        return total > 0 ? informed / total : 1;
    }
}
