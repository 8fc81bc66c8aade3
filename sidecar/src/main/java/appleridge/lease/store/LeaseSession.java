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
 * One client handle, which is one ZooKeeper session for as long as the ensemble keeps it: makes the
 * lease's own nodes, and has the record and the place in the queue looked after. On the store's
 * thread, except {@link #process}.
 */
final class LeaseSession implements Watcher, WaiterQueue.Host {
    /** Who opens sessions and replaces them. */
    interface Owner {
        /** The session has expired on the server. */
        void onSessionExpired(LeaseSession session);

        /** The session is of no use any more: a new one is to be opened after the retry delay. */
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
     * Starts to connect.
     *
     * @param holder who waits, for operators
     * @param incarnation begins the name of the node in the queue
     * @throws IOException if the client can't be created
     */
    void open(String holder, String incarnation, RecordNode.Identity identity) throws IOException {
        client = ZooKeeperClientFactory.open(settings, this);
        queue = new WaiterQueue(client, settings, paths.queue(), holder, incarnation, this);
        record =
                new RecordNode(
                        client, settings, paths.record(), identity, requests, log, this::execute);
    }

    /** Ends the session if a server can be told. */
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

    /** Joins or leaves the queue as is wanted now, and tells anew who is at its head. */
    void requeue() {
        if (ready) {
            // Without this, leaving and joining in one go would not tell the head of the queue.
            queue.onDisconnected();
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
            case SyncConnected -> createNode(paths.folder());
            case Disconnected -> onDisconnected();
            case Expired -> {
                log.info("the session is over; another one begins");
                owner.onSessionExpired(this);
            }
            case AuthFailed -> {
                log.info("the coordination service does not take who this is");
                owner.replace(this);
            }
            default -> {}
        }
    }

    private void onDisconnected() {
        if (ready) {
            ready = false;
            queue.onDisconnected();
            requests.publish(LeaseStore.Events::onDisconnected);
        }
    }

    /**
     * Creates one of the lease's own nodes, the folder before the queue in it. The root of all
     * leases is never created: that would hide that the ensemble has lost its data.
     */
    private void createNode(String path) {
        client.create(
                path,
                new byte[0],
                ZooKeeperClientFactory.acl(settings),
                CreateMode.PERSISTENT,
                (code, asked, context, name) -> execute(() -> onNodeCreated(path, Code.get(code))),
                null);
    }

    private void onNodeCreated(String path, Code code) {
        switch (code) {
            case OK, NODEEXISTS -> {
                if (path.equals(paths.folder())) {
                    createNode(paths.queue());
                } else {
                    onConnected();
                }
            }
            case CONNECTIONLOSS -> {
                // The next SyncConnected starts it again.
            }
            default -> {
                log.info(
                        code == Code.NONODE
                                ? "the path of the leases is not there: " + settings.root()
                                : "the coordination service answers " + code + " for " + path);
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

    /** A new session creates the queue's node again. */
    @Override
    public void onQueueMissing() {
        log.info(paths.queue() + " is gone");
        thread.retryLater(() -> owner.replace(this));
    }

    @Override
    public void onFailure(String line) {
        log.info(line);
        thread.retryLater(() -> execute(queue::reconcile));
    }
}
