package appleridge.discovery;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * Turns discovery's endpoints into what the load-balancing policy knows: a number for each host,
 * its start on the sidecar's clock, and one host at an address. Keeps nothing of hosts that are
 * listed no more, but for {@link AddressOwnership}. Not thread-safe.
 */
public final class EndpointTable {
    /**
     * An update as the policy takes it.
     *
     * @param addresses where its hosts listen, by their numbers
     * @param ids their ids in the list, by their numbers
     */
    public record EndpointUpdate(
            UpdateKind kind,
            List<UpstreamHost> entries,
            Map<Long, InetSocketAddress> addresses,
            Map<Long, String> ids) {}

    private final UpstreamIds upstreamIds = new UpstreamIds();
    private final StartTimes starts;
    private final AddressOwnership ownership = new AddressOwnership();

    /** What is listed, as it was listed last, by id. */
    private final Map<String, DiscoveredEndpoint> lastListed = new HashMap<>();

    /** {@code place}: from Unix time in milliseconds to nanoseconds on the sidecar's clock. */
    public EndpointTable(LongUnaryOperator place) {
        this.starts = new StartTimes(place);
    }

    /** Takes an update in; hosts that a snapshot leaves out are gone. */
    public EndpointUpdate update(UpdateKind kind, List<DiscoveredEndpoint> told) {
        Collection<DiscoveredEndpoint> members = lastOfEach(told);
        if (kind == UpdateKind.SNAPSHOT || kind == UpdateKind.CACHED_SNAPSHOT) {
            Set<String> listed = new HashSet<>();
            members.forEach(member -> listed.add(member.id()));
            upstreamIds.retain(listed);
            starts.retain(listed);
            ownership.retain(listed);
            lastListed.keySet().retainAll(listed);
        }
        List<UpstreamHost> entries = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        Map<Long, String> ids = new HashMap<>();
        for (DiscoveredEndpoint member : withDisplacedAsGone(members).values()) {
            long number = upstreamIds.number(member.id());
            entries.add(
                    new UpstreamHost(
                            number,
                            member.zone(),
                            member.kind(),
                            member.cell(),
                            member.state(),
                            member.weight(),
                            starts.clockNanos(member.id(), member.startedAtUnixMillis())));
            addresses.put(number, member.address());
            ids.put(number, member.id());
        }
        for (DiscoveredEndpoint member : members) {
            if (member.state() == HostState.GONE) {
                upstreamIds.forget(member.id());
                starts.forget(member.id());
                lastListed.remove(member.id());
            }
        }
        return new EndpointUpdate(kind, entries, addresses, ids);
    }

    /**
     * The last entry for each id. A delta may hold all that became of a host since the last call,
     * gone and there again; were the first entry to count, the host would be unknown when another
     * one takes its address, and that update would be lost.
     */
    private static Collection<DiscoveredEndpoint> lastOfEach(List<DiscoveredEndpoint> told) {
        Map<String, DiscoveredEndpoint> last = new LinkedHashMap<>();
        told.forEach(member -> last.put(member.id(), member));
        return last.values();
    }

    /** The endpoints, and as gone those whose address another one has taken. */
    private Map<String, DiscoveredEndpoint> withDisplacedAsGone(
            Collection<DiscoveredEndpoint> members) {
        for (DiscoveredEndpoint member : members) {
            if (member.state() == HostState.GONE) {
                ownership.forget(member.id());
            } else {
                ownership.releaseIfMoved(member.id(), member.address());
            }
        }
        Map<String, DiscoveredEndpoint> update = new LinkedHashMap<>();
        for (DiscoveredEndpoint member : members) {
            update.put(member.id(), member);
            lastListed.put(member.id(), member);
            String absent =
                    member.state() == HostState.GONE
                            ? null
                            : ownership.register(
                                    member.id(), member.address(), member.startedAtUnixMillis());
            if (absent != null) {
                update.put(absent, lastListed.get(absent).withState(HostState.GONE));
            }
        }
        return update;
    }
}
