package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the coordination service has told each sidecar of the servers, where there is one. */
final class DeliveredNodes implements DayListener {
    private final ScheduledChecks checks;
    private final DiscoveryHistory emptyHistory = new DiscoveryHistory();
    private final Map<String, List<DeliveredUpdates>> sidecars = new HashMap<>();
    private final Map<String, Long> startTimes = new HashMap<>();
    private boolean onlySource;

    DeliveredNodes(ScheduledChecks checks) {
        this.checks = checks;
    }

    /** Whether the registry is not asked. */
    boolean onlySource() {
        return onlySource;
    }

    @Override
    public void discoverySources(boolean registry, boolean nodes) {
        onlySource = nodes && !registry;
    }

    @Override
    public void serverState(String server, int incarnation, String state, long bornAt) {
        startTimes.put(server + '/' + incarnation, bornAt);
    }

    /** When that life of a server began; 0 for long ago. */
    long bornAt(String server, int incarnation) {
        return startTimes.getOrDefault(server + '/' + incarnation, 0L);
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        sidecars.computeIfAbsent(sidecar, name -> new ArrayList<>(2))
                .add(new DeliveredUpdates(emptyHistory, checks.now()));
    }

    @Override
    public void nodeDelivered(String sidecar, String uid, String state, long bornAt) {
        DeliveredUpdates updates = at(sidecar, checks.now());
        if (updates != null && state.equals("Unknown")) {
            updates.forget(uid);
        } else if (updates != null) {
            updates.delivered(checks.now(), uid, state, bornAt);
        }
    }

    private DeliveredUpdates at(String sidecar, long moment) {
        List<DeliveredUpdates> incarnations = sidecars.getOrDefault(sidecar, List.of());
        for (int i = incarnations.size() - 1; i >= 0; i--) {
            if (incarnations.get(i).since() <= moment) {
                return incarnations.get(i);
            }
        }
        return null;
    }

    /** Since when it had been told, at a moment, that a server drains or is gone; or never. */
    long drainingSince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? AttemptRecord.NEVER : updates.drainingSince(server, moment);
    }

    /** When it was told of a server's start, or never. */
    long startDeliveredAt(String sidecar, String server, long bornAt, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? AttemptRecord.NEVER : updates.startDeliveredAt(server, bornAt);
    }

    /** Since when it had been told, at a moment, that a server is ready; or never. */
    long readySince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? AttemptRecord.NEVER : updates.readySince(server, moment);
    }

    /** The start that it was told of last; 0 for long ago. */
    long latestStart(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? 0 : updates.latestStart(server);
    }
}
