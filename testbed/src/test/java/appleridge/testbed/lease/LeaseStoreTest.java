package appleridge.testbed.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.VersionedLease;
import appleridge.lease.store.LeaseStore;
import appleridge.lease.store.ZooKeeperLeaseStore;
import appleridge.testbed.coordination.CoordinationServer;
import appleridge.testbed.coordination.CoordinationServers;
import appleridge.testbed.coordination.NodeWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Stat;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which events the store reports for responses of the stand-in, and for missing ones. */
@Timeout(60)
class LeaseStoreTest {
    private static final String ROOT = "/leases";
    private static final String RECORD = ROOT + "/nightly/record";
    private static final int SESSION_MILLIS = 2000;
    private static final List<ACL> OPEN = ZooKeeperClientFactory.acl(settings());

    /** Records the reported events as text, and the last record that was read. */
    private static final class EventLog implements LeaseStore.Events {
        private final BlockingQueue<String> texts = new LinkedBlockingQueue<>();
        private volatile VersionedLease entry;

        @Override
        public void onConnected() {
            texts.add("connected");
        }

        @Override
        public void onDisconnected() {
            texts.add("disconnected");
        }

        @Override
        public void onRead(long requestId, VersionedLease orNull) {
            entry = orNull;
            texts.add("read " + requestId);
        }

        @Override
        public void onWritten(long requestId, long version) {
            texts.add("written " + requestId + " version " + version);
        }

        @Override
        public void onConflict(long requestId) {
            texts.add("conflict " + requestId);
        }

        @Override
        public void onOutcomeUnknown(long requestId) {
            texts.add("unknown " + requestId);
        }

        @Override
        public void onRecordChanged() {
            texts.add("changed");
        }

        @Override
        public void onHeadOfQueue() {
            texts.add("head of queue");
        }

        @Override
        public void onRecordRecreated(String reason) {
            texts.add("recreated");
        }

        /** Waits for this event and discards earlier ones. */
        void await(String wanted) throws InterruptedException {
            List<String> discarded = new ArrayList<>();
            String next = "";
            while (!next.equals(wanted)) {
                next = texts.poll(20, TimeUnit.SECONDS);
                assertNotNull(next, "event missing: " + wanted + "; reported: " + discarded);
                discarded.add(next);
            }
        }

        /** Waits for one of two events, discards others, and returns it; null after a timeout. */
        String either(String one, String other) throws InterruptedException {
            String next = texts.poll(20, TimeUnit.SECONDS);
            while (next != null && !next.equals(one) && !next.equals(other)) {
                next = texts.poll(20, TimeUnit.SECONDS);
            }
            return next;
        }
    }

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private CoordinationServers ensemble;
    private CoordinationServer server;
    private ZooKeeper operator;

    @BeforeEach
    void begin() throws Exception {
        ensemble = new CoordinationServers(CoordinationServer.Times.QUICK, 3);
        server = ensemble.members().get(0);
        NodeWriter writer = new NodeWriter(server.address(), ROOT, SESSION_MILLIS);
        writer.createPersistent();
        writer.close();
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        ensemble.close();
    }

    private static ZooKeeperSettings settings(InetSocketAddress... servers) {
        return new ZooKeeperSettings(
                List.of(servers), "", ROOT, false, SESSION_MILLIS, false, null, null, 1 << 20);
    }

    private LeaseStore store(String nonce, EventLog events, InetSocketAddress... servers) {
        LeaseStore store =
                new ZooKeeperLeaseStore(
                        settings(servers),
                        "nightly",
                        "host/" + nonce,
                        nonce,
                        events,
                        Runnable::run,
                        log::add);
        open.add(store);
        store.start();
        return store;
    }

    private LeaseStore connected(String nonce, EventLog events) throws InterruptedException {
        LeaseStore store = store(nonce, events, server.address());
        events.await("connected");
        return store;
    }

    private ZooKeeper operator() throws Exception {
        operator =
                new ZooKeeper(
                        "127.0.0.1:" + server.address().getPort(), SESSION_MILLIS, event -> {});
        open.add(() -> operator.close(100));
        return operator;
    }

    private static VersionedLease entry(long token, String nonce, boolean released) {
        return new VersionedLease(0, token, "host", nonce, TimeUnit.SECONDS.toNanos(2), released);
    }

    @Test
    void writesAreConditionalOnTheVersion() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        store.read(1);
        events.await("read 1");
        assertNull(events.entry);
        store.write(2, -1, entry(1, "a/2", false));
        events.await("written 2 version 0");
        store.write(3, -1, entry(1, "a/3", false));
        events.await("conflict 3");
        store.write(4, 0, entry(1, "a/4", false));
        events.await("written 4 version 1");
        store.write(5, 0, entry(1, "a/5", false));
        events.await("conflict 5");
        store.read(6);
        events.await("read 6");
        assertEquals(
                new VersionedLease(1, 1, "host", "a/4", TimeUnit.SECONDS.toNanos(2), false),
                events.entry);
        String json =
                new String(operator().getData(RECORD, false, new Stat()), StandardCharsets.UTF_8);
        assertTrue(json.startsWith("{\"holder\":\"host\",\"token\":1,\"since\":\"20"), json);
    }

    /** Guards against an executed write that is taken for a failed one, and the reverse. */
    @Test
    void lostAnswerIsReportedAsUnknownOutcome() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        for (boolean done : new boolean[] {false, true}) {
            server.breakNext(OpCode.create2, done);
            store.write(done ? 3 : 1, -1, entry(1, "a/1", false));
            events.await(done ? "unknown 3" : "unknown 1");
            events.await("connected");
            store.read(done ? 4 : 2);
            events.await(done ? "read 4" : "read 2");
            assertEquals(done, events.entry != null);
        }
        server.breakNext(OpCode.setData, true);
        store.write(5, 0, entry(2, "a/5", true));
        events.await("unknown 5");
        events.await("connected");
        store.read(6);
        events.await("read 6");
        assertEquals(entry(2, "a/5", true).nonce(), events.entry.nonce());
        assertEquals(1, events.entry.version());
    }

    @Test
    void changeOfTheRecordIsNotified() throws Exception {
        EventLog one = new EventLog();
        EventLog other = new EventLog();
        LeaseStore reads = connected("a", one);
        LeaseStore writes = connected("b", other);
        reads.read(1);
        one.await("read 1");
        writes.write(1, -1, entry(1, "b/1", false));
        one.await("changed");
        reads.read(2);
        one.await("read 2");
        writes.read(2);
        other.await("read 2");
        other.texts.clear();
        writes.write(3, 0, entry(1, "b/3", true));
        one.await("changed");
        other.await("written 3 version 1");
        writes.read(4);
        assertEquals(
                "read 4",
                other.texts.poll(20, TimeUnit.SECONDS),
                "a store is not notified of its own write");
    }

    /**
     * Guards against notifying all waiters at once, and against losing the place in the queue with
     * an expired session.
     */
    @Test
    void queueMovesUpOneByOneAndIsRejoinedAfterSessionExpiry() throws Exception {
        EventLog[] events = {new EventLog(), new EventLog(), new EventLog()};
        LeaseStore[] stores = new LeaseStore[events.length];
        for (int i = 0; i < events.length; i++) {
            stores[i] = connected("n" + i, events[i]);
            stores[i].setQueued(true);
            while (operator().getChildren(ROOT + "/nightly/line", false).size() <= i) {
                Thread.onSpinWait();
            }
        }
        events[0].await("head of queue");
        stores[0].setQueued(false);
        events[1].await("head of queue");
        stores[1].setQueued(false);
        stores[1].setQueued(true);
        events[1].await("head of queue");
        stores[1].setQueued(false);
        events[2].await("head of queue");
        stores[1].setQueued(true);
        stores[2].close();
        events[1].await("head of queue");
        for (long session : server.sessions()) {
            server.expire(session);
        }
        events[1].await("disconnected");
        events[1].await("head of queue");
        assertEquals(1, operator().getChildren(ROOT + "/nightly/line", false).size());
    }

    @Test
    void serverThatAnswersOnlyPingsIsReplaced() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store =
                store("a", events, server.address(), ensemble.members().get(1).address());
        events.await("connected");
        server.hung(true);
        ensemble.members().get(1).hung(true);
        store.read(1);
        events.await("unknown 1");
        server.hung(false);
        ensemble.members().get(1).hung(false);
        events.await("connected");
        store.read(2);
        events.await("read 2");
    }

    /** Guards against a stale read at a lagging member, and against a write based on one. */
    @Test
    void laggingServerReadsNothingStaleAndItsWritesConflict() throws Exception {
        EventLog one = new EventLog();
        EventLog other = new EventLog();
        LeaseStore first = connected("a", one);
        first.write(1, -1, entry(1, "a/1", false));
        one.await("written 1 version 0");
        CoordinationServer lags = ensemble.members().get(2);
        LeaseStore behind = store("b", other, lags.address());
        other.await("connected");
        lags.lag(700);
        first.write(2, 0, entry(1, "a/2", false));
        one.await("written 2 version 1");
        behind.read(1);
        other.await("read 1");
        assertEquals(
                1, other.entry.version(), "a read returns what was written before it was sent");
        first.write(3, 1, entry(1, "a/3", false));
        one.await("written 3 version 2");
        behind.write(2, 1, entry(2, "b/2", false));
        other.await("conflict 2");
    }

    @Test
    void writeWithoutAQuorumHasUnknownOutcome() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        ensemble.cut(server);
        events.await("disconnected");
        store.write(1, -1, entry(1, "a/1", false));
        events.await("unknown 1");
        ensemble.cut();
        events.await("connected");
        store.read(2);
        assertEquals("read 2", events.either("read 2", "unknown 2"));
    }

    /**
     * Guards against a recreated record whose versions start again: a write with an old version
     * would overwrite the record of another holder, which would not notice.
     */
    @Test
    void recordRecreatedAfterAReadIsReported() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        store.write(1, -1, entry(1, "a/1", false));
        events.await("written 1 version 0");
        store.read(2);
        events.await("read 2");
        byte[] data = operator().getData(RECORD, false, new Stat());
        operator.delete(RECORD, -1);
        operator.create(RECORD, data, OPEN, CreateMode.PERSISTENT);
        store.write(3, 0, entry(1, "a/3", false));
        events.await("recreated");
    }

    @Test
    void malformedRecordIsNotTakenForAFreeLease() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        operator().create(RECORD, new byte[] {'x'}, OPEN, CreateMode.PERSISTENT);
        store.read(1);
        events.await("unknown 1");
        assertTrue(log.contains(RECORD + ": not a valid lease record"), log::toString);
    }

    /** Guards against a wiped ensemble that is taken for one in which no lease is held yet. */
    @Test
    void rootOfAllLeasesIsNeverCreated() throws Exception {
        operator().delete(ROOT, -1);
        EventLog events = new EventLog();
        LeaseStore store = store("a", events, server.address());
        store.read(1);
        events.await("unknown 1");
        assertEquals(
                "the root path of the leases does not exist: " + ROOT,
                log.poll(20, TimeUnit.SECONDS));
        operator.create(ROOT, new byte[0], OPEN, CreateMode.PERSISTENT);
        events.await("connected");
    }

    /**
     * Guards against a recreated record that its first creator, which never read it, overwrites.
     */
    @Test
    void recordRecreatedAfterItsCreationIsReported() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        store.write(1, -1, entry(1, "a/1", false));
        events.await("written 1 version 0");
        byte[] data = operator().getData(RECORD, false, new Stat());
        operator.delete(RECORD, -1);
        operator.create(RECORD, data, OPEN, CreateMode.PERSISTENT);
        store.write(3, 0, entry(1, "a/3", false));
        assertEquals("recreated", events.either("recreated", "written 3 version 1"));
    }

    /** Guards against a waiter that waits forever after an operator has deleted the queue node. */
    @Test
    void missingQueueNodeIsCreatedAgain() throws Exception {
        EventLog events = new EventLog();
        LeaseStore store = connected("a", events);
        operator().delete(ROOT + "/nightly/line", -1);
        store.setQueued(true);
        events.await("head of queue");
    }
}
