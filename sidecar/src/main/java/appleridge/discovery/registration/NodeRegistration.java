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
 * Keeps one ephemeral node, over lost connections and sessions, until it is closed. A node that is
 * there may belong to a session that is about to end, and would vanish with it; so a node of
 * another session is deleted and made anew. Methods may be called on any thread; the work is done
 * on one of its own.
 */
public final class NodeRegistration implements AutoCloseable {
    /** What to do, on the one thread that does it. */
    private enum Task {
        OPEN,
        ENSURE,
        CLOSE
    }

    private static final long RETRY_MILLIS = 1000;

    /** How often the node is checked although no event came. */
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
     * With the node's name under the settings' root.
     *
     * @param startedMillis of two servers of one name, the one that started last has it
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

    /** From now on the node is there whenever a coordination server can be had. */
    public void start() {
        tasks.add(Task.OPEN);
        thread.start();
    }

    /** Changes what the node holds. */
    public void setData(byte[] other) {
        data = other;
        tasks.add(Task.ENSURE);
    }

    /** Deletes the node by ending the session; waits for that for a moment. */
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
        boolean again = false;
        while (true) {
            try {
                Task task = tasks.poll(again ? RETRY_MILLIS : CHECK_MILLIS, TimeUnit.MILLISECONDS);
                if (task == Task.CLOSE) {
                    drop();
                    return;
                }
                if (task == Task.OPEN || client == null) {
                    open();
                }
                ensureRegistered();
                again = false;
            } catch (KeeperException e) {
                again = true;
                if (e.code() != Code.CONNECTIONLOSS
                        || client.getState() == ZooKeeper.States.CONNECTED) {
                    logChange("can't register: " + e.code());
                }
            } catch (IOException | RuntimeException e) {
                again = true;
                logChange("can't register: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void open() throws IOException {
        drop();
        client = ZooKeeperClientFactory.open(settings, this::onEvent);
    }

    private void drop() {
        if (client != null) {
            ZooKeeperClientFactory.close(client);
            client = null;
        }
    }

    /** On the client's thread. */
    private void onEvent(WatchedEvent event) {
        if (event.getType() != Watcher.Event.EventType.None) {
            tasks.add(Task.ENSURE);
            return;
        }
        switch (event.getState()) {
            case SyncConnected -> tasks.add(Task.ENSURE);
            case Disconnected ->
                    log.accept(
                            "registration: no coordination server answers; the node stays"
                                    + " while the session does");
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
            byte[] there = read(path, stat);
            if (stat.getCzxid() == 0) {
                create(path, wanted);
            } else if (stat.getEphemeralOwner() == client.getSessionId()) {
                if (!Arrays.equals(there, wanted)) {
                    client.setData(path, wanted, stat.getVersion());
                }
                logChange("registered as " + path);
                return;
            } else if (NodeJsonWriter.startedMillis(there) > startedMillis) {
                logChange("a server that started later has the name " + path + "; not registered");
                return;
            } else {
                delete(path, stat);
            }
        }
    }

    /**
     * What the node holds, and the watch that tells of its end; a number of 0 if it is not there.
     */
    private byte[] read(String path, Stat stat) throws KeeperException, InterruptedException {
        try {
            return client.getData(path, true, stat);
        } catch (KeeperException.NoNodeException e) {
            return null;
        }
    }

    private void create(String path, byte[] holds) throws KeeperException, InterruptedException {
        try {
            client.create(path, holds, ZooKeeperClientFactory.acl(settings), CreateMode.EPHEMERAL);
        } catch (KeeperException.NodeExistsException e) {
            // Another one was faster: look who.
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
            // Good.
        }
    }

    /**
     * Deletes a node of another session. A node made anew begins at version 0 again, so the version
     * is no proof that it is still the same node; {@link #ensureRegistered} looks again.
     */
    private void delete(String path, Stat stat) throws KeeperException, InterruptedException {
        try {
            client.delete(path, stat.getVersion());
        } catch (KeeperException.NoNodeException | KeeperException.BadVersionException e) {
            // Another one was faster: look again.
        }
    }

    private void logChange(String line) {
        if (!line.equals(lastLogged)) {
            lastLogged = line;
            log.accept("registration: " + line);
        }
    }
}
