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

/** What the store tells a lease of the stand-in's answers, and of answers that never come. */
@Timeout(60)
class LeaseStoreTest {
    private static final String ROOT = "/leases";
    private static final String RECORD = ROOT + "/nightly/record";
    private static final int SESSION_MILLIS = 2000;
    private static final List<ACL> OPEN = ZooKeeperClientFactory.acl(settings());

    /** What was told, in words; a record's content beside. */
    private static final class Told implements LeaseStore.Events {
        private final BlockingQueue<String> words = new LinkedBlockingQueue<>();
        private volatile VersionedLease entry;

        @Override
        public void onConnected() {
            words.add("connected");
        }

        @Override
        public void onDisconnected() {
            words.add("disconnected");
        }

        @Override
        public void onRead(long question, VersionedLease orNull) {
            entry = orNull;
            words.add("read " + question);
        }

        @Override
        public void onWritten(long question, long version) {
            words.add("written " + question + " version " + version);
        }

        @Override
        public void onConflict(long question) {
            words.add("conflicted " + question);
        }

        @Override
        public void onOutcomeUnknown(long question) {
            words.add("unknown " + question);
        }

        @Override
        public void onRecordChanged() {
            words.add("changed");
        }

        @Override
        public void onHeadOfQueue() {
            words.add("front");
        }

        @Override
        public void onRecordRecreated(String why) {
            words.add("broken");
        }

        /** Waits for it; what else is told before is passed over. */
        void await(String wanted) throws InterruptedException {
            List<String> passed = new ArrayList<>();
            String next = "";
            while (!next.equals(wanted)) {
                next = words.poll(20, TimeUnit.SECONDS);
                assertNotNull(next, "never told: " + wanted + " but " + passed);
                passed.add(next);
            }
        }

        /** The next of these two, whatever else is told. */
        String either(String one, String other) throws InterruptedException {
            String next = words.poll(20, TimeUnit.SECONDS);
            while (next != null && !next.equals(one) && !next.equals(other)) {
                next = words.poll(20, TimeUnit.SECONDS);
            }
            return next;
        }
    }

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private CoordinationServers all;
    private CoordinationServer server;
    private ZooKeeper operator;

    @BeforeEach
    void begin() throws Exception {
        all = new CoordinationServers(CoordinationServer.Times.QUICK, 3);
        server = all.members().get(0);
        NodeWriter writer = new NodeWriter(server.address(), ROOT, SESSION_MILLIS);
        writer.createPersistent();
        writer.close();
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        all.close();
    }

    private static ZooKeeperSettings settings(InetSocketAddress... servers) {
        return new ZooKeeperSettings(
                List.of(servers), "", ROOT, false, SESSION_MILLIS, false, null, null, 1 << 20);
    }

    private LeaseStore store(String nonce, Told told, InetSocketAddress... servers) {
        LeaseStore store =
                new ZooKeeperLeaseStore(
                        settings(servers),
                        "nightly",
                        "host/" + nonce,
                        nonce,
                        told,
                        Runnable::run,
                        log::add);
        open.add(store);
        store.start();
        return store;
    }

    private LeaseStore connected(String nonce, Told told) throws InterruptedException {
        LeaseStore store = store(nonce, told, server.address());
        told.await("connected");
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
        Told told = new Told();
        LeaseStore store = connected("a", told);
        store.read(1);
        told.await("read 1");
        assertNull(told.entry);
        store.write(2, -1, entry(1, "a/2", false));
        told.await("written 2 version 0");
        store.write(3, -1, entry(1, "a/3", false));
        told.await("conflicted 3");
        store.write(4, 0, entry(1, "a/4", false));
        told.await("written 4 version 1");
        store.write(5, 0, entry(1, "a/5", false));
        told.await("conflicted 5");
        store.read(6);
        told.await("read 6");
        assertEquals(
                new VersionedLease(1, 1, "host", "a/4", TimeUnit.SECONDS.toNanos(2), false),
                told.entry);
        String json =
                new String(operator().getData(RECORD, false, new Stat()), StandardCharsets.UTF_8);
        assertTrue(json.startsWith("{\"holder\":\"host\",\"token\":1,\"since\":\"20"), json);
    }

    /**
     * Guards against a write that was done and is taken for one that was not, and the other way.
     */
    @Test
    void lostAnswerIsReportedAsUnknownOutcome() throws Exception {
        Told told = new Told();
        LeaseStore store = connected("a", told);
        for (boolean done : new boolean[] {false, true}) {
            server.breakNext(OpCode.create2, done);
            store.write(done ? 3 : 1, -1, entry(1, "a/1", false));
            told.await(done ? "unknown 3" : "unknown 1");
            told.await("connected");
            store.read(done ? 4 : 2);
            told.await(done ? "read 4" : "read 2");
            assertEquals(done, told.entry != null);
        }
        server.breakNext(OpCode.setData, true);
        store.write(5, 0, entry(2, "a/5", true));
        told.await("unknown 5");
        told.await("connected");
        store.read(6);
        told.await("read 6");
        assertEquals(entry(2, "a/5", true).nonce(), told.entry.nonce());
        assertEquals(1, told.entry.version());
    }

    @Test
    void changeOfTheRecordIsNotified() throws Exception {
        Told one = new Told();
        Told other = new Told();
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
        other.words.clear();
        writes.write(3, 0, entry(1, "b/3", true));
        one.await("changed");
        other.await("written 3 version 1");
        writes.read(4);
        assertEquals("read 4", other.words.poll(20, TimeUnit.SECONDS), "of its own write it knows");
    }

    /** Guards against a herd, and against a place that ends with a session of before. */
    @Test
    void queueMovesUpOneByOneAndIsRejoinedAfterSessionExpiry() throws Exception {
        Told[] told = {new Told(), new Told(), new Told()};
        LeaseStore[] stores = new LeaseStore[told.length];
        for (int i = 0; i < told.length; i++) {
            stores[i] = connected("n" + i, told[i]);
            stores[i].setQueued(true);
            while (operator().getChildren(ROOT + "/nightly/line", false).size() <= i) {
                Thread.onSpinWait();
            }
        }
        told[0].await("front");
        stores[0].setQueued(false);
        told[1].await("front");
        stores[1].setQueued(false);
        stores[1].setQueued(true);
        told[1].await("front");
        stores[1].setQueued(false);
        told[2].await("front");
        stores[1].setQueued(true);
        stores[2].close();
        told[1].await("front");
        for (long session : server.sessions()) {
            server.expire(session);
        }
        told[1].await("disconnected");
        told[1].await("front");
        assertEquals(1, operator().getChildren(ROOT + "/nightly/line", false).size());
    }

    @Test
    void serverThatAnswersOnlyPingsIsReplaced() throws Exception {
        Told told = new Told();
        LeaseStore store = store("a", told, server.address(), all.members().get(1).address());
        told.await("connected");
        server.hung(true);
        all.members().get(1).hung(true);
        store.read(1);
        told.await("unknown 1");
        server.hung(false);
        all.members().get(1).hung(false);
        told.await("connected");
        store.read(2);
        told.await("read 2");
    }

    /** Guards against a member that lags and tells that a lease is free, or is as it was. */
    @Test
    void laggingServerReadsNothingStaleAndItsWritesConflict() throws Exception {
        Told one = new Told();
        Told other = new Told();
        LeaseStore first = connected("a", one);
        first.write(1, -1, entry(1, "a/1", false));
        one.await("written 1 version 0");
        CoordinationServer lags = all.members().get(2);
        LeaseStore behind = store("b", other, lags.address());
        other.await("connected");
        lags.lag(700);
        first.write(2, 0, entry(1, "a/2", false));
        one.await("written 2 version 1");
        behind.read(1);
        other.await("read 1");
        assertEquals(1, other.entry.version(), "what the others had written before it was asked");
        first.write(3, 1, entry(1, "a/3", false));
        one.await("written 3 version 2");
        behind.write(2, 1, entry(2, "b/2", false));
        other.await("conflicted 2");
    }

    @Test
    void writeWithoutAQuorumHasUnknownOutcome() throws Exception {
        Told told = new Told();
        LeaseStore store = connected("a", told);
        all.cut(server);
        told.await("disconnected");
        store.write(1, -1, entry(1, "a/1", false));
        told.await("unknown 1");
        all.cut();
        told.await("connected");
        store.read(2);
        assertEquals("read 2", told.either("read 2", "unknown 2"));
    }

    /**
     * Guards against a version that comes twice: whose record it overwrites would not know of it.
     */
    @Test
    void recordRecreatedAfterAReadIsReported() throws Exception {
        Told told = new Told();
        LeaseStore store = connected("a", told);
        store.write(1, -1, entry(1, "a/1", false));
        told.await("written 1 version 0");
        store.read(2);
        told.await("read 2");
        byte[] data = operator().getData(RECORD, false, new Stat());
        operator.delete(RECORD, -1);
        operator.create(RECORD, data, OPEN, CreateMode.PERSISTENT);
        store.write(3, 0, entry(1, "a/3", false));
        told.await("broken");
    }

    @Test
    void malformedRecordIsNotTakenForAFreeLease() throws Exception {
        Told told = new Told();
        LeaseStore store = connected("a", told);
        operator().create(RECORD, new byte[] {'x'}, OPEN, CreateMode.PERSISTENT);
        store.read(1);
        told.await("unknown 1");
        assertTrue(log.contains(RECORD + ": not a valid lease record"), log::toString);
    }

    /** Guards against an ensemble that was wiped and is taken for one where nobody holds yet. */
    @Test
    void rootOfAllLeasesIsNeverCreated() throws Exception {
        operator().delete(ROOT, -1);
        Told told = new Told();
        LeaseStore store = store("a", told, server.address());
        store.read(1);
        told.await("unknown 1");
        assertEquals(
                "the root path of the leases does not exist: " + ROOT,
                log.poll(20, TimeUnit.SECONDS));
        operator.create(ROOT, new byte[0], OPEN, CreateMode.PERSISTENT);
        told.await("connected");
    }

    /** As above, by a holder that made the record itself and has had no cause to read it. */
    @Test
    void recordRecreatedAfterItsCreationIsReported() throws Exception {
        Told told = new Told();
        LeaseStore store = connected("a", told);
        store.write(1, -1, entry(1, "a/1", false));
        told.await("written 1 version 0");
        byte[] data = operator().getData(RECORD, false, new Stat());
        operator.delete(RECORD, -1);
        operator.create(RECORD, data, OPEN, CreateMode.PERSISTENT);
        store.write(3, 0, entry(1, "a/3", false));
        assertEquals("broken", told.either("broken", "written 3 version 1"));
    }

    /**
     * Guards against who waits for good, and says nothing, at a line that an operator has deleted.
     */
    @Test
    void missingQueueNodeIsCreatedAgain() throws Exception {
        Told told = new Told();
        LeaseStore store = connected("a", told);
        operator().delete(ROOT + "/nightly/line", -1);
        store.setQueued(true);
        told.await("front");
    }
}
