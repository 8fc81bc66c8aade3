package appleridge.loadbalancing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The endpoint table: all known hosts by id, and those that are ready for requests. */
final class HostRegistry {
    /** Creates the record of a new or restarted host. */
    interface HostFactory {
        TrackedHost create(long now, UpstreamHost endpoint);
    }

    private final HostFactory factory;
    private final TreeMap<Long, TrackedHost> hosts = new TreeMap<>();
    private List<TrackedHost> ready = List.of();

    HostRegistry(HostFactory factory) {
        this.factory = factory;
    }

    /** The ready hosts, ordered by id. */
    List<TrackedHost> ready() {
        return ready;
    }

    /** All known hosts, ordered by id. */
    Collection<TrackedHost> hosts() {
        return hosts.values();
    }

    Optional<TrackedHost> find(long id) {
        return Optional.ofNullable(hosts.get(id));
    }

    /**
     * Applies a snapshot or delta.
     *
     * @param kind not {@link UpdateKind#FAILURE}
     * @return whether the set of ready hosts has changed; a restarted host counts as a new one
     */
    boolean apply(long now, UpdateKind kind, List<UpstreamHost> entries) {
        Set<Long> missing = new TreeSet<>(kind == UpdateKind.DELTA ? Set.of() : hosts.keySet());
        boolean changed = false;
        for (UpstreamHost entry : entries) {
            missing.remove(entry.id());
            changed |= apply(now, entry);
        }
        for (long id : missing) {
            TrackedHost host = hosts.get(id);
            changed |= host.isReady();
            host.update(host.endpoint().asGone());
        }
        // Hosts are replaced during the life of a sidecar; records of gone ones would accumulate.
        hosts.values()
                .removeIf(
                        host -> host.endpoint().state() == HostState.GONE && host.inFlight() == 0);
        if (changed) {
            ready =
                    hosts.values().stream()
                            .filter(host -> host.endpoint().state() == HostState.READY)
                            .toList();
        }
        return changed;
    }

    private boolean apply(long now, UpstreamHost entry) {
        TrackedHost host = hosts.get(entry.id());
        boolean wasReady = host != null && host.isReady();
        boolean newIncarnation =
                host == null || entry.startedAtNanos() > host.endpoint().startedAtNanos();
        if (newIncarnation) {
            host = factory.create(now, entry);
            hosts.put(entry.id(), host);
        }
        host.update(entry);
        return wasReady != host.isReady() || newIncarnation && host.isReady();
    }
}
