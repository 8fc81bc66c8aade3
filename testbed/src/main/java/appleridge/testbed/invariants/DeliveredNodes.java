package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks what the coordination service has delivered to each sidecar about the servers, if it is
 * used.
 */
final class DeliveredNodes implements DayListener {
    private final ScheduledChecks checks;
    private final DiscoveryHistory emptyHistory = new DiscoveryHistory();
    private final Map<String, List<DeliveredUpdates>> sidecars = new HashMap<>();
    private final Map<String, Long> startTimes = new HashMap<>();
    private boolean onlySource;

    DeliveredNodes(ScheduledChecks checks) {
        this.checks = checks;
    }

    /** Whether the coordination service lists the servers and the registry does not. */
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

    /** Returns when this incarnation of a server started; 0 for long ago. */
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
            updates.delivered(checks.now(), uid, state, bornAt, false);
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

    /**
     * Returns since when, as of {@code moment}, the sidecar has been told that a server is draining
     * or gone; or NEVER.
     */
    long drainingSince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? AttemptRecord.NEVER : updates.drainingSince(server, moment);
    }

    /** Returns when the sidecar was told of a server's start; or NEVER. */
    long startDeliveredAt(String sidecar, String server, long bornAt, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? AttemptRecord.NEVER : updates.startDeliveredAt(server, bornAt);
    }

    /**
     * Returns since when, as of {@code moment}, the sidecar has been told that a server is ready;
     * or NEVER.
     */
    long readySince(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? AttemptRecord.NEVER : updates.readySince(server, moment);
    }

    /** Returns the latest start of a server that was delivered; 0 for long ago. */
    long latestStart(String sidecar, String server, long moment) {
        DeliveredUpdates updates = at(sidecar, moment);
        return updates == null ? 0 : updates.latestStart(server);
    }
}
