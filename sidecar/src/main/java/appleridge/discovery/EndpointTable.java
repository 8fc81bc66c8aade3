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
 * Converts discovered endpoints to the hosts of the load-balancing policy: assigns each a number,
 * converts its start to the sidecar's clock, and lets one host hold an address. Keeps no state of
 * hosts that are no longer listed, except in {@link AddressOwnership}. Not thread-safe.
 */
public final class EndpointTable {
    /**
     * An update in the policy's terms.
     *
     * @param entries the hosts that the update names
     * @param addresses the addresses of these hosts, by number
     * @param ids the ids of these hosts in the endpoint list, by number
     */
    public record EndpointUpdate(
            UpdateKind kind,
            List<UpstreamHost> entries,
            Map<Long, InetSocketAddress> addresses,
            Map<Long, String> ids) {}

    private final UpstreamIds upstreamIds = new UpstreamIds();
    private final StartTimes starts;
    private final AddressOwnership ownership = new AddressOwnership();

    /** The endpoint that each listed host was last listed as, by id. */
    private final Map<String, DiscoveredEndpoint> lastListed = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param clockNanosOfUnixMillis converts Unix time in milliseconds to nanoseconds on the
     *     sidecar's clock
     */
    public EndpointTable(LongUnaryOperator clockNanosOfUnixMillis) {
        this.starts = new StartTimes(clockNanosOfUnixMillis);
    }

    /** Applies an update; hosts that a snapshot does not list are gone. */
    public EndpointUpdate update(UpdateKind kind, List<DiscoveredEndpoint> listedEntries) {
        Collection<DiscoveredEndpoint> members = lastEntryOfEachId(listedEntries);
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
     * Returns the last entry of each id. A delta may hold several entries for a host that has gone
     * and returned since the last call. If the first entry counted, the host would be unknown when
     * another one takes its address, and that change would be lost.
     */
    private static Collection<DiscoveredEndpoint> lastEntryOfEachId(
            List<DiscoveredEndpoint> entries) {
        Map<String, DiscoveredEndpoint> last = new LinkedHashMap<>();
        entries.forEach(member -> last.put(member.id(), member));
        return last.values();
    }

    /** Adds to the endpoints, as gone, the hosts whose address another host has taken. */
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
            String displaced =
                    member.state() == HostState.GONE
                            ? null
                            : ownership.register(
                                    member.id(), member.address(), member.startedAtUnixMillis());
            if (displaced != null) {
                update.put(displaced, lastListed.get(displaced).withState(HostState.GONE));
            }
        }
        return update;
    }
}
