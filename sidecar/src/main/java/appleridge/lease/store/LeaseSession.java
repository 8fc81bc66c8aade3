package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import java.io.IOException;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;

/**
 * One ZooKeeper client handle, with one session for as long as the ensemble keeps it. Creates the
 * lease's own nodes, and owns the access to the record and the place in the queue. Confined to the
 * store's thread, except {@link #process}.
 */
final class LeaseSession implements Watcher, WaiterQueue.Host {
    /** Opens sessions and replaces them. */
    interface Owner {
        /** The server has expired the session. */
        void onSessionExpired(LeaseSession session);

        /** Replaces a session that can't be used any more by a new one after the retry delay. */
        void replace(LeaseSession session);

        /** Whether a place in the queue is wanted. */
        boolean isQueueWanted();
    }

    private final ZooKeeperSettings settings;
    private final LeasePaths paths;
    private final Owner owner;
    private final StoreRequestTable requests;
    private final StoreThread thread;
    private final StoreLog log;
    private ZooKeeper client;
    private WaiterQueue queue;
    private RecordNode record;
    private boolean ready;
    private boolean closed;

    LeaseSession(
            ZooKeeperSettings settings,
            LeasePaths paths,
            Owner owner,
            StoreRequestTable requests,
            StoreThread thread,
            StoreLog log) {
        this.settings = settings;
        this.paths = paths;
        this.owner = owner;
        this.requests = requests;
        this.thread = thread;
        this.log = log;
    }

    /**
     * Starts connecting.
     *
     * @param holder the name of the waiting process, for operators
     * @param incarnation the prefix of the node's name in the queue
     * @throws IOException if the client can't be created
     */
    void open(String holder, String incarnation, RecordNode.Identity identity) throws IOException {
        client = ZooKeeperClientFactory.open(settings, this);
        queue = new WaiterQueue(client, settings, paths.queue(), holder, incarnation, this);
        record =
                new RecordNode(
                        client, settings, paths.record(), identity, requests, log, this::execute);
    }

    /** Closes the session, on a server as well if one is connected. */
    void close() {
        closed = true;
        onDisconnected();
        if (client != null) {
            ZooKeeperClientFactory.close(client);
        }
    }

    RecordNode record() {
        return record;
    }

    /** Joins or leaves the queue as wanted now, and reports the head of the queue again. */
    void requeue() {
        if (ready) {
            // Without this, an immediate rejoin would not report the head of the queue again.
            queue.resetHeadReport();
            queue.reconcile();
        }
    }

    @Override
    public void process(WatchedEvent event) {
        execute(() -> onEvent(event));
    }

    private void onEvent(WatchedEvent event) {
        if (event.getType() == Event.EventType.None) {
            onState(event.getState());
        } else if (paths.record().equals(event.getPath())) {
            record.onWatchEvent();
        } else {
            queue.reconcile();
        }
    }

    private void onState(Event.KeeperState state) {
        switch (state) {
            case SyncConnected -> createNode(paths.parent());
            case Disconnected -> onDisconnected();
            case Expired -> {
                log.info("the ZooKeeper session has expired; opening a new one");
                owner.onSessionExpired(this);
            }
            case AuthFailed -> {
                log.info("ZooKeeper authentication failed");
                owner.replace(this);
            }
            default -> {}
        }
    }

    private void onDisconnected() {
        if (ready) {
            ready = false;
            queue.resetHeadReport();
            requests.publish(LeaseStore.Events::onDisconnected);
        }
    }

    /**
     * Creates one of the lease's own nodes; the parent is created before the queue. The root of all
     * leases is never created, because that would hide that the ensemble has lost its data.
     */
    private void createNode(String path) {
        client.create(
                path,
                new byte[0],
                ZooKeeperClientFactory.acl(settings),
                CreateMode.PERSISTENT,
                (code, nodePath, context, name) ->
                        execute(() -> onNodeCreated(path, Code.get(code))),
                null);
    }

    private void onNodeCreated(String path, Code code) {
        switch (code) {
            case OK, NODEEXISTS -> {
                if (path.equals(paths.parent())) {
                    createNode(paths.queue());
                } else {
                    onConnected();
                }
            }
            case CONNECTIONLOSS -> {
                // The next SyncConnected event starts it again.
            }
            default -> {
                log.info(
                        code == Code.NONODE
                                ? "the root path of the leases does not exist: " + settings.root()
                                : "ZooKeeper returned " + code + " for " + path);
                thread.retryLater(() -> execute(() -> createNode(path)));
            }
        }
    }

    private void onConnected() {
        if (!ready && client.getState() == ZooKeeper.States.CONNECTED) {
            ready = true;
            log.reset();
            requests.publish(LeaseStore.Events::onConnected);
            queue.reconcile();
        }
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(
                () -> {
                    if (!closed) {
                        task.run();
                    }
                });
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public boolean wantsPlace() {
        return ready && owner.isQueueWanted();
    }

    @Override
    public void onHeadOfQueue() {
        requests.publish(LeaseStore.Events::onHeadOfQueue);
    }

    /** Replaces the session; the new one creates the queue's node again. */
    @Override
    public void onQueueMissing() {
        log.info(paths.queue() + " does not exist");
        thread.retryLater(() -> owner.replace(this));
    }

    @Override
    public void onFailure(String line) {
        log.info(line);
        thread.retryLater(() -> execute(queue::reconcile));
    }
}
