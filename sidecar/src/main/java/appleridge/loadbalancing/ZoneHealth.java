package appleridge.loadbalancing;

import java.util.HashMap;
import java.util.Map;

/**
 * Ejects a whole zone when connects to several of its hosts fail in a row. A zone that is cut off
 * would otherwise cost each sidecar the connect timeout at each of the zone's hosts, and again for
 * every probe. An ejected zone is probed like a single host. The only zone is never ejected.
 */
final class ZoneHealth {
    /** Failures of this many different hosts in a row are attributed to their zone. */
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

        void markReached(long now) {
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

    /** Whether the host's zone is ejected and its next probe is not yet due. */
    boolean isEjected(long now, TrackedHost host) {
        return now < zoneOf(host).nextProbeAt;
    }

    /**
     * An attempt to an ejected zone is its probe; no other probe follows before the backoff ends.
     */
    void onAttemptSent(long now, TrackedHost host) {
        Zone zone = zoneOf(host);
        if (zone.isEjected()) {
            zone.nextProbeAt = now + zone.backoffNanos;
        }
    }

    /**
     * Ignores attempts sent before the zone was last reached, and repeated failures of one host.
     */
    void onConnectFailed(long now, TrackedAttempt attempt) {
        TrackedHost host = attempt.host();
        Zone zone = zoneOf(host);
        if (host == zone.lastUnreachable
                || attempt.sentAt() < zone.reachedAt
                || registry.ready().stream().noneMatch(other -> zoneOf(other) != zone)) {
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

    /** Ends the ejection of the zone; its ejected hosts may be probed at once. */
    void onReached(long now, TrackedHost host) {
        Zone zone = zoneOf(host);
        if (zone.isEjected()) {
            actions.log("zone " + host.endpoint().zone() + " reachable again");
            registry.ready().stream()
                    .filter(other -> zoneOf(other) == zone)
                    .forEach(other -> ejection.probeNow(now, other));
        }
        zone.markReached(now);
    }

    private Zone zoneOf(TrackedHost host) {
        return zones.computeIfAbsent(host.endpoint().zone(), id -> new Zone());
    }
}
