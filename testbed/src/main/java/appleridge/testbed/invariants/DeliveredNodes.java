package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the coordination service has told each sidecar of the servers, where there is one. */
final class DeliveredNodes implements DayListener {
    private final Alarms alarms;
    private final DiscoveryHistory none = new DiscoveryHistory();
    private final Map<String, List<DeliveredUpdates>> sidecars = new HashMap<>();
    private final Map<String, Long> births = new HashMap<>();
    private boolean alone;

    DeliveredNodes(Alarms alarms) {
        this.alarms = alarms;
    }

    /** Whether the registry is not asked. */
    boolean alone() {
        return alone;
    }

    @Override
    public void discoverySources(boolean registry, boolean nodes) {
        alone = nodes && !registry;
    }

    @Override
    public void serverState(String server, int life, String state, long bornAt) {
        births.put(server + '/' + life, bornAt);
    }

    /** When that life of a server began; 0 for long ago. */
    long bornAt(String server, int life) {
        return births.getOrDefault(server + '/' + life, 0L);
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        sidecars.computeIfAbsent(sidecar, name -> new ArrayList<>(2))
                .add(new DeliveredUpdates(none, alarms.now()));
    }

    @Override
    public void nodeDelivered(String sidecar, String uid, String state, long bornAt) {
        DeliveredUpdates told = at(sidecar, alarms.now());
        if (told != null && state.equals("Unknown")) {
            told.forget(uid);
        } else if (told != null) {
            told.told(alarms.now(), uid, state, bornAt);
        }
    }

    private DeliveredUpdates at(String sidecar, long moment) {
        List<DeliveredUpdates> lives = sidecars.getOrDefault(sidecar, List.of());
        for (int i = lives.size() - 1; i >= 0; i--) {
            if (lives.get(i).since() <= moment) {
                return lives.get(i);
            }
        }
        return null;
    }

    /** Since when it had been told, at a moment, that a server drains or is gone; or never. */
    long drainsSince(String sidecar, String server, long moment) {
        DeliveredUpdates told = at(sidecar, moment);
        return told == null ? AttemptRecord.NEVER : told.drainsSince(server, moment);
    }

    /** When it was told of a server's start, or never. */
    long toldOfStart(String sidecar, String server, long bornAt, long moment) {
        DeliveredUpdates told = at(sidecar, moment);
        return told == null ? AttemptRecord.NEVER : told.toldOfStart(server, bornAt);
    }

    /** Since when it had been told, at a moment, that a server is ready; or never. */
    long readySince(String sidecar, String server, long moment) {
        DeliveredUpdates told = at(sidecar, moment);
        return told == null ? AttemptRecord.NEVER : told.readySince(server, moment);
    }

    /** The start that it was told of last; 0 for long ago. */
    long lastStart(String sidecar, String server, long moment) {
        DeliveredUpdates told = at(sidecar, moment);
        return told == null ? 0 : told.lastStart(server);
    }
}
