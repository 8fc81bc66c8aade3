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

/** A membership on a clock of the test's, in milliseconds, and what it has told. */
final class NodeDiscoveryFixture {
    static final long MS = 1_000_000;

    /** One event that was told. */
    record Event(
            long at,
            UpdateKind kind,
            List<DiscoveredEndpoint> members,
            String source,
            long toldAt) {}

    final List<Event> events = new ArrayList<>();
    final List<String> news = new ArrayList<>();
    final List<String> warnings = new ArrayList<>();
    final Map<String, DiscoveredEndpoint> list = new LinkedHashMap<>();
    final NodeDiscovery membership;
    long now = 1000;
    private long zxid = 100;

    NodeDiscoveryFixture(SourceSelection merge) {
        membership =
                new NodeDiscovery(
                        merge,
                        NodeDiscovery.Settings.DEFAULTS,
                        this::told,
                        news::add,
                        warnings::add);
    }

    private void told(
            UpdateKind kind, List<DiscoveredEndpoint> members, String source, long toldAt) {
        events.add(new Event(now, kind, members, source, toldAt / MS));
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

    /** A node as it is read, made by one transaction and changed last by another. */
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

    /** Time passes, with its ticks. */
    void pass(long millis) {
        long end = now + millis;
        while (now + 100 <= end) {
            now += 100;
            membership.tick(now * MS);
        }
        now = end;
    }

    void session(SessionState state) {
        membership.onSessionState(now * MS, state);
    }

    /** A snapshot that was read in no time. */
    void snapshot(long zxid, Map<String, NodeRead> nodes) {
        this.zxid = Math.max(this.zxid, zxid);
        membership.onSnapshot(now * MS, now * MS, zxid, nodes);
    }

    void changed(long zxid, String name) {
        membership.onNodeChanged(now * MS, now * MS, zxid, name);
    }

    void read(String name, NodeRead read) {
        membership.onNodeRead(now * MS, read.mzxid(), name, read);
    }

    /** A node is made or changes, and its data comes at once. */
    void put(String name, NodeRead read) {
        changed(read.mzxid(), name);
        read(name, read);
    }

    void gone(long zxid, String name) {
        membership.onNodeDeleted(now * MS, now * MS, zxid, name);
    }

    void registry(UpdateKind kind, DiscoveredEndpoint... members) {
        membership.onRegistryUpdate(now * MS, kind, List.of(members));
    }

    /** What the list has of an id; {@link HostState#GONE} if nothing. */
    HostState state(String id) {
        DiscoveredEndpoint member = list.get(id);
        return member == null ? HostState.GONE : member.state();
    }

    /** When an id was told in this state last. */
    Event last(String id, HostState state) {
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
