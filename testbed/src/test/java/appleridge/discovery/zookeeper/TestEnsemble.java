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
 * A stand-in for a ZooKeeper ensemble of one server, in the test's process. It keeps its loopback
 * port across restarts.
 */
public final class TestEnsemble implements AutoCloseable {
    /** An access control list that permits everything to everyone. */
    public static final List<ACL> OPEN = Arrays.asList(new ACL(31, new Id("world", "anyone")));

    private static final CoordinationServer.Times TIMES =
            new CoordinationServer.Times(200, 400, 4000);

    private final CoordinationServer server;
    private ZooKeeper operator;

    public TestEnsemble() throws Exception {
        this(null);
    }

    /** An ensemble that accepts only TLS, or only plain TCP if {@code tls} is null. */
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

    /** Restarts the server with its data. */
    public void start() throws Exception {
        server.start();
    }

    /** Restarts the server without data; transaction ids start from 1 again. */
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

    /** The operator's client, connected on first use. */
    public ZooKeeper operator() throws Exception {
        if (operator == null) {
            operator = client();
        }
        return operator;
    }

    /** A new connected client with its own session. */
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

    /** Creates an empty persistent node. */
    public void createPersistent(String path) throws Exception {
        operator().create(path, new byte[0], OPEN, CreateMode.PERSISTENT);
    }

    /** Creates the ephemeral node of an upstream host, owned by the client's session. */
    public static void createServerNode(ZooKeeper owner, String path, String json)
            throws Exception {
        owner.create(path, json.getBytes(), OPEN, CreateMode.EPHEMERAL);
    }

    /** Expires a session, as the ensemble does after the session time-out. */
    public void expire(long session) {
        server.expire(session);
    }

    /** Expires every session except the operator's. */
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
