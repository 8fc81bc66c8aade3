package appleridge.discovery.registration;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/**
 * Keeps one ephemeral node in ZooKeeper until it is closed, across lost connections and sessions.
 * An existing node may belong to a session that is about to end, and would be deleted with it, so a
 * node of another session is deleted and created again. Methods may be called on any thread; calls
 * to ZooKeeper are made on a thread of its own.
 */
public final class NodeRegistration implements AutoCloseable {
    /** A task for the registration thread. */
    private enum Task {
        OPEN,
        ENSURE,
        CLOSE
    }

    private static final long RETRY_MILLIS = 1000;

    /** How often the node is checked while no event arrives. */
    private static final long CHECK_MILLIS = 10_000;

    private static final int MAX_ATTEMPTS = 5;

    private final ZooKeeperSettings settings;
    private final String name;
    private final long startedMillis;
    private final Consumer<String> log;
    private final LinkedBlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::run, "registration");
    private volatile byte[] data;
    private volatile ZooKeeper client;
    private String lastLogged = "";

    /**
     * Creates a registration that is not started.
     *
     * @param name the node's name under the settings' root
     * @param data the node's data
     * @param startedMillis Unix time in milliseconds at which the server started; of two servers
     *     with one name, the one that started last gets the node
     * @param log takes log lines for operators
     */
    public NodeRegistration(
            ZooKeeperSettings settings,
            String name,
            byte[] data,
            long startedMillis,
            Consumer<String> log) {
        this.settings = settings;
        this.name = name;
        this.data = data;
        this.startedMillis = startedMillis;
        this.log = log;
        thread.setDaemon(true);
    }

    /** Starts to keep the node, whenever a coordination server can be reached. */
    public void start() {
        tasks.add(Task.OPEN);
        thread.start();
    }

    /** Changes the node's data. */
    public void setData(byte[] newData) {
        data = newData;
        tasks.add(Task.ENSURE);
    }

    /** Deletes the node by closing the session; waits up to three seconds for that. */
    @Override
    public void close() {
        tasks.add(Task.CLOSE);
        try {
            thread.join(TimeUnit.SECONDS.toMillis(3));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        boolean retry = false;
        while (true) {
            try {
                Task task = tasks.poll(retry ? RETRY_MILLIS : CHECK_MILLIS, TimeUnit.MILLISECONDS);
                if (task == Task.CLOSE) {
                    closeClient();
                    return;
                }
                if (task == Task.OPEN || client == null) {
                    open();
                }
                ensureRegistered();
                retry = false;
            } catch (KeeperException e) {
                retry = true;
                if (e.code() != Code.CONNECTIONLOSS
                        || client.getState() == ZooKeeper.States.CONNECTED) {
                    logChange("can't register: " + e.code());
                }
            } catch (IOException | RuntimeException e) {
                retry = true;
                logChange("can't register: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void open() throws IOException {
        closeClient();
        client = ZooKeeperClientFactory.open(settings, this::onEvent);
    }

    private void closeClient() {
        if (client != null) {
            ZooKeeperClientFactory.close(client);
            client = null;
        }
    }

    /** Called on the client's event thread. */
    private void onEvent(WatchedEvent event) {
        if (event.getType() != Watcher.Event.EventType.None) {
            tasks.add(Task.ENSURE);
            return;
        }
        switch (event.getState()) {
            case SyncConnected -> tasks.add(Task.ENSURE);
            case Disconnected ->
                    log.accept(
                            "registration: no coordination server answers; the node remains"
                                    + " as long as the session");
            case Expired, AuthFailed -> {
                log.accept(
                        "registration: the session is over ("
                                + event.getState()
                                + "), another one begins");
                tasks.add(Task.OPEN);
            }
            default -> {}
        }
    }

    private void ensureRegistered() throws KeeperException, InterruptedException {
        if (client.getState() != ZooKeeper.States.CONNECTED) {
            return;
        }
        String path = settings.root() + "/" + name;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            byte[] wanted = data;
            Stat stat = new Stat();
            byte[] existing = read(path, stat);
            if (stat.getCzxid() == 0) {
                create(path, wanted);
            } else if (stat.getEphemeralOwner() == client.getSessionId()) {
                if (!Arrays.equals(existing, wanted)) {
                    client.setData(path, wanted, stat.getVersion());
                }
                logChange("registered as " + path);
                return;
            } else if (NodeJsonWriter.startedMillis(existing) > startedMillis) {
                logChange("a server that started later has the name " + path + "; not registered");
                return;
            } else {
                delete(path, stat);
            }
        }
    }

    /**
     * Reads the node's data and sets a watch on it. Returns null, with a creation transaction of 0
     * in {@code stat}, if the node does not exist.
     */
    private byte[] read(String path, Stat stat) throws KeeperException, InterruptedException {
        try {
            return client.getData(path, true, stat);
        } catch (KeeperException.NoNodeException e) {
            return null;
        }
    }

    private void create(String path, byte[] initialData)
            throws KeeperException, InterruptedException {
        try {
            client.create(
                    path, initialData, ZooKeeperClientFactory.acl(settings), CreateMode.EPHEMERAL);
        } catch (KeeperException.NodeExistsException e) {
            // Created by another session meanwhile; the caller reads the node again.
        } catch (KeeperException.NoNodeException e) {
            int shard = name.indexOf('/');
            if (shard < 0) {
                throw e;
            }
            createShard(settings.root() + "/" + name.substring(0, shard));
        }
    }

    private void createShard(String path) throws KeeperException, InterruptedException {
        try {
            client.create(
                    path, new byte[0], ZooKeeperClientFactory.acl(settings), CreateMode.PERSISTENT);
        } catch (KeeperException.NodeExistsException e) {
            // Another server has created it.
        }
    }

    /**
     * Deletes a node of another session. The versions of a recreated node start at 0 again, so a
     * matching version does not prove that it is still the same node; {@link #ensureRegistered}
     * reads it again.
     */
    private void delete(String path, Stat stat) throws KeeperException, InterruptedException {
        try {
            client.delete(path, stat.getVersion());
        } catch (KeeperException.NoNodeException | KeeperException.BadVersionException e) {
            // Changed or deleted meanwhile; the caller reads the node again.
        }
    }

    private void logChange(String line) {
        if (!line.equals(lastLogged)) {
            lastLogged = line;
            log.accept("registration: " + line);
        }
    }
}
