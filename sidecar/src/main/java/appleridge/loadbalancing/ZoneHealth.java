package appleridge.loadbalancing;

import java.util.HashMap;
import java.util.Map;

/**
 * Ejects a whole zone when several of its hosts in a row can't be connected to. A zone that is cut
 * off would otherwise cost each sidecar the connect timeout at each of its hosts, and again for
 * every probe. The zone is probed as one host would be; the only zone is never ejected.
 */
final class ZoneHealth {
    /** So many different hosts in a row speak of the zone and not of themselves. */
    private static final int UNREACHABLE_HOSTS_TO_EJECT = 2;

    private static final class Zone {
        private int unreachableHosts;
        private TrackedHost lastUnreachable;
        private long reachedAt;
        private long backoffNanos;
        private long nextProbeAt;

        boolean isEjected() {
            return unreachableHosts >= UNREACHABLE_HOSTS_TO_EJECT;
        }

        void reached(long now) {
            unreachableHosts = 0;
            lastUnreachable = null;
            reachedAt = now;
            nextProbeAt = 0;
        }
    }

    private final HostRegistry registry;
    private final ConnectFailureEjection ejection;
    private final PolicyActions actions;
    private final Map<Integer, Zone> zones = new HashMap<>();

    ZoneHealth(HostRegistry registry, ConnectFailureEjection ejection, PolicyActions actions) {
        this.registry = registry;
        this.ejection = ejection;
        this.actions = actions;
    }

    /** Whether the host's zone is ejected and its next probe not yet due. */
    boolean isEjected(long now, TrackedHost host) {
        return now < zone(host).nextProbeAt;
    }

    /** An attempt to an ejected zone is its probe: no other one follows before the backoff ends. */
    void onAttemptSent(long now, TrackedHost host) {
        Zone zone = zone(host);
        if (zone.isEjected()) {
            zone.nextProbeAt = now + zone.backoffNanos;
        }
    }

    /** Ignores attempts from before the zone was last reached, and the same host in a row. */
    void onConnectFailed(long now, TrackedAttempt attempt) {
        TrackedHost host = attempt.host();
        Zone zone = zone(host);
        if (host == zone.lastUnreachable
                || attempt.sentAt() < zone.reachedAt
                || registry.ready().stream().noneMatch(other -> zone(other) != zone)) {
            return;
        }
        zone.lastUnreachable = host;
        if (++zone.unreachableHosts == UNREACHABLE_HOSTS_TO_EJECT) {
            actions.log("zone " + host.endpoint().zone() + " ejected: connect failed");
            zone.backoffNanos = ejection.initialBackoffNanos();
        }
        if (zone.isEjected()) {
            zone.backoffNanos = ejection.nextBackoffNanos(zone.backoffNanos);
            zone.nextProbeAt = now + zone.backoffNanos;
        }
    }

    /** Brings the zone back; hosts that were ejected with it are probed at once. */
    void onReached(long now, TrackedHost host) {
        Zone zone = zone(host);
        if (zone.isEjected()) {
            actions.log("zone " + host.endpoint().zone() + " reachable again");
            registry.ready().stream()
                    .filter(other -> zone(other) == zone)
                    .forEach(other -> ejection.probeNow(now, other));
        }
        zone.reached(now);
    }

    private Zone zone(TrackedHost host) {
        return zones.computeIfAbsent(host.endpoint().zone(), id -> new Zone());
    }
}
