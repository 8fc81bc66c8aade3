package appleridge.discovery.zookeeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.request.EventLog;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SystemTime;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Id;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Discovery from ZooKeeper against a stand-in for the ensemble. */
@Timeout(60)
class ZooKeeperDiscoveryTest {
    private static final String ROOT = "/servers";

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop executor = group.next();
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final SidecarEventLoop loop =
            new SidecarEventLoop(
                    executor,
                    SystemTime.UNIX_MILLIS,
                    new EventLog() {
                        @Override
                        public void info(String line) {
                            log.add(line);
                        }

                        @Override
                        public void warning(String line) {
                            log.add(line);
                        }

                        @Override
                        public void failure(String what, Throwable cause) {
                            log.add(what + cause);
                        }
                    });
    private final RecordingSessionListener listener =
            new RecordingSessionListener(executor::inEventLoop);
    private TestEnsemble ensemble;
    private ZooKeeperDiscovery source;

    static String server(int port, String more) {
        return "{\"address\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"a\",\"kind\":\"m1\""
                + more
                + "}";
    }

    @BeforeEach
    void start() throws Exception {
        ensemble = new TestEnsemble();
    }

    @AfterEach
    void end() throws Exception {
        if (source != null) {
            loop.execute(source::close);
        }
        ensemble.close();
        assertFalse(listener.calledOffLoop, "the listener was called off the event loop");
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void startDiscovery(ZooKeeperSettings settings) {
        source =
                new ZooKeeperDiscovery(
                        loop,
                        settings,
                        listener,
                        new NodeJsonParser(List.of("a", "b"), List.of("m1")),
                        1);
        loop.execute(source::start);
    }

    @Test
    void existingNodesAreDeliveredAndThenEveryChange() throws Exception {
        ensemble.createPersistent(ROOT);
        ZooKeeper owner = ensemble.client();
        TestEnsemble.createServerNode(owner, ROOT + "/s1", server(1, ""));
        TestEnsemble.createServerNode(
                owner, ROOT + "/s2", server(2, ",\"state\":\"Terminating\",\"unknown\":[{}]"));
        TestEnsemble.createServerNode(owner, ROOT + "/bad", "{");
        startDiscovery(ensemble.settings(ROOT));
        listener.next("session CONNECTED");
        String line = listener.lines.poll(20, TimeUnit.SECONDS);
        assertTrue(line.startsWith("snapshot {bad=?not JSON: Unexpected end-of-input"), line);
        assertTrue(line.endsWith(", s1=1READY, s2=2DRAINING}"), line);
        TestEnsemble.createServerNode(owner, ROOT + "/s3", server(3, ""));
        listener.next("changed s3");
        listener.next("read s3 3READY");
        owner.setData(ROOT + "/s3", server(3, ",\"state\":\"Terminating\"").getBytes(), -1);
        listener.next("changed s3");
        listener.next("read s3 3DRAINING");
        owner.delete(ROOT + "/s3", -1);
        listener.next("deleted s3");
        source.confirm(() -> listener.lines.add("confirmed"));
        listener.next("confirmed");
        ensemble.expire(owner.getSessionId());
        List<String> deleted = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            deleted.add(listener.lines.poll(20, TimeUnit.SECONDS));
        }
        Collections.sort(deleted);
        assertEquals(List.of("deleted bad", "deleted s1", "deleted s2"), deleted);
        owner.close();
    }

    @Test
    void changesMissedWhileDisconnectedAreReadAfterReconnect() throws Exception {
        ensemble.createPersistent(ROOT);
        TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s1", server(1, ""));
        try (Relay relay = new Relay(ensemble.address())) {
            ZooKeeperSettings defaults = ensemble.settings(ROOT);
            startDiscovery(
                    new ZooKeeperSettings(
                            List.of(relay.address()),
                            "",
                            ROOT,
                            false,
                            40_000,
                            false,
                            null,
                            null,
                            defaults.maxResponseBytes()));
            listener.until("snapshot {s1=1READY}");
            long zxid = listener.lastZxid;
            relay.cut = true;
            listener.next("session SUSPENDED");
            ensemble.operator().delete(ROOT + "/s1", -1);
            TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s2", server(2, ""));
            relay.cut = false;
            listener.until("session CONNECTED");
            listener.next("snapshot {s2=2READY}");
            assertTrue(listener.lastZxid > zxid);
            ensemble.operator().delete(ROOT + "/s2", -1);
            listener.next("deleted s2");
        }
    }

    @Test
    void expiredSessionIsReplaced() throws Exception {
        ensemble.createPersistent(ROOT);
        TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s1", server(1, ""));
        startDiscovery(ensemble.settings(ROOT));
        listener.until("snapshot {s1=1READY}");
        ensemble.expireAll();
        listener.until("session EXPIRED");
        listener.until("session CONNECTED");
        listener.until("snapshot {s1=1READY}");
        TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s2", server(2, ""));
        listener.next("changed s2");
        listener.next("read s2 2READY");
    }

    @Test
    void listIsStaleUntilTheRootIsCreated() throws Exception {
        startDiscovery(ensemble.settings(ROOT));
        listener.next("session CONNECTED");
        listener.next("stale ROOT_MISSING");
        ensemble.createPersistent(ROOT);
        listener.until("snapshot {}");
        ensemble.operator().delete(ROOT, -1);
        listener.next("stale ROOT_MISSING");
    }

    @Test
    void deniedAccessIsReportedAndADigestGrantsAccess() throws Exception {
        ensemble.operator().addAuthInfo("digest", "reader:secret".getBytes());
        ensemble.createPersistent(ROOT);
        TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s1", server(1, ""));
        ensemble.operator().setACL(ROOT, Arrays.asList(new ACL(31, new Id("auth", ""))), -1);
        startDiscovery(ensemble.settings(ROOT));
        listener.next("session CONNECTED");
        listener.next("stale ACCESS_DENIED");
        loop.execute(source::close);
        ZooKeeperSettings defaults = ensemble.settings(ROOT);
        startDiscovery(
                new ZooKeeperSettings(
                        defaults.servers(),
                        "",
                        ROOT,
                        false,
                        defaults.sessionTimeoutMillis(),
                        false,
                        "reader:secret",
                        null,
                        defaults.maxResponseBytes()));
        listener.until("snapshot {s1=1READY}");
    }

    /**
     * Guards against an endpoint list that is emptied by an ensemble that lost its data, and
     * against one that stays stale after an operator has accepted the new data.
     */
    @Test
    void ensembleWithoutItsDataIsStaleUntilAnOperatorAcceptsIt() throws Exception {
        ensemble.createPersistent(ROOT);
        TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s1", server(1, ""));
        startDiscovery(ensemble.settings(ROOT));
        listener.until("snapshot {s1=1READY}");
        ensemble.stop();
        ensemble.startWiped();
        listener.until("session EXPIRED");
        listener.until("stale ROOT_MISSING");
        listener.staleness = StalenessCause.WIPED;
        ensemble.createPersistent(ROOT);
        listener.until("stale WIPED");
        listener.until("snapshot {}");
        ensemble.operator().setData(ROOT, "accept".getBytes(), -1);
        listener.until("accept");
        listener.until("snapshot {}");
    }

    @Test
    void shardsUnderAChrootAreRead() throws Exception {
        ensemble.createPersistent("/site");
        ensemble.createPersistent("/site" + ROOT);
        ensemble.createPersistent("/site" + ROOT + "/x");
        TestEnsemble.createServerNode(ensemble.operator(), "/site" + ROOT + "/x/s1", server(1, ""));
        ZooKeeperSettings defaults = ensemble.settings(ROOT);
        startDiscovery(
                new ZooKeeperSettings(
                        defaults.servers(),
                        "/site",
                        ROOT,
                        true,
                        defaults.sessionTimeoutMillis(),
                        false,
                        null,
                        null,
                        defaults.maxResponseBytes()));
        listener.until("snapshot {x/s1=1READY}");
        assertEquals("s1", listener.last.get("x/s1").data().uid());
        ensemble.createPersistent("/site" + ROOT + "/y");
        TestEnsemble.createServerNode(ensemble.operator(), "/site" + ROOT + "/y/s2", server(2, ""));
        listener.next("changed y/s2");
        listener.next("read y/s2 2READY");
        ensemble.operator().delete("/site" + ROOT + "/y/s2", -1);
        listener.next("deleted y/s2");
    }

    @Test
    void tenThousandNamesAreReadAndATooLargeListingIsStale() throws Exception {
        ensemble.createPersistent(ROOT);
        CountDownLatch created = new CountDownLatch(10_000);
        for (int i = 0; i < 10_000; i++) {
            ensemble.operator()
                    .create(
                            ROOT + "/order-server-with-a-long-name-" + i,
                            server(1 + i, "").getBytes(),
                            TestEnsemble.OPEN,
                            CreateMode.EPHEMERAL,
                            (code, path, any, name) -> created.countDown(),
                            null);
        }
        created.await();
        startDiscovery(ensemble.settings(ROOT));
        listener.until("snapshot 10000");
        assertNull(listener.last.get("order-server-with-a-long-name-7").problem());
        loop.execute(source::close);
        ZooKeeperSettings defaults = ensemble.settings(ROOT);
        startDiscovery(
                new ZooKeeperSettings(
                        defaults.servers(),
                        "",
                        ROOT,
                        false,
                        defaults.sessionTimeoutMillis(),
                        false,
                        null,
                        null,
                        200_000));
        listener.until("stale TOO_LARGE");
        assertNull(listener.lines.poll(3, TimeUnit.SECONDS), "the client keeps reconnecting");
    }

    @Test
    void ensembleThatComesUpLaterIsRead() throws Exception {
        ensemble.createPersistent(ROOT);
        ensemble.stop();
        startDiscovery(ensemble.settings(ROOT));
        assertNull(listener.lines.poll(2, TimeUnit.SECONDS));
        ensemble.start();
        listener.until("session CONNECTED");
        listener.until("snapshot {}");
    }

    /**
     * Guards against an event loop that blocks on the ZooKeeper client, and against a queue of
     * changes that grows while the loop is stalled.
     */
    @Test
    void stalledLoopReceivesTheLastChangeOfEachNode() throws Exception {
        ensemble.createPersistent(ROOT);
        startDiscovery(ensemble.settings(ROOT));
        listener.until("snapshot {}");
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch stalled = new CountDownLatch(1);
        loop.execute(
                () -> {
                    stalled.countDown();
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
        stalled.await();
        for (int i = 1; i <= 50; i++) {
            TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s1", server(i, ""));
            ensemble.operator().delete(ROOT + "/s1", -1);
        }
        TestEnsemble.createServerNode(ensemble.operator(), ROOT + "/s1", server(99, ""));
        Thread.sleep(300);
        loop.execute(source::deliverPending);
        release.countDown();
        listener.next("deleted s1");
        listener.next("changed s1");
        listener.next("read s1 99READY");
        assertNull(listener.lines.poll(200, TimeUnit.MILLISECONDS));
    }

    /** Guards against a server that responds only to pings and is considered responsive. */
    @Test
    void connectionToAnUnresponsiveServerIsClosed() throws Exception {
        ensemble.createPersistent(ROOT);
        try (Relay relay = new Relay(ensemble.address())) {
            ZooKeeperSettings defaults = ensemble.settings(ROOT);
            startDiscovery(
                    new ZooKeeperSettings(
                            List.of(relay.address()),
                            "",
                            ROOT,
                            false,
                            40_000,
                            false,
                            null,
                            null,
                            defaults.maxResponseBytes()));
            listener.until("snapshot {}");
            relay.onlyPings = true;
            listener.until("session SUSPENDED");
            assertTrue(
                    log.stream().anyMatch(line -> line.contains("does not respond")),
                    log.toString());
            relay.onlyPings = false;
            listener.until("session CONNECTED");
            listener.until("snapshot {}");
        }
    }

    /** A TCP relay that can be made to drop connections, or to forward only ping responses. */
    private static final class Relay implements AutoCloseable {
        private static final int PING_BYTES = 16;
        private final ServerSocket listener =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        volatile boolean onlyPings;
        volatile boolean cut;

        Relay(InetSocketAddress to) throws IOException {
            daemon(
                    () -> {
                        while (true) {
                            Socket from = listener.accept();
                            if (cut) {
                                from.close();
                                continue;
                            }
                            Socket there = new Socket(to.getAddress(), to.getPort());
                            daemon(() -> from.getInputStream().transferTo(there.getOutputStream()));
                            daemon(() -> forwardResponses(there, from));
                        }
                    });
        }

        private void forwardResponses(Socket there, Socket from) throws IOException {
            DataInputStream in = new DataInputStream(there.getInputStream());
            DataOutputStream out = new DataOutputStream(from.getOutputStream());
            there.setSoTimeout(20);
            while (true) {
                int length = next(in);
                if (cut) {
                    from.close();
                    there.close();
                    return;
                }
                there.setSoTimeout(0);
                byte[] frame = in.readNBytes(length);
                there.setSoTimeout(20);
                if (!onlyPings || frame.length == PING_BYTES && frame[3] == (byte) 0xfe) {
                    out.writeInt(frame.length);
                    out.write(frame);
                }
            }
        }

        /** Reads a frame's length; 0 once the connection is cut. */
        private int next(DataInputStream in) throws IOException {
            while (!cut) {
                try {
                    return in.readInt();
                } catch (SocketTimeoutException e) {
                    // A length that arrives in parts would be lost here; loopback connections don't
                    // split it.
                    continue;
                }
            }
            return 0;
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        private interface Task {
            void run() throws IOException;
        }

        private static void daemon(Task task) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    task.run();
                                } catch (IOException e) {
                                    // The connection was closed.
                                }
                            });
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
