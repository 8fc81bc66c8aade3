package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.standin.RealTime;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.AddWatchMode;
import org.apache.zookeeper.Op;
import org.apache.zookeeper.Watcher.Event.EventType;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.ZooKeeper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class RelayTest {
    private static final int SESSION_MILLIS = 15_000;

    private record Report(NodeReply reply, long at) {}

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RealTime time = new RealTime();
    private final BlockingQueue<Report> reports = new LinkedBlockingQueue<>();
    private final BlockingQueue<KeeperState> states = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> events = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private CoordinationServer server;
    private Relay relay;
    private NodeWriter writer;

    @BeforeEach
    void begin() throws Exception {
        server = CoordinationServer.standalone(CoordinationServer.Times.QUICK);
        relay =
                new Relay(
                        group.next(),
                        time,
                        server.address(),
                        (reply, at) -> reports.add(new Report(reply, at)));
        relay.listen();
        writer = new NodeWriter(server.address(), "/s", SESSION_MILLIS);
        writer.createPersistent();
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        writer.close();
        onLoop(relay::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        server.close();
    }

    private void onLoop(Runnable what) throws InterruptedException {
        group.next().submit(what).sync();
    }

    private ZooKeeper client() throws Exception {
        ZooKeeper client =
                new ZooKeeper(
                        "127.0.0.1:" + relay.address().getPort(),
                        SESSION_MILLIS,
                        event -> {
                            if (event.getType() == EventType.None) {
                                states.add(event.getState());
                            } else {
                                events.add(time.nanos());
                            }
                        },
                        true);
        open.add(() -> client.close(100));
        return client;
    }

    private ZooKeeper connected() throws Exception {
        ZooKeeper client = client();
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

    private NodeReply nextReply(NodeReply.Kind kind) throws InterruptedException {
        Report next = reports.poll(20, TimeUnit.SECONDS);
        while (next != null && next.reply.kind() != kind) {
            next = reports.poll(20, TimeUnit.SECONDS);
        }
        assertNotNull(next, "no reply of kind " + kind);
        return next.reply;
    }

    private NodeWriter node(String name) throws Exception {
        NodeWriter node = new NodeWriter(server.address(), "/s/" + name, SESSION_MILLIS);
        open.add(node);
        node.create(new ServerNode("127.0.0.1:1", "z", true, 0));
        return node;
    }

    @Test
    void reportsWhatTheServerSaysAboutNodes() throws Exception {
        ZooKeeper client = connected();
        client.addWatch("/s", AddWatchMode.PERSISTENT_RECURSIVE);
        NodeWriter node = node("a");
        NodeReply made = nextReply(NodeReply.Kind.MADE);
        assertEquals("/s/a", made.path());
        assertEquals(client.getSessionId(), made.session());
        assertEquals(server.lastChange(), made.zxid());
        client.getData("/s/a", false, null);
        assertEquals(
                "127.0.0.1:1", ServerNode.read(nextReply(NodeReply.Kind.HOLDS).data()).address());
        client.getChildren("/s", false);
        assertEquals(List.of("a"), nextReply(NodeReply.Kind.CHILDREN).children());
        client.multi(List.of(Op.getData("/s/a"), Op.getData("/s/b")));
        assertEquals("/s/a", nextReply(NodeReply.Kind.HOLDS).path());
        assertEquals("/s/b", nextReply(NodeReply.Kind.GONE).path());
        node.change(new ServerNode("127.0.0.1:1", "z", false, 0));
        assertEquals("/s/a", nextReply(NodeReply.Kind.CHANGED).path());
        server.expire(node.session());
        assertEquals("/s/a", nextReply(NodeReply.Kind.GONE).path());
    }

    @Test
    void delayedFramesAreReportedWhenTheyLeave() throws Exception {
        connected().addWatch("/s", AddWatchMode.PERSISTENT_RECURSIVE);
        onLoop(() -> relay.delay(TimeUnit.MILLISECONDS.toNanos(300)));
        long before = time.nanos();
        node("a");
        long came = events.take();
        long at = reports.take().at;
        assertTrue(at - before >= TimeUnit.MILLISECONDS.toNanos(300));
        assertTrue(came - before >= TimeUnit.MILLISECONDS.toNanos(300));
    }

    @Test
    void clientsReconnectAfterEachKindOfBreak() throws Exception {
        ZooKeeper client = connected();
        onLoop(relay::reset);
        await(KeeperState.Disconnected);
        await(KeeperState.SyncConnected);
        onLoop(relay::cut);
        await(KeeperState.Disconnected);
        await(KeeperState.SyncConnected);
        onLoop(relay::truncateNext);
        await(KeeperState.Disconnected);
        await(KeeperState.SyncConnected);
        assertNotNull(client.exists("/s", false));
    }

    @Test
    void silentAndRefusingModesLastUntilOpen() throws Exception {
        ZooKeeper client = connected();
        BlockingQueue<Integer> answers = new LinkedBlockingQueue<>();
        onLoop(() -> relay.mode(Relay.Mode.SILENT));
        client.exists("/s", false, (code, path, context, stat) -> answers.add(code), null);
        assertNull(answers.poll(300, TimeUnit.MILLISECONDS));
        onLoop(() -> relay.mode(Relay.Mode.OPEN));
        assertEquals(0, answers.poll(20, TimeUnit.SECONDS));
        onLoop(() -> relay.mode(Relay.Mode.REFUSES));
        onLoop(relay::reset);
        await(KeeperState.Disconnected);
        assertNull(states.poll(300, TimeUnit.MILLISECONDS));
        onLoop(() -> relay.mode(Relay.Mode.OPEN));
        await(KeeperState.SyncConnected);
        assertNotNull(client.exists("/s", false));
    }

    @Test
    void relayCanPresentAServerAsReadOnly() throws Exception {
        onLoop(() -> relay.readOnly(true));
        client();
        await(KeeperState.ConnectedReadOnly);
        onLoop(() -> relay.readOnly(false));
        await(KeeperState.SyncConnected);
    }
}
