package appleridge.testbed.coordination;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.discovery.zookeeper.NodeJsonParser;
import appleridge.discovery.zookeeper.ZooKeeperDiscovery;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.testbed.standin.RealTime;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.ZooDefs.OpCode;

/**
 * Measures the load of many sidecars on one coordination server: the requests that it receives when
 * all connect at once, when it restarts, and when it returns after all sessions have expired. Runs
 * the sidecar's node discovery many times in this process.
 */
final class HerdCheck {
    /** The parameters of a run. */
    record Plan(int sessions, int nodes, long seed) {}

    private static final String ROOT = "/orders/servers";
    private static final Map<Integer, String> REQUEST_NAMES =
            Map.of(
                    OpCode.createSession,
                    "sessions",
                    OpCode.ping,
                    "pings",
                    OpCode.getData,
                    "reads of the path",
                    OpCode.getChildren,
                    "listings",
                    OpCode.getChildren2,
                    "listings",
                    OpCode.multiRead,
                    "reads of up to 64 nodes",
                    OpCode.sync,
                    "syncs",
                    OpCode.addWatch,
                    "watches",
                    OpCode.setWatches2,
                    "watches set again",
                    OpCode.closeSession,
                    "ends of sessions");
    private static final int SESSION_MILLIS = 6000;
    private static final int WRITER_MILLIS = 60_000;
    private static final int ANSWER_BYTES = 4 << 20;
    private static final int BIN_MILLIS = 100;
    private static final int PATIENCE_MILLIS = 120_000;
    private static final int IN_FLIGHT = 500;
    private static final int VALUES_PER_BYTE = 256;

    private final Plan plan;
    private final PrintStream out;
    private final RealTime time = new RealTime();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<Follower> followers = new ArrayList<>();
    private int steps;

    /** The node discovery of one sidecar, and the number of servers it knows. */
    private static final class Follower {
        private ZooKeeperDiscovery source;
        private NodeDiscovery membership;
        private volatile int size;
        private volatile long at;
    }

    HerdCheck(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    boolean run() throws IOException, InterruptedException, KeeperException {
        try (CoordinationServer server =
                CoordinationServer.standalone(CoordinationServer.Times.QUICK)) {
            NodeWriter writer = new NodeWriter(server.address(), ROOT, WRITER_MILLIS);
            writer.createPersistent();
            nodes(writer);
            boolean upToDate =
                    step(
                            server,
                            "all connect at once",
                            () -> {
                                for (int i = 0; i < plan.sessions(); i++) {
                                    follow(server, i);
                                }
                            },
                            writer);
            upToDate &=
                    step(
                            server,
                            "the server restarts",
                            () -> {
                                server.stop();
                                server.start();
                            },
                            writer);
            upToDate &=
                    step(
                            server,
                            "the server was down for longer than the session time-out",
                            () -> {
                                server.stop();
                                TimeUnit.MILLISECONDS.sleep(2 * SESSION_MILLIS);
                                server.start();
                            },
                            writer);
            followers.forEach(each -> each.source.close());
            TimeUnit.SECONDS.sleep(1);
            writer.close();
            return upToDate;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private interface Trigger {
        void run() throws IOException, InterruptedException;
    }

    /**
     * Runs a trigger, then creates a marker node, and counts the requests until all followers know
     * that node.
     */
    private boolean step(CoordinationServer server, String what, Trigger trigger, NodeWriter writer)
            throws IOException, InterruptedException, KeeperException {
        Map<Integer, Long> before = server.requestCounts();
        long from = time.nanos();
        trigger.run();
        long begun = time.nanos();
        Thread marker = new Thread(() -> createMarker(writer), "marker");
        marker.start();
        steps++;
        int wanted = plan.nodes() + steps;
        long maxPerBin = 0;
        long last = total(server.requestCounts());
        boolean upToDate = false;
        for (int waited = 0; waited < PATIENCE_MILLIS && !upToDate; waited += BIN_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(BIN_MILLIS);
            long now = total(server.requestCounts());
            maxPerBin = Math.max(maxPerBin, now - last);
            last = now;
            upToDate = followers.stream().allMatch(each -> each.size == wanted);
        }
        marker.join();
        Samples took = new Samples(followers.stream().map(each -> each.at - begun).toList());
        out.println(
                what
                        + ": "
                        + (upToDate
                                ? "all " + plan.sessions() + " up to date"
                                : "NOT ALL UP TO DATE")
                        + " after "
                        + took.millis()
                        + " (the server was down for "
                        + Samples.millis(begun - from)
                        + " ms)");
        out.println(
                "  requests: "
                        + requestsSince(before, server.requestCounts())
                        + "; at most "
                        + maxPerBin
                        + " in "
                        + BIN_MILLIS
                        + " ms");
        return upToDate;
    }

    /** Creates a node that shows which followers have read the current list. */
    private void createMarker(NodeWriter writer) {
        String path = ROOT + "/marker-" + (steps + 1);
        for (int i = 0; i < PATIENCE_MILLIS / BIN_MILLIS; i++) {
            try {
                writer.client()
                        .create(
                                path,
                                new ServerNode("127.2.0." + (steps + 1) + ":80", "z", true, 1)
                                        .bytes(),
                                Rules.OPEN_ACL,
                                CreateMode.PERSISTENT);
                return;
            } catch (KeeperException.NodeExistsException e) {
                return;
            } catch (KeeperException e) {
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(BIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void nodes(NodeWriter writer) throws InterruptedException {
        for (int from = 0; from < plan.nodes(); from += IN_FLIGHT) {
            int until = Math.min(plan.nodes(), from + IN_FLIGHT);
            CountDownLatch made = new CountDownLatch(until - from);
            for (int i = from; i < until; i++) {
                String address = "127.1." + i / VALUES_PER_BYTE + "." + i % VALUES_PER_BYTE + ":80";
                writer.client()
                        .create(
                                ROOT + "/s" + i,
                                new ServerNode(address, "z", true, 1).bytes(),
                                Rules.OPEN_ACL,
                                CreateMode.PERSISTENT,
                                (code, path, context, name) -> made.countDown(),
                                null);
            }
            made.await();
        }
    }

    private void follow(CoordinationServer server, int number) {
        EventLoop executor = group.next();
        Follower follower = new Follower();
        followers.add(follower);
        executor.execute(
                () -> {
                    SidecarEventLoop loop =
                            new SidecarEventLoop(
                                    executor,
                                    SystemTime.UNIX_MILLIS,
                                    new SystemLog(
                                            executor.ticker()::nanoTime,
                                            System.Logger.Level.DEBUG));
                    follower.membership =
                            new NodeDiscovery(
                                    SourceSelection.NODES,
                                    NodeDiscovery.Settings.DEFAULTS,
                                    (kind, members, source, toldAt) -> {},
                                    any -> {},
                                    any -> {});
                    follower.source =
                            new ZooKeeperDiscovery(
                                    loop,
                                    new ZooKeeperSettings(
                                            List.of(server.address()),
                                            "",
                                            ROOT,
                                            false,
                                            SESSION_MILLIS,
                                            false,
                                            null,
                                            null,
                                            ANSWER_BYTES),
                                    follower.membership,
                                    new NodeJsonParser(List.of("z"), List.of("k")),
                                    plan.seed() + number);
                    follower.source.start();
                    loop.scheduleAtFixedDelay(
                            NodeDiscovery.Settings.DEFAULTS.tickNanos(),
                            () -> {
                                follower.membership.tick(loop.nanoTime());
                                int size = follower.membership.size();
                                if (size != follower.size) {
                                    follower.size = size;
                                    follower.at = time.nanos();
                                }
                            });
                });
    }

    private static long total(Map<Integer, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    private static String requestsSince(Map<Integer, Long> before, Map<Integer, Long> after) {
        Map<String, Long> named = new TreeMap<>();
        after.forEach(
                (type, count) ->
                        named.merge(
                                REQUEST_NAMES.getOrDefault(type, "other"),
                                count - before.getOrDefault(type, 0L),
                                Long::sum));
        named.values().removeIf(count -> count == 0);
        return named.toString();
    }
}
