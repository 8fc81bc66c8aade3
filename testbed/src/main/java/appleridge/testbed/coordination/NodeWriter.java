package appleridge.testbed.coordination;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.ZooKeeper;

/** An order server's session with a coordination server, and its node while it has one. Blocks. */
public final class NodeWriter implements AutoCloseable {
    private static final int CONNECT_SECONDS = 30;
    private static final int CLOSE_MILLIS = 1000;

    private final ZooKeeper client;
    private final String path;

    /** Opens a session; the node comes with {@link #create}. */
    public NodeWriter(InetSocketAddress server, String path, int sessionMillis)
            throws IOException, InterruptedException {
        this.path = path;
        CountDownLatch connected = new CountDownLatch(1);
        this.client =
                new ZooKeeper(
                        server.getAddress().getHostAddress() + ":" + server.getPort(),
                        sessionMillis,
                        event -> {
                            if (event.getState() == KeeperState.SyncConnected) {
                                connected.countDown();
                            }
                        });
        if (!connected.await(CONNECT_SECONDS, TimeUnit.SECONDS)) {
            client.close(CLOSE_MILLIS);
            throw new IOException("no session with " + server);
        }
    }

    /** Makes a node that stays, if there is none, and those above it. */
    public void createPersistent() throws KeeperException, InterruptedException {
        for (int slash = path.indexOf('/', 1); slash > 0; slash = path.indexOf('/', slash + 1)) {
            createIfAbsent(path.substring(0, slash));
        }
        createIfAbsent(path);
    }

    private void createIfAbsent(String at) throws KeeperException, InterruptedException {
        try {
            client.create(at, new byte[0], Rules.OPEN_ACL, CreateMode.PERSISTENT);
        } catch (KeeperException.NodeExistsException e) {
            // As wanted.
        }
    }

    /** Makes the node, in the place of any other session's. */
    void create(ServerNode node) throws KeeperException, InterruptedException {
        while (true) {
            try {
                client.create(path, node.bytes(), Rules.OPEN_ACL, CreateMode.EPHEMERAL);
                return;
            } catch (KeeperException.NodeExistsException e) {
                delete();
            }
        }
    }

    /** Changes what the node holds. */
    void change(ServerNode node) throws KeeperException, InterruptedException {
        client.setData(path, node.bytes(), -1);
    }

    /** Changes what the node holds to what nobody can read. */
    void garble() throws KeeperException, InterruptedException {
        client.setData(path, new byte[] {'{'}, -1);
    }

    /** Takes the node away; the session stays. */
    void delete() throws KeeperException, InterruptedException {
        try {
            client.delete(path, -1);
        } catch (KeeperException.NoNodeException e) {
            // Gone, as wanted.
        }
    }

    /** Its id, by which a server can be told to end it. */
    long session() {
        return client.getSessionId();
    }

    /** The raw client, for what is written in bulk. */
    ZooKeeper client() {
        return client;
    }

    /** Ends the session in order. */
    @Override
    public void close() {
        try {
            client.close(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
