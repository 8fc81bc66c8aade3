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
 * Applies operators' maintenance directives to discovery's updates. A suspended host drains for the
 * load-balancing policy, whatever discovery says of it: gone, listed again, with another start or
 * address. A restored one is what discovery says, except for its start. All discovery updates go
 * through {@link #apply}; a directive results in an update of its own, so that the policy knows of
 * no directives. Not thread-safe.
 *
 * <p>Times are nanoseconds on the clock on which hosts' starts are placed.
 */
public final class MaintenanceOverlay {
    /** Hosts that may be suspended at once: nothing else bounds their hostId. */
    static final int MAX_SUSPENDED = 4096;

    private record DiscoveredHost(UpstreamHost host, InetSocketAddress address) {}

    /** For so long the directive that restored a host is published to other processes. */
    private static final long RESTORE_PUBLISHED_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final long slowStartWindowNanos;

    /** What discovery says, by host id. */
    private final Map<String, DiscoveredHost> discovered = new HashMap<>();

    /** Which hosts are suspended, and since when. */
    private final Map<String, Long> suspendedSince = new LinkedHashMap<>();

    /** When which host was restored, for as long as that can matter. */
    private final Map<String, Long> restoredAt = new HashMap<>();

    /** The last directive for each host that is suspended, or was until lately. */
    private final Map<String, MaintenanceDirective> directives = new LinkedHashMap<>();

    /** With the time for which a host that has started is in slow start. */
    public MaintenanceOverlay(long slowStartWindowNanos) {
        this.slowStartWindowNanos = slowStartWindowNanos;
    }

    /** The result of an operator's call. */
    public sealed interface Result permits Applied, Rejected {}

    /** It holds from now on; the update has to reach the policy first. Null where there is none. */
    public record Applied(EndpointUpdate update) implements Result {}

    /** Nothing has changed; the reason in a few words. */
    public record Rejected(String reason) implements Result {}

    /** A discovery update with the directives applied to it. */
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

    /** Suspends a host: it gets no new attempts. Nothing changes for one that is suspended. */
    public Result suspend(String id, long now) {
        DiscoveredHost its = discovered.get(id);
        if (its == null && !suspendedSince.containsKey(id)) {
            return new Rejected("unknown upstream");
        }
        if (suspendedSince.size() >= MAX_SUSPENDED && !suspendedSince.containsKey(id)) {
            return new Rejected("too many are out");
        }
        return new Applied(applySuspension(id, now));
    }

    private EndpointUpdate applySuspension(String id, long at) {
        directives.put(id, new MaintenanceDirective(id, true, at));
        return suspendedSince.putIfAbsent(id, at) == null ? update(id) : null;
    }

    /** Restores a host, however often it was suspended. */
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
        DiscoveredHost its = discovered.get(id);
        // It may have been restarted meanwhile, and discovery be late to say so: only a start
        // within
        // the time in which it was suspended is certain to be its last one.
        if (its == null || its.host.startedAtNanos() < since) {
            restoredAt.put(id, now);
        }
        return update(id);
    }

    /**
     * Merges the directives that operators have given to another process of this sidecar; of two
     * for a host the later one holds.
     *
     * @return the resulting updates, for the policy
     */
    public List<EndpointUpdate> merge(List<MaintenanceDirective> others, long now) {
        forgetExpired(now);
        List<EndpointUpdate> all = new ArrayList<>();
        for (MaintenanceDirective directive : others) {
            if (isNew(directive, now)) {
                EndpointUpdate update =
                        directive.suspended()
                                ? applySuspension(directive.id(), directive.issuedAtUnixNanos())
                                : applyRestoration(directive.id(), directive.issuedAtUnixNanos());
                if (update != null) {
                    all.add(update);
                }
            }
        }
        return all;
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

    /** The directives to be published to other processes of this sidecar. */
    public List<MaintenanceDirective> publishedDirectives() {
        return List.copyOf(directives.values());
    }

    /** Without this directives would pile up as long as the sidecar runs. */
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

    /** Which hosts are suspended, by id, and since when. */
    public Map<String, Long> suspendedSince() {
        return Map.copyOf(suspendedSince);
    }

    private EndpointUpdate update(String id) {
        DiscoveredHost its = discovered.get(id);
        if (its == null) {
            return null;
        }
        long hostId = its.host.id();
        return new EndpointUpdate(
                UpdateKind.DELTA,
                List.of(apply(id, its.host)),
                Map.of(hostId, its.address),
                Map.of(hostId, id));
    }

    private UpstreamHost apply(String id, UpstreamHost host) {
        HostState state =
                host.state() == HostState.READY && suspendedSince.containsKey(id)
                        ? HostState.DRAINING
                        : host.state();
        long started = Math.max(host.startedAtNanos(), restoredAt.getOrDefault(id, 0L));
        return new UpstreamHost(
                host.id(), host.zone(), host.kind(), host.cell(), state, host.weight(), started);
    }
}
