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

/** The source against the coordination stand-in. */
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
    private final RecordingSessionListener heard =
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
        assertFalse(heard.calledOffLoop, "told on another thread than the loop's");
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void follow(ZooKeeperSettings settings) {
        source =
                new ZooKeeperDiscovery(
                        loop,
                        settings,
                        heard,
                        new NodeJsonParser(List.of("a", "b"), List.of("m1")),
                        1);
        loop.execute(source::start);
    }

    @Test
    void existingNodesAreDeliveredAndThenEveryChange() throws Exception {
        ensemble.persistent(ROOT);
        ZooKeeper owner = ensemble.client();
        TestEnsemble.server(owner, ROOT + "/s1", server(1, ""));
        TestEnsemble.server(
                owner, ROOT + "/s2", server(2, ",\"state\":\"Terminating\",\"unknown\":[{}]"));
        TestEnsemble.server(owner, ROOT + "/bad", "{");
        follow(ensemble.settings(ROOT));
        heard.next("session CONNECTED");
        String line = heard.lines.poll(20, TimeUnit.SECONDS);
        assertTrue(line.startsWith("snapshot {bad=?not JSON: Unexpected end-of-input"), line);
        assertTrue(line.endsWith(", s1=1READY, s2=2DRAINING}"), line);
        TestEnsemble.server(owner, ROOT + "/s3", server(3, ""));
        heard.next("changed s3");
        heard.next("read s3 3READY");
        owner.setData(ROOT + "/s3", server(3, ",\"state\":\"Terminating\"").getBytes(), -1);
        heard.next("changed s3");
        heard.next("read s3 3DRAINING");
        owner.delete(ROOT + "/s3", -1);
        heard.next("deleted s3");
        source.confirm(() -> heard.lines.add("confirmed"));
        heard.next("confirmed");
        ensemble.expire(owner.getSessionId());
        List<String> gone = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            gone.add(heard.lines.poll(20, TimeUnit.SECONDS));
        }
        Collections.sort(gone);
        assertEquals(List.of("deleted bad", "deleted s1", "deleted s2"), gone);
        owner.close();
    }

    @Test
    void changesMissedWhileDisconnectedAreReadAfterReconnect() throws Exception {
        ensemble.persistent(ROOT);
        TestEnsemble.server(ensemble.operator(), ROOT + "/s1", server(1, ""));
        try (Relay relay = new Relay(ensemble.address())) {
            ZooKeeperSettings plain = ensemble.settings(ROOT);
            follow(
                    new ZooKeeperSettings(
                            List.of(relay.address()),
                            "",
                            ROOT,
                            false,
                            40_000,
                            false,
                            null,
                            null,
                            plain.maxResponseBytes()));
            heard.until("snapshot {s1=1READY}");
            long zxid = heard.lastZxid;
            relay.cut = true;
            heard.next("session SUSPENDED");
            ensemble.operator().delete(ROOT + "/s1", -1);
            TestEnsemble.server(ensemble.operator(), ROOT + "/s2", server(2, ""));
            relay.cut = false;
            heard.until("session CONNECTED");
            heard.next("snapshot {s2=2READY}");
            assertTrue(heard.lastZxid > zxid);
            ensemble.operator().delete(ROOT + "/s2", -1);
            heard.next("deleted s2");
        }
    }

    @Test
    void expiredSessionIsFollowedByAnother() throws Exception {
        ensemble.persistent(ROOT);
        TestEnsemble.server(ensemble.operator(), ROOT + "/s1", server(1, ""));
        follow(ensemble.settings(ROOT));
        heard.until("snapshot {s1=1READY}");
        ensemble.expireAll();
        heard.until("session EXPIRED");
        heard.until("session CONNECTED");
        heard.until("snapshot {s1=1READY}");
        TestEnsemble.server(ensemble.operator(), ROOT + "/s2", server(2, ""));
        heard.next("changed s2");
        heard.next("read s2 2READY");
    }

    @Test
    void listIsStaleUntilTheRootIsMade() throws Exception {
        follow(ensemble.settings(ROOT));
        heard.next("session CONNECTED");
        heard.next("stale ROOT_MISSING");
        ensemble.persistent(ROOT);
        heard.until("snapshot {}");
        ensemble.operator().delete(ROOT, -1);
        heard.next("stale ROOT_MISSING");
    }

    @Test
    void deniedAccessIsReportedAndADigestOpensTheRoot() throws Exception {
        ensemble.operator().addAuthInfo("digest", "reader:secret".getBytes());
        ensemble.persistent(ROOT);
        TestEnsemble.server(ensemble.operator(), ROOT + "/s1", server(1, ""));
        ensemble.operator().setACL(ROOT, Arrays.asList(new ACL(31, new Id("auth", ""))), -1);
        follow(ensemble.settings(ROOT));
        heard.next("session CONNECTED");
        heard.next("stale ACCESS_DENIED");
        loop.execute(source::close);
        ZooKeeperSettings open = ensemble.settings(ROOT);
        follow(
                new ZooKeeperSettings(
                        open.servers(),
                        "",
                        ROOT,
                        false,
                        open.sessionTimeoutMillis(),
                        false,
                        "reader:secret",
                        null,
                        open.maxResponseBytes()));
        heard.until("snapshot {s1=1READY}");
    }

    /** Guards against a list that a wiped ensemble empties, and against one that stays for ever. */
    @Test
    void restartedEnsembleIsWipedUntilAnOperatorAcceptsIt() throws Exception {
        ensemble.persistent(ROOT);
        TestEnsemble.server(ensemble.operator(), ROOT + "/s1", server(1, ""));
        follow(ensemble.settings(ROOT));
        heard.until("snapshot {s1=1READY}");
        ensemble.stop();
        ensemble.startWiped();
        heard.until("session EXPIRED");
        heard.until("stale ROOT_MISSING");
        heard.staleness = StalenessCause.WIPED;
        ensemble.persistent(ROOT);
        heard.until("stale WIPED");
        heard.until("snapshot {}");
        ensemble.operator().setData(ROOT, "accept".getBytes(), -1);
        heard.until("accept");
        heard.until("snapshot {}");
    }

    @Test
    void shardsUnderAChrootAreRead() throws Exception {
        ensemble.persistent("/site");
        ensemble.persistent("/site" + ROOT);
        ensemble.persistent("/site" + ROOT + "/x");
        TestEnsemble.server(ensemble.operator(), "/site" + ROOT + "/x/s1", server(1, ""));
        ZooKeeperSettings plain = ensemble.settings(ROOT);
        follow(
                new ZooKeeperSettings(
                        plain.servers(),
                        "/site",
                        ROOT,
                        true,
                        plain.sessionTimeoutMillis(),
                        false,
                        null,
                        null,
                        plain.maxResponseBytes()));
        heard.until("snapshot {x/s1=1READY}");
        assertEquals("s1", heard.last.get("x/s1").data().uid());
        ensemble.persistent("/site" + ROOT + "/y");
        TestEnsemble.server(ensemble.operator(), "/site" + ROOT + "/y/s2", server(2, ""));
        heard.next("changed y/s2");
        heard.next("read y/s2 2READY");
        ensemble.operator().delete("/site" + ROOT + "/y/s2", -1);
        heard.next("deleted y/s2");
    }

    @Test
    void tenThousandNamesAreReadAndATooLargeListingIsStale() throws Exception {
        ensemble.persistent(ROOT);
        CountDownLatch made = new CountDownLatch(10_000);
        for (int i = 0; i < 10_000; i++) {
            ensemble.operator()
                    .create(
                            ROOT + "/order-server-with-a-long-name-" + i,
                            server(1 + i, "").getBytes(),
                            TestEnsemble.OPEN,
                            CreateMode.EPHEMERAL,
                            (code, path, any, name) -> made.countDown(),
                            null);
        }
        made.await();
        follow(ensemble.settings(ROOT));
        heard.until("snapshot 10000");
        assertNull(heard.last.get("order-server-with-a-long-name-7").problem());
        loop.execute(source::close);
        ZooKeeperSettings plain = ensemble.settings(ROOT);
        follow(
                new ZooKeeperSettings(
                        plain.servers(),
                        "",
                        ROOT,
                        false,
                        plain.sessionTimeoutMillis(),
                        false,
                        null,
                        null,
                        200_000));
        heard.until("stale TOO_LARGE");
        assertNull(heard.lines.poll(3, TimeUnit.SECONDS), "no endless reconnects");
    }

    @Test
    void ensembleThatComesUpLaterIsRead() throws Exception {
        ensemble.persistent(ROOT);
        ensemble.stop();
        follow(ensemble.settings(ROOT));
        assertNull(heard.lines.poll(2, TimeUnit.SECONDS));
        ensemble.start();
        heard.until("session CONNECTED");
        heard.until("snapshot {}");
    }

    /**
     * Guards against a loop that waits for the client, and against a queue that grows with the
     * wait.
     */
    @Test
    void stalledLoopReceivesTheLastChangeOfEachNode() throws Exception {
        ensemble.persistent(ROOT);
        follow(ensemble.settings(ROOT));
        heard.until("snapshot {}");
        CountDownLatch still = new CountDownLatch(1);
        CountDownLatch stands = new CountDownLatch(1);
        loop.execute(
                () -> {
                    stands.countDown();
                    try {
                        still.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
        stands.await();
        for (int i = 1; i <= 50; i++) {
            TestEnsemble.server(ensemble.operator(), ROOT + "/s1", server(i, ""));
            ensemble.operator().delete(ROOT + "/s1", -1);
        }
        TestEnsemble.server(ensemble.operator(), ROOT + "/s1", server(99, ""));
        Thread.sleep(300);
        loop.execute(source::deliverPending);
        still.countDown();
        heard.next("deleted s1");
        heard.next("changed s1");
        heard.next("read s1 99READY");
        assertNull(heard.lines.poll(200, TimeUnit.MILLISECONDS));
    }

    /** Guards against a server whose pings are taken for an answer. */
    @Test
    void unresponsiveServerIsGivenUp() throws Exception {
        ensemble.persistent(ROOT);
        try (Relay relay = new Relay(ensemble.address())) {
            ZooKeeperSettings plain = ensemble.settings(ROOT);
            follow(
                    new ZooKeeperSettings(
                            List.of(relay.address()),
                            "",
                            ROOT,
                            false,
                            40_000,
                            false,
                            null,
                            null,
                            plain.maxResponseBytes()));
            heard.until("snapshot {}");
            relay.onlyPings = true;
            heard.until("session SUSPENDED");
            assertTrue(
                    log.stream().anyMatch(line -> line.contains("does not respond")),
                    log.toString());
            relay.onlyPings = false;
            heard.until("session CONNECTED");
            heard.until("snapshot {}");
        }
    }

    /** Passes bytes on, and on wish only answers that are as long as one to a ping. */
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
                            daemon(() -> answers(there, from));
                        }
                    });
        }

        private void answers(Socket there, Socket from) throws IOException {
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

        /** A frame's length; 0 once it is cut. */
        private int next(DataInputStream in) throws IOException {
            while (!cut) {
                try {
                    return in.readInt();
                } catch (SocketTimeoutException e) {
                    // Danger: a length that comes in parts would be lost, which loopback does not
                    // do.
                    continue;
                }
            }
            return 0;
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        private interface Work {
            void run() throws IOException;
        }

        private static void daemon(Work work) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    work.run();
                                } catch (IOException e) {
                                    // The connection is over.
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
