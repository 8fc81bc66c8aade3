package appleridge.discovery.ephemeral;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs random event sequences of an ensemble, with lost events, lagging servers and slow reads, and
 * compares the list with a slow, simple model, which keeps all reads and events of each node and
 * lets the highest transaction win.
 */
class RandomEventsTest {
    private static final int SEEDS = 2000;
    private static final int STEPS = 250;
    private static final int NAMES = 5;

    @Test
    void listIsWhatWasNotifiedLast() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new RandomSequence(seed).run();
        }
    }

    /** All reads and events of one node, in no order. */
    private static final class NodeModel {
        final List<NodeRead> reads = new ArrayList<>();

        /** Transactions of changes, with the times of their notification. */
        final TreeMap<Long, Long> changes = new TreeMap<>();

        long deletedZxid;
        long deletedAtMillis;

        void delete(long nowMillis, long zxid) {
            if (zxid > deletedZxid) {
                // Another deletion of a deleted node does not restart the removal delay.
                deletedAtMillis = exists() ? nowMillis : deletedAtMillis;
                deletedZxid = zxid;
            }
        }

        private NodeRead last() {
            NodeRead last = null;
            for (NodeRead each : reads) {
                last = last == null || each.mzxid() >= last.mzxid() ? each : last;
            }
            return last;
        }

        private boolean exists() {
            NodeRead last = last();
            return last != null && last.czxid() > deletedZxid;
        }

        /** Whether it exists, or its creation was notified. */
        private boolean isKnown() {
            return exists() || !changes.tailMap(deletedZxid, false).isEmpty();
        }

        HostState state(long nowMillis, HostState actual) {
            NodeRead last = last();
            if (last == null) {
                return HostState.GONE;
            }
            long known = Math.max(last.mzxid(), deletedZxid);
            Long first = null;
            for (long notified : changes.tailMap(known, false).values()) {
                first = first == null ? notified : Math.min(first, notified);
            }
            if (!exists()) {
                // While a notified creation is not read yet, both draining and gone are correct.
                boolean kept =
                        nowMillis - deletedAtMillis < 2000
                                || first != null && actual == HostState.DRAINING;
                return kept ? HostState.DRAINING : HostState.GONE;
            }
            return first != null && nowMillis - first >= 1000
                    ? HostState.DRAINING
                    : last.data().state();
        }
    }

    /** One random sequence. */
    private static final class RandomSequence {
        private final int seed;
        private final Random random;
        private final NodeDiscoveryFixture fixture =
                new NodeDiscoveryFixture(SourceSelection.NODES);
        private final Map<String, NodeModel> model = new LinkedHashMap<>();

        /** The ensemble's nodes after each transaction. */
        private final List<Map<String, NodeRead>> history = new ArrayList<>();

        /** The last transaction that the connected server has applied. */
        private int serverZxid;

        private boolean connected;
        private boolean watching;
        private long highestSeenZxid;
        private long lastStartMillis;
        private final Deque<Runnable> responses = new ArrayDeque<>();

        RandomSequence(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            history.add(Map.of());
        }

        private NodeModel node(String name) {
            return model.computeIfAbsent(name, any -> new NodeModel());
        }

        private Map<String, NodeRead> present() {
            return history.get(history.size() - 1);
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            // Finally a snapshot of the latest state, after which the list must equal it.
            connect(history.size() - 1);
            snapshot();
            settle();
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                NodeRead node = present().get(name);
                assertEquals(
                        node == null ? HostState.GONE : node.data().state(),
                        fixture.state(name),
                        "at the end of seed " + seed + " " + name);
            }
            assertEquals(present().size(), fixture.discovery.rememberedNodes(), "seed " + seed);
        }

        private void settle() {
            while (!responses.isEmpty()) {
                responses.poll().run();
            }
            fixture.advance(3000);
        }

        private void step() {
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> transaction();
                case 3, 4, 5 -> deliver();
                case 6, 7 -> deliverResponse();
                case 8 -> snapshotOrSession();
                default -> {
                    fixture.advance(100L * (1 + random.nextInt(random.nextInt(8) == 0 ? 25 : 4)));
                    check();
                }
            }
        }

        /** Creates, changes or deletes a node. */
        private void transaction() {
            Map<String, NodeRead> next = new LinkedHashMap<>(present());
            String name = "n" + random.nextInt(NAMES);
            NodeRead node = next.get(name);
            long zxid = history.size();
            if (node != null && random.nextInt(3) > 0) {
                next.remove(name);
            } else {
                long began = node == null ? ++lastStartMillis : node.data().startedMillis();
                NodeData data =
                        NodeDiscoveryFixture.data(
                                Integer.parseInt(name.substring(1)) + 1,
                                random.nextInt(4) == 0 ? HostState.DRAINING : HostState.READY,
                                began);
                next.put(
                        name,
                        NodeDiscoveryFixture.node(node == null ? zxid : node.czxid(), zxid, data));
            }
            history.add(next);
        }

        /** Lets the server apply the next transaction, and notify it if watched. */
        private void deliver() {
            if (!connected || serverZxid == history.size() - 1) {
                return;
            }
            serverZxid++;
            if (!watching) {
                return;
            }
            Map<String, NodeRead> before = history.get(serverZxid - 1);
            Map<String, NodeRead> after = history.get(serverZxid);
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                if (before.get(name) == after.get(name)) {
                    continue;
                }
                if (after.get(name) == null) {
                    fixture.delete(serverZxid, name);
                    node(name).delete(fixture.nowMillis, serverZxid);
                } else {
                    // A lagging server's event for an unknown node is ignored.
                    boolean applies =
                            fixture.discovery.staleness() == StalenessCause.NONE
                                    || serverZxid >= highestSeenZxid
                                    || node(name).isKnown();
                    fixture.changed(serverZxid, name);
                    if (applies) {
                        node(name).changes.putIfAbsent((long) serverZxid, fixture.nowMillis);
                    }
                    sendRead(name);
                }
            }
            highestSeenZxid = Math.max(highestSeenZxid, serverZxid);
        }

        /**
         * Sends a read of a node, whose response holds the server's state at the time of either the
         * request or the response.
         */
        private void sendRead(String name) {
            NodeRead atRequest = history.get(serverZxid).get(name);
            boolean late = random.nextBoolean();
            responses.add(
                    () -> {
                        NodeRead read =
                                late && connected ? history.get(serverZxid).get(name) : atRequest;
                        if (read != null) {
                            deliverRead(name, read);
                        }
                    });
        }

        private void deliverRead(String name, NodeRead read) {
            NodeModel node = node(name);
            boolean known = node.isKnown();
            NodeRead last = node.last();
            // A response older than the change that caused the read is ignored.
            boolean old = !node.changes.tailMap(read.mzxid(), false).isEmpty();
            fixture.read(name, read);
            if (known
                    && !old
                    && read.czxid() > node.deletedZxid
                    && (last == null || read.mzxid() >= last.mzxid())) {
                node.reads.add(read);
            }
        }

        private void deliverResponse() {
            if (!responses.isEmpty()) {
                responses.poll().run();
            }
        }

        private void snapshotOrSession() {
            int what = random.nextInt(5);
            if (what == 0) {
                connected = false;
                watching = false;
                responses.clear();
                fixture.session(
                        random.nextBoolean() ? SessionState.SUSPENDED : SessionState.EXPIRED);
            } else if (what == 1 || !connected) {
                int back = random.nextInt(3) == 0 ? random.nextInt(6) : 0;
                connect(Math.max(0, history.size() - 1 - back));
            } else {
                snapshot();
            }
        }

        private void connect(int at) {
            if (connected) {
                fixture.session(SessionState.SUSPENDED);
            }
            responses.clear();
            connected = true;
            watching = true;
            serverZxid = at;
            fixture.session(SessionState.CONNECTED);
        }

        private void snapshot() {
            Map<String, NodeRead> read = history.get(serverZxid);
            fixture.advance(100);
            fixture.snapshot(serverZxid, read);
            if (serverZxid < highestSeenZxid) {
                return;
            }
            highestSeenZxid = serverZxid;
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                NodeRead node = read.get(name);
                if (node != null) {
                    node(name).reads.add(node);
                } else if (node(name).last() != null || !node(name).changes.isEmpty()) {
                    node(name).delete(fixture.nowMillis, serverZxid);
                }
            }
        }

        /** Compares the list with the model, right after a tick. */
        private void check() {
            if (!fixture.discovery.hasList()) {
                return;
            }
            fixture.advance(100);
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                assertEquals(
                        node(name).state(fixture.nowMillis, fixture.state(name)),
                        fixture.state(name),
                        "seed " + seed + ", " + name + " at " + fixture.nowMillis);
                DiscoveredEndpoint member = fixture.list.get(name);
                if (member != null) {
                    assertEquals(
                            node(name).last().data().startedMillis(), member.startedAtUnixMillis());
                }
            }
        }
    }
}
