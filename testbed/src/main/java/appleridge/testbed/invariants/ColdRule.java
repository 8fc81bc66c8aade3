package appleridge.testbed.invariants;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A cold server falls over, and two thirds of the work that pushed it came from sidecars that knew
 * of its start. What a sidecar sent before it knew, or could act on it, doesn't count as its own;
 * of the work that the server reports for a sidecar, the same part counts as of that sidecar's
 * requests in the window.
 */
final class ColdRule implements DayListener {
    private record Work(long at, String sidecar, long sentAt, long work) {}

    private static final class Server {
        private long bornAt;
        private final ArrayDeque<Work> lately = new ArrayDeque<>();
    }

    private static final double TWO_THIRDS = 2 / 3.0;

    private final InvariantBounds figures;
    private final Lists lists;
    private final DeliveredNodes nodes;
    private final Shared shared;
    private final Map<String, Server> servers = new HashMap<>();

    ColdRule(InvariantBounds figures, Lists lists, DeliveredNodes nodes, Shared shared) {
        this.figures = figures;
        this.lists = lists;
        this.nodes = nodes;
        this.shared = shared;
    }

    @Override
    public void serverState(String server, int life, String state, long bornAt) {
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
            int life,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        ArrayDeque<Work> lately = of(server).lately;
        long now = shared.alarms().now();
        while (!lately.isEmpty() && lately.peek().at < now - figures.tipAfter()) {
            lately.poll();
        }
        lately.add(new Work(now, sidecar, lastByteSentAt, work));
    }

    @Override
    public void serverCollapsed(
            String server, int life, Map<String, Double> workBySidecarInWindow) {
        double all = 0;
        double knowing = 0;
        for (Map.Entry<String, Double> each : workBySidecarInWindow.entrySet()) {
            all += each.getValue();
            knowing += each.getValue() * knowingPart(server, each.getKey());
        }
        if (all > 0 && knowing >= TWO_THIRDS * all) {
            shared.findings()
                    .add(
                            Rule.COLD,
                            server,
                            "it fell over; of the work that pushed it "
                                    + Math.round(100 * knowing / all)
                                    + " % came from sidecars that were told of its start");
        }
    }

    private double knowingPart(String server, String sidecar) {
        Server fallen = of(server);
        long now = shared.alarms().now();
        long told = lists.toldOfStart(sidecar, server, fallen.bornAt, now);
        long byNodes = nodes.toldOfStart(sidecar, server, fallen.bornAt, now);
        if (told == AttemptRecord.NEVER || byNodes != AttemptRecord.NEVER && byNodes < told) {
            told = byNodes;
        }
        if (told == AttemptRecord.NEVER) {
            return 0;
        }
        double all = 0;
        double knowing = 0;
        for (Work each : fallen.lately) {
            if (each.at >= now - figures.tipAfter() && each.sidecar.equals(sidecar)) {
                all += each.work;
                if (each.sentAt >= told + figures.socketSlack()) {
                    knowing += each.work;
                }
            }
        }
        return all > 0 ? knowing / all : 1;
    }
}
