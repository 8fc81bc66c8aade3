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
 * Random days of an ensemble, with lost events, stale servers and slow reads, held against a slow,
 * obvious model: of each node all that was told is kept, and what has the highest transaction is
 * what holds.
 */
class RandomEventsTest {
    private static final int SEEDS = 2000;
    private static final int STEPS = 250;
    private static final int NAMES = 5;

    @Test
    void listIsWhatWasNotifiedLast() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new Play(seed).run();
        }
    }

    /** What the model knows of a node: each thing that was told, in no order. */
    private static final class Facts {
        final List<NodeRead> reads = new ArrayList<>();

        /** Transactions of changes, with when they were told. */
        final TreeMap<Long, Long> changes = new TreeMap<>();

        long end;
        long endedAt;

        void end(long now, long zxid) {
            if (zxid > end) {
                // Of one that was gone already, a second end begins nothing anew.
                endedAt = isThere() ? now : endedAt;
                end = zxid;
            }
        }

        private NodeRead last() {
            NodeRead last = null;
            for (NodeRead each : reads) {
                last = last == null || each.mzxid() >= last.mzxid() ? each : last;
            }
            return last;
        }

        private boolean isThere() {
            NodeRead last = last();
            return last != null && last.czxid() > end;
        }

        /** Whether it is there, or has been made again as was told. */
        private boolean isKnown() {
            return isThere() || !changes.tailMap(end, false).isEmpty();
        }

        HostState state(long now, HostState actual) {
            NodeRead last = last();
            if (last == null) {
                return HostState.GONE;
            }
            long known = Math.max(last.mzxid(), end);
            Long first = null;
            for (long told : changes.tailMap(known, false).values()) {
                first = first == null ? told : Math.min(first, told);
            }
            if (!isThere()) {
                // Whether one whose making was told but not yet read is still kept is of no
                // interest.
                boolean kept =
                        now - endedAt < 2000 || first != null && actual == HostState.DRAINING;
                return kept ? HostState.DRAINING : HostState.GONE;
            }
            return first != null && now - first >= 1000 ? HostState.DRAINING : last.data().state();
        }
    }

    /** One day. */
    private static final class Play {
        private final int seed;
        private final Random random;
        private final NodeDiscoveryFixture told = new NodeDiscoveryFixture(SourceSelection.NODES);
        private final Map<String, Facts> model = new LinkedHashMap<>();

        /** The ensemble's past: what it held after each transaction. */
        private final List<Map<String, NodeRead>> past = new ArrayList<>();

        /** Who was told of: the transaction that the connected server has come to. */
        private int server;

        private boolean connected;
        private boolean watching;
        private long highestTold;
        private long start;
        private final Deque<Runnable> answers = new ArrayDeque<>();

        Play(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            past.add(Map.of());
        }

        private Facts facts(String name) {
            return model.computeIfAbsent(name, any -> new Facts());
        }

        private Map<String, NodeRead> present() {
            return past.get(past.size() - 1);
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            // Quiet at last: what is told now is all there is.
            connect(past.size() - 1);
            snapshot();
            settle();
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                NodeRead node = present().get(name);
                assertEquals(
                        node == null ? HostState.GONE : node.data().state(),
                        told.state(name),
                        "at the end of seed " + seed + " " + name);
            }
            assertEquals(present().size(), told.membership.rememberedNodes(), "seed " + seed);
        }

        private void settle() {
            while (!answers.isEmpty()) {
                answers.poll().run();
            }
            told.pass(3000);
        }

        private void step() {
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> transaction();
                case 3, 4, 5 -> deliver();
                case 6, 7 -> answer();
                case 8 -> snapshotOrSession();
                default -> {
                    told.pass(100L * (1 + random.nextInt(random.nextInt(8) == 0 ? 25 : 4)));
                    check();
                }
            }
        }

        /** Something happens to a node. */
        private void transaction() {
            Map<String, NodeRead> next = new LinkedHashMap<>(present());
            String name = "n" + random.nextInt(NAMES);
            NodeRead node = next.get(name);
            long zxid = past.size();
            if (node != null && random.nextInt(3) > 0) {
                next.remove(name);
            } else {
                long began = node == null ? ++start : node.data().startedMillis();
                NodeData data =
                        NodeDiscoveryFixture.data(
                                Integer.parseInt(name.substring(1)) + 1,
                                random.nextInt(4) == 0 ? HostState.DRAINING : HostState.READY,
                                began);
                next.put(
                        name,
                        NodeDiscoveryFixture.node(node == null ? zxid : node.czxid(), zxid, data));
            }
            past.add(next);
        }

        /** The server comes to know the next transaction, and tells it if it is watched. */
        private void deliver() {
            if (!connected || server == past.size() - 1) {
                return;
            }
            server++;
            if (!watching) {
                return;
            }
            Map<String, NodeRead> before = past.get(server - 1);
            Map<String, NodeRead> after = past.get(server);
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                if (before.get(name) == after.get(name)) {
                    continue;
                }
                if (after.get(name) == null) {
                    told.gone(server, name);
                    facts(name).end(told.now, server);
                } else {
                    // Told by a server that lags: of who is forgotten or never was, it is no news.
                    boolean news =
                            told.membership.staleness() == StalenessCause.NONE
                                    || server >= highestTold
                                    || facts(name).isKnown();
                    told.changed(server, name);
                    if (news) {
                        facts(name).changes.putIfAbsent((long) server, told.now);
                    }
                    ask(name);
                }
            }
            highestTold = Math.max(highestTold, server);
        }

        /**
         * Reads a node, as it is at the server by the time of the answer or was at that of the
         * question.
         */
        private void ask(String name) {
            NodeRead asked = past.get(server).get(name);
            boolean late = random.nextBoolean();
            answers.add(
                    () -> {
                        NodeRead read = late && connected ? past.get(server).get(name) : asked;
                        if (read != null) {
                            hear(name, read);
                        }
                    });
        }

        private void hear(String name, NodeRead read) {
            Facts facts = facts(name);
            boolean known = facts.isKnown();
            NodeRead last = facts.last();
            // An answer that is older than the change which asked for it is of no use.
            boolean old = !facts.changes.tailMap(read.mzxid(), false).isEmpty();
            told.read(name, read);
            if (known
                    && !old
                    && read.czxid() > facts.end
                    && (last == null || read.mzxid() >= last.mzxid())) {
                facts.reads.add(read);
            }
        }

        private void answer() {
            if (!answers.isEmpty()) {
                answers.poll().run();
            }
        }

        private void snapshotOrSession() {
            int what = random.nextInt(5);
            if (what == 0) {
                connected = false;
                watching = false;
                answers.clear();
                told.session(random.nextBoolean() ? SessionState.SUSPENDED : SessionState.EXPIRED);
            } else if (what == 1 || !connected) {
                int back = random.nextInt(3) == 0 ? random.nextInt(6) : 0;
                connect(Math.max(0, past.size() - 1 - back));
            } else {
                snapshot();
            }
        }

        private void connect(int at) {
            if (connected) {
                told.session(SessionState.SUSPENDED);
            }
            answers.clear();
            connected = true;
            watching = true;
            server = at;
            told.session(SessionState.CONNECTED);
        }

        private void snapshot() {
            Map<String, NodeRead> read = past.get(server);
            told.pass(100);
            told.snapshot(server, read);
            if (server < highestTold) {
                return;
            }
            highestTold = server;
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                NodeRead node = read.get(name);
                if (node != null) {
                    facts(name).reads.add(node);
                } else if (facts(name).last() != null || !facts(name).changes.isEmpty()) {
                    facts(name).end(told.now, server);
                }
            }
        }

        /** Right after a tick. */
        private void check() {
            if (!told.membership.hasList()) {
                return;
            }
            told.pass(100);
            for (int i = 0; i < NAMES; i++) {
                String name = "n" + i;
                assertEquals(
                        facts(name).state(told.now, told.state(name)),
                        told.state(name),
                        "seed " + seed + ", " + name + " at " + told.now);
                DiscoveredEndpoint member = told.list.get(name);
                if (member != null) {
                    assertEquals(
                            facts(name).last().data().startedMillis(),
                            member.startedAtUnixMillis());
                }
            }
        }
    }
}
