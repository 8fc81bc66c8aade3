package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A {@link NodeDiscovery} on a simulated clock in milliseconds, with all that it publishes. */
final class NodeDiscoveryFixture {
    static final long NANOS_PER_MILLI = 1_000_000;

    /** One published update; times in milliseconds. */
    record Event(
            long atMillis,
            UpdateKind kind,
            List<DiscoveredEndpoint> members,
            String source,
            long sinceMillis) {}

    final List<Event> events = new ArrayList<>();
    final List<String> infoLines = new ArrayList<>();
    final List<String> warningLines = new ArrayList<>();
    final Map<String, DiscoveredEndpoint> list = new LinkedHashMap<>();
    final NodeDiscovery discovery;
    long nowMillis = 1000;
    private long zxid = 100;

    NodeDiscoveryFixture(SourceSelection sources) {
        discovery =
                new NodeDiscovery(
                        sources,
                        NodeDiscovery.Settings.DEFAULTS,
                        this::onUpdate,
                        infoLines::add,
                        warningLines::add);
    }

    private void onUpdate(
            UpdateKind kind, List<DiscoveredEndpoint> members, String source, long sinceNanos) {
        events.add(new Event(nowMillis, kind, members, source, sinceNanos / NANOS_PER_MILLI));
        if (kind == UpdateKind.SNAPSHOT || kind == UpdateKind.CACHED_SNAPSHOT) {
            list.clear();
        }
        for (DiscoveredEndpoint each : members) {
            if (each.state() == HostState.GONE) {
                list.remove(each.id());
            } else {
                list.put(each.id(), each);
            }
        }
    }

    static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    static NodeData data(int port, HostState state, long startedMillis) {
        return new NodeData(at(port), 0, 0, 0, state, 1, startedMillis, null);
    }

    static DiscoveredEndpoint member(String id, int port, HostState state, long startedMillis) {
        return new DiscoveredEndpoint(id, at(port), 0, 0, 0, state, 1, startedMillis);
    }

    /** The read of a node that was created by one transaction and last changed by another. */
    static NodeRead node(long czxid, long mzxid, NodeData data) {
        return new NodeRead(data, null, 1000 * czxid, mzxid, czxid);
    }

    static NodeRead ready(long zxid, int port, long startedMillis) {
        return node(zxid, zxid, data(port, HostState.READY, startedMillis));
    }

    static NodeRead unreadable(long zxid) {
        return new NodeRead(null, "no address", 1000 * zxid, zxid, zxid);
    }

    long nextZxid() {
        return ++zxid;
    }

    /** Advances the clock, with a tick every 100 ms. */
    void advance(long millis) {
        long end = nowMillis + millis;
        while (nowMillis + 100 <= end) {
            nowMillis += 100;
            discovery.tick(nowNanos());
        }
        nowMillis = end;
    }

    long nowNanos() {
        return nowMillis * NANOS_PER_MILLI;
    }

    void session(SessionState state) {
        discovery.onSessionState(nowNanos(), state);
    }

    /** Delivers a snapshot whose reading took no time. */
    void snapshot(long zxid, Map<String, NodeRead> nodes) {
        this.zxid = Math.max(this.zxid, zxid);
        discovery.onSnapshot(nowNanos(), nowNanos(), zxid, nodes);
    }

    void changed(long zxid, String name) {
        discovery.onNodeChanged(nowNanos(), nowNanos(), zxid, name);
    }

    void read(String name, NodeRead read) {
        discovery.onNodeRead(nowNanos(), read.mzxid(), name, read);
    }

    /** Creates or changes a node, whose data are read at once. */
    void put(String name, NodeRead read) {
        changed(read.mzxid(), name);
        read(name, read);
    }

    void delete(long zxid, String name) {
        discovery.onNodeDeleted(nowNanos(), nowNanos(), zxid, name);
    }

    void registry(UpdateKind kind, DiscoveredEndpoint... members) {
        discovery.onRegistryUpdate(nowNanos(), kind, List.of(members));
    }

    /** The listed state of an id; {@link HostState#GONE} if it is not listed. */
    HostState state(String id) {
        DiscoveredEndpoint member = list.get(id);
        return member == null ? HostState.GONE : member.state();
    }

    /** The last update with an id in this state; null for none. */
    Event lastUpdate(String id, HostState state) {
        Event found = null;
        for (Event each : events) {
            for (DiscoveredEndpoint member : each.members) {
                if (member.id().equals(id) && member.state() == state) {
                    found = each;
                }
            }
        }
        return found;
    }
}
