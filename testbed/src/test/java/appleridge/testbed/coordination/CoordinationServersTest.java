package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.zookeeper.AddWatchMode;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.Op;
import org.apache.zookeeper.OpResult;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.Watcher.Event.EventType;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.Watcher.WatcherType;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.ZooDefs.Perms;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Id;
import org.apache.zookeeper.data.Stat;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;

/** Tests an ensemble of three members with the ZooKeeper client library. */
@Timeout(60)
class CoordinationServersTest {
    private static final int SESSION_MILLIS = 10_000;
    private static final int PATIENCE_SECONDS = 20;

    private final List<ZooKeeper> clients = new ArrayList<>();
    private CoordinationServers all;

    /** A client's events, of its own connection and of what it watches. */
    private static final class Events implements Watcher {
        private final BlockingQueue<KeeperState> states = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> nodes = new LinkedBlockingQueue<>();

        @Override
        public void process(WatchedEvent event) {
            if (event.getType() == EventType.None) {
                states.add(event.getState());
            } else {
                nodes.add(event.getType() + " " + event.getPath());
            }
        }

        private void await(KeeperState wanted) throws InterruptedException {
            KeeperState next;
            do {
                next = states.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
                assertNotNull(next, "no event " + wanted);
            } while (next != wanted);
        }

        private String next() throws InterruptedException {
            return nodes.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }
    }

    @BeforeEach
    void begin() throws Exception {
        all = new CoordinationServers(CoordinationServer.Times.QUICK, 3);
    }

    @AfterEach
    void end() throws Exception {
        for (ZooKeeper client : clients) {
            client.close(1000);
        }
        all.close();
    }

    private static String at(CoordinationServer... servers) {
        return String.join(
                ",",
                Stream.of(servers).map(each -> "127.0.0.1:" + each.address().getPort()).toList());
    }

    private ZooKeeper client(Events events, boolean readOnly, CoordinationServer... servers)
            throws Exception {
        ZooKeeper client = new ZooKeeper(at(servers), SESSION_MILLIS, events, readOnly);
        clients.add(client);
        return client;
    }

    private ZooKeeper client(int member) throws Exception {
        Events events = new Events();
        ZooKeeper client = client(events, false, member(member));
        events.await(KeeperState.SyncConnected);
        return client;
    }

    private CoordinationServer member(int number) {
        return all.members().get(number);
    }

    private static String make(ZooKeeper client, String path, CreateMode mode) throws Exception {
        return client.create(path, new byte[0], Rules.OPEN_ACL, mode);
    }

    private static Code code(Executable what) {
        return assertThrows(KeeperException.class, what).code();
    }

    @Test
    void sessionMovesToAnotherMemberWithItsEphemeralNodes() throws Exception {
        Events events = new Events();
        ZooKeeper client = client(events, false, member(0), member(1));
        events.await(KeeperState.SyncConnected);
        make(client, "/a", CreateMode.EPHEMERAL);
        long session = client.getSessionId();
        String address = client.toString();
        CoordinationServer connected =
                address.contains(":" + member(0).address().getPort()) ? member(0) : member(1);
        connected.stop();
        events.await(KeeperState.Disconnected);
        events.await(KeeperState.SyncConnected);
        assertEquals(session, client.getSessionId());
        assertEquals(session, client(2).exists("/a", false).getEphemeralOwner());
        client.close();
        assertNull(client(2).exists("/a", false));
    }

    @Test
    void laggingMemberServesOldReadsAndDefersSyncAndWrites() throws Exception {
        ZooKeeper here = client(0);
        ZooKeeper late = client(2);
        make(here, "/lease", CreateMode.PERSISTENT);
        late.sync("/lease");
        member(2).lag(-1);
        here.delete("/lease", -1);
        assertNotNull(late.exists("/lease", false), "reads the old copy");
        BlockingQueue<Integer> synced = new LinkedBlockingQueue<>();
        late.sync("/lease", (code, path, any) -> synced.add(code), null);
        BlockingQueue<String> made = new LinkedBlockingQueue<>();
        late.create(
                "/other",
                new byte[0],
                Rules.OPEN_ACL,
                CreateMode.PERSISTENT,
                (code, path, any, name) -> made.add(code + " " + name),
                null);
        assertNull(
                made.poll(300, TimeUnit.MILLISECONDS),
                "responses wait until the member has applied the change");
        assertEquals(0, synced.size());
        member(2).lag(0);
        assertEquals(0, synced.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        assertEquals("0 /other", made.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        assertNull(late.exists("/lease", false));
    }

    @Test
    void memberInTheMinorityServesOnlyReadOnlyClients() throws Exception {
        ZooKeeper here = client(0);
        make(here, "/a", CreateMode.PERSISTENT);
        Events events = new Events();
        ZooKeeper small = client(events, false, member(2));
        events.await(KeeperState.SyncConnected);
        member(2).readOnly(true);
        all.cut(member(2));
        events.await(KeeperState.Disconnected);
        Events reading = new Events();
        ZooKeeper reader = client(reading, true, member(2));
        reading.await(KeeperState.ConnectedReadOnly);
        make(here, "/b", CreateMode.PERSISTENT);
        assertNotNull(reader.exists("/a", false));
        assertNull(reader.exists("/b", false));
        assertEquals(Code.NOTREADONLY, code(() -> reader.delete("/a", -1)));
        all.cut();
        events.await(KeeperState.SyncConnected);
        assertNotNull(small.exists("/b", false));
        reading.await(KeeperState.SyncConnected);
        reader.delete("/a", -1);
    }

    @Test
    void wipedMemberCatchesUpButARestoredMajorityLosesChanges() throws Exception {
        ZooKeeper client = client(0);
        make(client, "/a", CreateMode.PERSISTENT);
        long then = member(0).lastChange();
        make(client, "/b", CreateMode.PERSISTENT);
        member(2).stop();
        member(2).wipe();
        member(2).start();
        assertNotNull(client(2).exists("/b", false));
        for (CoordinationServer server : all.members()) {
            server.stop();
            server.restore(then);
        }
        for (CoordinationServer server : all.members()) {
            server.start();
        }
        assertEquals(then, member(1).lastChange());
        ZooKeeper after = client(1);
        assertNotNull(after.exists("/a", false));
        assertNull(after.exists("/b", false));
    }

    @Test
    void brokenRequestIsAppliedOrNotAsConfigured() throws Exception {
        Events events = new Events();
        ZooKeeper client = client(events, false, member(0));
        events.await(KeeperState.SyncConnected);
        member(0).breakNext(OpCode.create, true);
        assertEquals(Code.CONNECTIONLOSS, code(() -> make(client, "/a", CreateMode.EPHEMERAL)));
        assertNotNull(client(1).exists("/a", false));
        events.await(KeeperState.Disconnected);
        events.await(KeeperState.SyncConnected);
        member(0).breakNext(OpCode.create, false);
        assertEquals(Code.CONNECTIONLOSS, code(() -> make(client, "/b", CreateMode.EPHEMERAL)));
        assertNull(client(1).exists("/b", false));
    }

    @Test
    void multiAppliesAllOperationsOrNone() throws Exception {
        ZooKeeper client = client(0);
        make(client, "/a", CreateMode.PERSISTENT);
        List<OpResult> done =
                client.multi(
                        List.of(
                                Op.check("/a", 0),
                                Op.setData("/a", new byte[3], 0),
                                Op.create(
                                        "/a/n",
                                        new byte[0],
                                        Rules.OPEN_ACL,
                                        CreateMode.PERSISTENT_SEQUENTIAL),
                                Op.delete("/a/n0000000000", 0)));
        assertEquals("/a/n0000000000", ((OpResult.CreateResult) done.get(2)).getPath());
        Stat before = client.exists("/a", false);
        assertEquals(1, before.getVersion());
        assertEquals(2, before.getCversion());
        KeeperException refused =
                assertThrows(
                        KeeperException.BadVersionException.class,
                        () ->
                                client.multi(
                                        List.of(
                                                Op.setData("/a", new byte[1], 1),
                                                Op.create(
                                                        "/b",
                                                        new byte[0],
                                                        Rules.OPEN_ACL,
                                                        CreateMode.PERSISTENT),
                                                Op.check("/a", 1),
                                                Op.delete("/a", -1))));
        List<Integer> codes =
                refused.getResults().stream()
                        .map(each -> ((OpResult.ErrorResult) each).getErr())
                        .toList();
        assertEquals(
                List.of(0, 0, Code.BADVERSION.intValue(), Code.RUNTIMEINCONSISTENCY.intValue()),
                codes);
        assertEquals(before, client.exists("/a", false));
        assertNull(client.exists("/b", false));
        List<OpResult> read =
                client.multi(List.of(Op.getData("/a"), Op.getChildren("/"), Op.getData("/none")));
        assertEquals(3, ((OpResult.GetDataResult) read.get(0)).getData().length);
        assertEquals(List.of("a"), ((OpResult.GetChildrenResult) read.get(1)).getChildren());
        assertEquals(Code.NONODE.intValue(), ((OpResult.ErrorResult) read.get(2)).getErr());
    }

    @Test
    void sequenceNumbersCountDeletedChildren() throws Exception {
        ZooKeeper client = client(0);
        make(client, "/q", CreateMode.PERSISTENT);
        assertEquals("/q/n0000000000", make(client, "/q/n", CreateMode.EPHEMERAL_SEQUENTIAL));
        client.delete("/q/n0000000000", 0);
        assertEquals("/q/n0000000001", make(client(1), "/q/n", CreateMode.EPHEMERAL_SEQUENTIAL));
        Stat stat = new Stat();
        assertEquals(List.of("n0000000001"), client.getChildren("/q", false, stat));
        assertEquals(3, stat.getCversion());
        assertEquals(1, stat.getNumChildren());
        assertEquals(stat.getPzxid(), client.exists("/q/n0000000001", false).getCzxid());
    }

    @Test
    void invalidOperationsFailWithTheProtocolsErrorCodes() throws Exception {
        ZooKeeper client = client(0);
        make(client, "/a", CreateMode.EPHEMERAL);
        assertEquals(Code.NODEEXISTS, code(() -> make(client, "/a", CreateMode.PERSISTENT)));
        assertEquals(Code.NONODE, code(() -> make(client, "/x/y", CreateMode.PERSISTENT)));
        assertEquals(
                Code.NOCHILDRENFOREPHEMERALS,
                code(() -> make(client, "/a/b", CreateMode.PERSISTENT)));
        assertEquals(Code.BADVERSION, code(() -> client.setData("/a", new byte[0], 3)));
        assertEquals(Code.BADVERSION, code(() -> client.delete("/a", 3)));
        assertEquals(Code.NONODE, code(() -> client.getData("/x", false, null)));
        make(client, "/p", CreateMode.PERSISTENT);
        make(client, "/p/c", CreateMode.PERSISTENT);
        assertEquals(Code.NOTEMPTY, code(() -> client.delete("/p", -1)));
        assertEquals(Code.UNIMPLEMENTED, code(() -> make(client, "/c", CreateMode.CONTAINER)));
        assertEquals(
                Code.UNIMPLEMENTED,
                code(
                        () ->
                                client.create(
                                        "/t",
                                        new byte[0],
                                        Rules.OPEN_ACL,
                                        CreateMode.PERSISTENT_WITH_TTL,
                                        new Stat(),
                                        1000)));
        assertEquals(
                Code.INVALIDACL,
                code(
                        () ->
                                client.create(
                                        "/l",
                                        new byte[0],
                                        Arrays.asList(new ACL(Perms.ALL, new Id("auth", ""))),
                                        CreateMode.PERSISTENT)));
    }

    @Test
    void digestIdGrantsAccessToItsOwnersNodes() throws Exception {
        ZooKeeper owner = client(0);
        owner.addAuthInfo("digest", "owner:secret".getBytes(StandardCharsets.UTF_8));
        owner.create(
                "/a",
                new byte[] {1},
                Arrays.asList(
                        new ACL(Perms.ALL, new Id("auth", "")),
                        new ACL(Perms.READ, new Id("world", "anyone"))),
                CreateMode.PERSISTENT);
        ZooKeeper other = client(1);
        assertEquals(1, other.getData("/a", false, null).length);
        assertEquals(Code.NOAUTH, code(() -> other.setData("/a", new byte[0], -1)));
        assertEquals(Code.NOAUTH, code(() -> make(other, "/a/b", CreateMode.PERSISTENT)));
        assertTrue(
                other.getACL("/a", null).contains(new ACL(Perms.ALL, new Id("digest", "owner:x"))));
        other.addAuthInfo("digest", "owner:wrong".getBytes(StandardCharsets.UTF_8));
        assertEquals(Code.NOAUTH, code(() -> other.setACL("/a", Rules.OPEN_ACL, -1)));
        other.addAuthInfo("digest", "owner:secret".getBytes(StandardCharsets.UTF_8));
        assertEquals(1, other.setACL("/a", Rules.OPEN_ACL, 0).getAversion());
        assertEquals(Code.BADVERSION, code(() -> other.setACL("/a", Rules.OPEN_ACL, 0)));
        client(2).setData("/a", new byte[0], -1);
    }

    @Test
    void oneTimeWatchesFireOnceAndPersistentOnesRepeatedly() throws Exception {
        ZooKeeper writer = client(0);
        ZooKeeper client = client(1);
        make(writer, "/r", CreateMode.PERSISTENT);
        client.sync("/r");
        Events once = new Events();
        client.exists("/r/a", once);
        client.getChildren("/r", once);
        make(writer, "/r/a", CreateMode.PERSISTENT);
        assertEquals("NodeCreated /r/a", once.next());
        assertEquals("NodeChildrenChanged /r", once.next());
        Events on = new Events();
        Events under = new Events();
        client.addWatch("/r/a", on, AddWatchMode.PERSISTENT);
        client.addWatch("/r", under, AddWatchMode.PERSISTENT_RECURSIVE);
        for (int i = 0; i < 2; i++) {
            writer.setData("/r/a", new byte[i], i);
            assertEquals("NodeDataChanged /r/a", on.next());
            assertEquals("NodeDataChanged /r/a", under.next());
        }
        make(writer, "/r/a/b", CreateMode.PERSISTENT);
        assertEquals("NodeChildrenChanged /r/a", on.next());
        assertEquals("NodeCreated /r/a/b", under.next());
        client.removeWatches("/r/a", on, WatcherType.Any, false);
        assertEquals("PersistentWatchRemoved /r/a", on.next());
        writer.delete("/r/a/b", 0);
        writer.delete("/r/a", -1);
        assertEquals("NodeDeleted /r/a/b", under.next());
        assertEquals("NodeDeleted /r/a", under.next());
        client.sync("/r");
        assertEquals(0, once.nodes.size());
        assertEquals(0, on.nodes.size());
        assertEquals(
                Code.NOWATCHER,
                code(() -> client.removeWatches("/r/a", on, WatcherType.Any, false)));
    }

    /**
     * Guards against lost watches and missed events: the client disconnects, nodes change, the
     * client reconnects to the same member. Changed nodes must fire their watches at once, and the
     * other watches must still be set.
     */
    @Test
    void reconnectDeliversMissedEventsAndRestoresWatches() throws Exception {
        Events events = new Events();
        ZooKeeper client = client(events, false, member(2));
        events.await(KeeperState.SyncConnected);
        ZooKeeper writer = client(0);
        for (String path : List.of("/changed", "/gone", "/same", "/list")) {
            make(writer, path, CreateMode.PERSISTENT);
        }
        client.sync("/");
        Events told = new Events();
        client.getData("/changed", told, null);
        client.getData("/gone", told, null);
        client.getData("/same", told, null);
        client.getChildren("/list", told);
        client.exists("/made", told);
        client.addWatch("/tree", told, AddWatchMode.PERSISTENT_RECURSIVE);
        member(2).stop();
        events.await(KeeperState.Disconnected);
        writer.setData("/changed", new byte[1], -1);
        writer.delete("/gone", -1);
        make(writer, "/list/n", CreateMode.PERSISTENT);
        make(writer, "/made", CreateMode.PERSISTENT);
        member(2).start();
        List<String> missed = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            missed.add(told.next());
        }
        missed.sort(null);
        assertEquals(
                List.of(
                        "NodeChildrenChanged /list",
                        "NodeCreated /made",
                        "NodeDataChanged /changed",
                        "NodeDeleted /gone"),
                missed);
        writer.setData("/same", new byte[1], -1);
        assertEquals("NodeDataChanged /same", told.next());
        make(writer, "/tree", CreateMode.PERSISTENT);
        assertEquals("NodeCreated /tree", told.next());
    }

    @Test
    void takenOverSessionRejectsItsOldConnection() throws Exception {
        ZooKeeper client = client(0);
        make(client, "/a", CreateMode.EPHEMERAL);
        Events events = new Events();
        ZooKeeper taker =
                new ZooKeeper(
                        at(member(1)),
                        SESSION_MILLIS,
                        events,
                        client.getSessionId(),
                        client.getSessionPasswd());
        clients.add(taker);
        events.await(KeeperState.SyncConnected);
        assertEquals(client.getSessionId(), taker.getSessionId());
        assertEquals(Code.CONNECTIONLOSS, code(() -> client.setData("/a", new byte[1], -1)));
        Events wrong = new Events();
        clients.add(
                new ZooKeeper(
                        at(member(1)), SESSION_MILLIS, wrong, taker.getSessionId(), new byte[16]));
        wrong.await(KeeperState.Expired);
        assertNotEquals(0, taker.exists("/a", false).getEphemeralOwner());
    }
}
