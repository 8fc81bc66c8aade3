package appleridge.request;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The upstream hosts as last reported by discovery: where each listens and which are ready. Closes
 * the idle connections of hosts that are no longer ready or have another address. Event loop only.
 */
final class EndpointDirectory {
    private final UpstreamTransport transport;
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Set<Long> readyHosts = new HashSet<>();

    EndpointDirectory(UpstreamTransport transport) {
        this.transport = transport;
    }

    /**
     * Applies a discovery update.
     *
     * @param hosts the hosts of a snapshot, or those that a delta changes
     * @param addresses where hosts listen, by host id
     */
    void apply(UpdateKind kind, List<UpstreamHost> hosts, Map<Long, InetSocketAddress> addresses) {
        Set<Long> removed = new HashSet<>();
        if (kind == UpdateKind.SNAPSHOT || kind == UpdateKind.CACHED_SNAPSHOT) {
            removed.addAll(endpoints.keySet());
            removed.removeAll(addresses.keySet());
        }
        addresses.forEach(this::setAddress);
        for (UpstreamHost host : hosts) {
            setState(host);
            if (host.state() == HostState.GONE) {
                removed.add(host.id());
            }
        }
        // Hosts come and go as long as the sidecar runs: the maps would grow without bound.
        for (long id : removed) {
            closeIdleConnections(id);
            readyHosts.remove(id);
            endpoints.remove(id);
        }
    }

    private void setAddress(long id, InetSocketAddress address) {
        Endpoint endpoint = new Endpoint(id, address);
        Endpoint before = endpoints.put(id, endpoint);
        if (before != null && !before.equals(endpoint)) {
            transport.closeIdleConnections(before);
        }
    }

    private void setState(UpstreamHost host) {
        if (host.state() == HostState.READY) {
            readyHosts.add(host.id());
        } else {
            readyHosts.remove(host.id());
            closeIdleConnections(host.id());
        }
    }

    /** Returns where a host listens; null if the host is unknown. */
    Endpoint find(long host) {
        return endpoints.get(host);
    }

    boolean isReady(long host) {
        return readyHosts.contains(host);
    }

    int readyHostCount() {
        return readyHosts.size();
    }

    /** Closes a host's idle connections; does nothing for an unknown host. */
    void closeIdleConnections(long host) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint != null) {
            transport.closeIdleConnections(endpoint);
        }
    }
}
