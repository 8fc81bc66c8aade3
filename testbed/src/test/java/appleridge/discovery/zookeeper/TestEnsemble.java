package appleridge.discovery.zookeeper;

import appleridge.testbed.coordination.CoordinationServer;
import appleridge.testbed.coordination.CoordinationServers;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Id;

/**
 * One coordination stand-in in the test's own process, on a loopback port that it keeps over
 * restarts.
 */
public final class TestEnsemble implements AutoCloseable {
    /** Everybody may do everything. */
    public static final List<ACL> OPEN = Arrays.asList(new ACL(31, new Id("world", "anyone")));

    private static final CoordinationServer.Times TIMES =
            new CoordinationServer.Times(200, 400, 4000);

    private final CoordinationServer server;
    private ZooKeeper operator;

    public TestEnsemble() throws Exception {
        this(null);
    }

    /** One that speaks TLS alone, unless this is null. */
    public TestEnsemble(SslContext tls) throws Exception {
        server =
                new CoordinationServers(
                                TIMES,
                                tls,
                                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                        .members()
                        .get(0);
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Starts it again, with what it knew. */
    public void start() throws Exception {
        server.start();
    }

    /** Starts it again with nothing, and transactions from 1. */
    public void startWiped() throws Exception {
        server.wipe();
        server.start();
    }

    public void stop() throws InterruptedException {
        if (operator != null) {
            operator.close();
            operator = null;
        }
        server.stop();
    }

    public ZooKeeperSettings settings(String root) {
        return new ZooKeeperSettings(
                List.of(address()), "", root, false, 2000, false, null, null, 1 << 22);
    }

    /** A handle of somebody who may do what is to be done. */
    public ZooKeeper operator() throws Exception {
        if (operator == null) {
            operator = client();
        }
        return operator;
    }

    /** A session of its own, connected. */
    public ZooKeeper client() throws IOException, InterruptedException {
        CountDownLatch connected = new CountDownLatch(1);
        ZooKeeper client =
                new ZooKeeper(
                        "127.0.0.1:" + address().getPort(),
                        2000,
                        event -> {
                            if (event.getState() == Watcher.Event.KeeperState.SyncConnected) {
                                connected.countDown();
                            }
                        });
        connected.await();
        return client;
    }

    public void persistent(String path) throws Exception {
        operator().create(path, new byte[0], OPEN, CreateMode.PERSISTENT);
    }

    /** A node of a server; it belongs to that session. */
    public static void server(ZooKeeper owner, String path, String json) throws Exception {
        owner.create(path, json.getBytes(), OPEN, CreateMode.EPHEMERAL);
    }

    /** Ends a session as the ensemble does when it has heard nothing of it. */
    public void expire(long session) {
        server.expire(session);
    }

    public void expireAll() {
        server.sessions().stream()
                .filter(each -> operator == null || each != operator.getSessionId())
                .forEach(this::expire);
    }

    @Override
    public void close() {
        try {
            stop();
            server.close();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
