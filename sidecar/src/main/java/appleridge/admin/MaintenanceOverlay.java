package appleridge.admin;

import appleridge.discovery.EndpointTable.EndpointUpdate;
import appleridge.hotrestart.MaintenanceDirective;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Applies operators' maintenance directives to the updates of service discovery. The load-balancing
 * policy sees a suspended host as draining for as long as discovery lists it, even after discovery
 * has removed and listed it again or has changed its start time or address. A restored host has the
 * state that discovery reports, but may get a later start time. All discovery updates pass through
 * {@link #apply}, and each directive results in an update of its own, so the policy needs no
 * knowledge of directives. Not thread-safe.
 *
 * <p>Times are nanoseconds on the clock of {@link UpstreamHost#startedAtNanos}.
 */
public final class MaintenanceOverlay {
    /** The maximum number of suspended hosts. Nothing else bounds the map of suspended ids. */
    static final int MAX_SUSPENDED = 4096;

    private record DiscoveredHost(UpstreamHost host, InetSocketAddress address) {}

    /** How long the directive that restored a host is published to the other processes. */
    private static final long RESTORE_PUBLISHED_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final long slowStartWindowNanos;

    /** The hosts that discovery currently lists, by host id. */
    private final Map<String, DiscoveredHost> discovered = new HashMap<>();

    /** The suspended hosts, by id, with the time of suspension. */
    private final Map<String, Long> suspendedSince = new LinkedHashMap<>();

    /** The times at which hosts were restored, by id, kept for the slow-start window. */
    private final Map<String, Long> restoredAt = new HashMap<>();

    /** The latest directive for each host that is suspended or was restored recently. */
    private final Map<String, MaintenanceDirective> directives = new LinkedHashMap<>();

    /**
     * Creates an overlay without directives.
     *
     * @param slowStartWindowNanos how long a host is in slow start after it has started
     */
    public MaintenanceOverlay(long slowStartWindowNanos) {
        this.slowStartWindowNanos = slowStartWindowNanos;
    }

    /** The result of an operator's directive. */
    public sealed interface Result permits Applied, Rejected {}

    /**
     * The overlay applies the directive from now on.
     *
     * @param update must reach the policy before the directive counts as in effect; null if nothing
     *     changes for the policy
     */
    public record Applied(EndpointUpdate update) implements Result {}

    /** The directive has no effect, for the given short reason. */
    public record Rejected(String reason) implements Result {}

    /** Returns a discovery update with the directives applied to it. */
    public EndpointUpdate apply(EndpointUpdate update, long now) {
        forgetExpired(now);
        if (update.kind() == UpdateKind.SNAPSHOT || update.kind() == UpdateKind.CACHED_SNAPSHOT) {
            discovered.clear();
        }
        List<UpstreamHost> hosts = new ArrayList<>(update.entries().size());
        for (UpstreamHost host : update.entries()) {
            String id = update.ids().get(host.id());
            if (host.state() == HostState.GONE) {
                discovered.remove(id);
            } else {
                discovered.put(id, new DiscoveredHost(host, update.addresses().get(host.id())));
            }
            hosts.add(apply(id, host));
        }
        return new EndpointUpdate(update.kind(), hosts, update.addresses(), update.ids());
    }

    /** Suspends a host, which then gets no new attempts. No-op for a host already suspended. */
    public Result suspend(String id, long now) {
        if (!discovered.containsKey(id) && !suspendedSince.containsKey(id)) {
            return new Rejected("unknown upstream");
        }
        if (suspendedSince.size() >= MAX_SUSPENDED && !suspendedSince.containsKey(id)) {
            return new Rejected("too many are out");
        }
        return new Applied(applySuspension(id, now));
    }

    private EndpointUpdate applySuspension(String id, long suspendedAt) {
        directives.put(id, new MaintenanceDirective(id, true, suspendedAt));
        return suspendedSince.putIfAbsent(id, suspendedAt) == null ? update(id) : null;
    }

    /** Restores a host. Suspensions do not nest: one call undoes any number of them. */
    public Result restore(String id, long now) {
        forgetExpired(now);
        boolean known = suspendedSince.containsKey(id) || discovered.containsKey(id);
        return known ? new Applied(applyRestoration(id, now)) : new Rejected("unknown upstream");
    }

    private EndpointUpdate applyRestoration(String id, long now) {
        Long since = suspendedSince.remove(id);
        if (since == null) {
            return null;
        }
        directives.put(id, new MaintenanceDirective(id, false, now));
        DiscoveredHost known = discovered.get(id);
        // The host may have restarted while it was suspended, and discovery may not have reported
        // it yet. Only a start reported during the suspension is certain to be the latest one; in
        // all other cases the host goes through slow start again.
        if (known == null || known.host.startedAtNanos() < since) {
            restoredAt.put(id, now);
        }
        return update(id);
    }

    /**
     * Merges the directives that operators have given to another process of this sidecar. For each
     * host the directive issued last is in effect.
     *
     * @return the resulting updates, which must reach the policy in this order
     */
    public List<EndpointUpdate> merge(List<MaintenanceDirective> others, long now) {
        forgetExpired(now);
        List<EndpointUpdate> updates = new ArrayList<>();
        for (MaintenanceDirective directive : others) {
            if (isNew(directive, now)) {
                EndpointUpdate update =
                        directive.suspended()
                                ? applySuspension(directive.id(), directive.issuedAtUnixNanos())
                                : applyRestoration(directive.id(), directive.issuedAtUnixNanos());
                if (update != null) {
                    updates.add(update);
                }
            }
        }
        return updates;
    }

    private boolean isNew(MaintenanceDirective directive, long now) {
        MaintenanceDirective last = directives.get(directive.id());
        if (last != null) {
            return directive.issuedAtUnixNanos() > last.issuedAtUnixNanos();
        }
        return directive.suspended()
                ? suspendedSince.size() < MAX_SUSPENDED
                : now - directive.issuedAtUnixNanos() <= RESTORE_PUBLISHED_NANOS;
    }

    /** Returns the directives to publish to the other processes of this sidecar. */
    public List<MaintenanceDirective> publishedDirectives() {
        return List.copyOf(directives.values());
    }

    /**
     * Drops expired restorations, which would otherwise accumulate for as long as the sidecar runs.
     */
    private void forgetExpired(long now) {
        restoredAt.values().removeIf(at -> now - at > slowStartWindowNanos);
        directives
                .values()
                .removeIf(
                        directive ->
                                !directive.suspended()
                                        && now - directive.issuedAtUnixNanos()
                                                > RESTORE_PUBLISHED_NANOS);
    }

    /** Returns the suspended hosts, by id, with the time of suspension. */
    public Map<String, Long> suspendedSince() {
        return Map.copyOf(suspendedSince);
    }

    private EndpointUpdate update(String id) {
        DiscoveredHost known = discovered.get(id);
        if (known == null) {
            return null;
        }
        long hostId = known.host.id();
        return new EndpointUpdate(
                UpdateKind.DELTA,
                List.of(apply(id, known.host)),
                Map.of(hostId, known.address),
                Map.of(hostId, id));
    }

    private UpstreamHost apply(String id, UpstreamHost host) {
        HostState state =
                host.state() == HostState.READY && suspendedSince.containsKey(id)
                        ? HostState.DRAINING
                        : host.state();
        long startedAt = Math.max(host.startedAtNanos(), restoredAt.getOrDefault(id, 0L));
        return new UpstreamHost(
                host.id(), host.zone(), host.kind(), host.cell(), state, host.weight(), startedAt);
    }
}
