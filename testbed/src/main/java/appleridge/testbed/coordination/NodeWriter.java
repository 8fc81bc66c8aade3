package appleridge.testbed.coordination;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.Watcher.Event.KeeperState;
import org.apache.zookeeper.ZooKeeper;

/** A session with a coordination server that creates and changes one node. Methods block. */
public final class NodeWriter implements AutoCloseable {
    private static final int CONNECT_SECONDS = 30;
    private static final int CLOSE_MILLIS = 1000;

    private final ZooKeeper client;
    private final String path;

    /** Opens a session; {@link #create} creates the node. */
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
            throw new IOException(
                    "no session with " + server + " within " + CONNECT_SECONDS + " s");
        }
    }

    /** Creates the node as a persistent one, with its ancestors, where they do not exist. */
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
            // Another session has created it.
        }
    }

    /** Creates the node as an ephemeral one; replaces a node of another session. */
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

    /** Replaces the node's data. */
    void change(ServerNode node) throws KeeperException, InterruptedException {
        client.setData(path, node.bytes(), -1);
    }

    /** Replaces the node's data by invalid JSON. */
    void garble() throws KeeperException, InterruptedException {
        client.setData(path, new byte[] {'{'}, -1);
    }

    /** Deletes the node if it exists; the session stays open. */
    void delete() throws KeeperException, InterruptedException {
        try {
            client.delete(path, -1);
        } catch (KeeperException.NoNodeException e) {
            // Already deleted.
        }
    }

    /** The session's id, with which a server can expire it. */
    long session() {
        return client.getSessionId();
    }

    /** The underlying client, for bulk writes. */
    ZooKeeper client() {
        return client;
    }

    /** Closes the session, which deletes its ephemeral node. */
    @Override
    public void close() {
        try {
            client.close(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
