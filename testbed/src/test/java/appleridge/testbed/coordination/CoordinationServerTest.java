package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.ZooDefs.OpCode;
import org.apache.zookeeper.ZooKeeper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the stand-in with the ZooKeeper client library. */
@Timeout(60)
class CoordinationServerTest {
    private static final int SESSION_MILLIS = 500;
    private static final int LONG_MILLIS = 20_000;

    private final BlockingQueue<KeeperState> states = new LinkedBlockingQueue<>();
    private final List<ZooKeeper> clients = new ArrayList<>();
    private CoordinationServer server;

    @BeforeEach
    void begin() throws Exception {
        server = CoordinationServer.standalone(CoordinationServer.Times.QUICK);
    }

    @AfterEach
    void end() throws Exception {
        for (ZooKeeper client : clients) {
            client.close(1000);
        }
        server.close();
    }

    private ZooKeeper client() throws Exception {
        return client(server, SESSION_MILLIS);
    }

    private ZooKeeper client(CoordinationServer of, int millis) throws Exception {
        ZooKeeper client =
                new ZooKeeper(
                        "127.0.0.1:" + of.address().getPort(),
                        millis,
                        event -> states.add(event.getState()));
        clients.add(client);
        await(KeeperState.SyncConnected);
        return client;
    }

    private void await(KeeperState wanted) throws InterruptedException {
        KeeperState next = states.poll(20, TimeUnit.SECONDS);
        while (next != null && next != wanted) {
            next = states.poll(20, TimeUnit.SECONDS);
        }
        assertEquals(wanted, next);
    }

    private static void create(ZooKeeper client, String path, CreateMode mode) throws Exception {
        client.create(path, new byte[0], Rules.OPEN_ACL, mode);
    }

    @Test
    void expireEndsTheSessionAndItsEphemeralNodes() throws Exception {
        ZooKeeper client = client();
        ZooKeeper other = client();
        create(client, "/a", CreateMode.EPHEMERAL);
        assertNotNull(other.exists("/a", false));
        assertTrue(server.expire(client.getSessionId()));
        assertNull(other.exists("/a", false));
        await(KeeperState.Expired);
        assertFalse(server.expire(1));
    }

    @Test
    void sessionsDoNotExpireWhileExpiryIsSuspended() throws Exception {
        ZooKeeper client = client();
        server.suspendExpiry(true);
        client.getTestable().injectSessionExpiration();
        await(KeeperState.Expired);
        TimeUnit.MILLISECONDS.sleep(2 * SESSION_MILLIS);
        assertEquals(List.of(client.getSessionId()), server.sessions());
        server.suspendExpiry(false);
        for (int i = 0; i < 200 && !server.sessions().isEmpty(); i++) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertEquals(List.of(), server.sessions());
    }

    @Test
    void sessionsAndDataSurviveARestart() throws Exception {
        ZooKeeper client = client(server, LONG_MILLIS);
        create(client, "/a", CreateMode.EPHEMERAL);
        server.stop();
        await(KeeperState.Disconnected);
        server.start();
        await(KeeperState.SyncConnected);
        assertEquals(client.getSessionId(), client.exists("/a", false).getEphemeralOwner());
    }

    @Test
    void wipedServerStartsWithoutData() throws Exception {
        create(client(), "/b", CreateMode.PERSISTENT);
        long before = server.lastChange();
        server.stop();
        server.wipe();
        server.start();
        assertTrue(server.lastChange() < before);
        assertNull(client().exists("/b", false));
    }

    @Test
    void laggingCopyReceivesNoLaterChanges() throws Exception {
        ZooKeeper client = client();
        create(client, "/b", CreateMode.PERSISTENT);
        try (CoordinationServer old = server.lagging()) {
            client.delete("/b", -1);
            assertNotNull(client(old, SESSION_MILLIS).exists("/b", false));
        }
        assertNull(client.exists("/b", false));
    }

    @Test
    void hungServerAnswersOnlyPings() throws Exception {
        ZooKeeper client = client();
        server.hung(true);
        BlockingQueue<Integer> answers = new LinkedBlockingQueue<>();
        client.exists("/b", false, (code, path, context, stat) -> answers.add(code), null);
        long pings = server.requestCounts().getOrDefault(OpCode.ping, 0L);
        assertNull(answers.poll(2 * SESSION_MILLIS, TimeUnit.MILLISECONDS));
        assertTrue(server.requestCounts().get(OpCode.ping) > pings);
        assertTrue(client.getState().isConnected());
        server.hung(false);
        assertNotNull(answers.poll(20, TimeUnit.SECONDS));
    }
}
