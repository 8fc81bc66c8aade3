package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;

/**
 * One handle of the ZooKeeper client, which has one session. Puts events, reads and session states
 * into the mailbox. {@link #process} and the methods of {@link SubtreeListener} are called on the
 * handle's event thread, all others on the owner's thread.
 */
final class ClientHandle implements Watcher, SubtreeListener {
    /** The owner of a handle. Methods may be called on any thread. */
    interface Owner {
        /** A server is connected: the owner must have the subtree read. */
        void onConnected();

        /** The session has ended. */
        void onEnded(ClientHandle handle);

        /** No response came for several checks; the handle must be replaced. */
        void onUnresponsive();

        /** A snapshot was delivered. Called on the loop. */
        void onSnapshotDelivered();

        /** The subtree can't be read for now. */
        void onReadFailed(StalenessCause cause);

        /** The subtree can't be read, for a reason that has no {@link StalenessCause}. */
        void onUnexpectedCode(Code code);

        /** Returns the current time on the loop's clock. */
        long nanoTime();
    }

    /** Interval of {@link #check}, in milliseconds. */
    static final long CHECK_MILLIS = TimeUnit.SECONDS.toMillis(1);

    /** Consecutive checks without a response after which the handle is replaced. */
    private static final int MAX_SILENT_CHECKS = 4;

    /** Number of session time-outs without a connection after which the session is given up. */
    private static final long MAX_DISCONNECTED_SESSIONS = 2;

    private final ZooKeeperSettings settings;
    private final NodeJsonParser json;
    private final Mailbox mailbox;
    private final RootHistory rootHistory;
    private final Owner owner;

    /** Opened by {@link #begin}: events may arrive before the client's constructor returns. */
    private final CountDownLatch opened = new CountDownLatch(1);

    private volatile ZooKeeper client;
    private volatile SubtreeWatcher subtree;
    private volatile boolean closed;
    private volatile boolean readOnly;
    private volatile boolean connected;
    private long answeredAtLastCheck;
    private int silentChecks;
    private int disconnectedChecks;

    ClientHandle(
            ZooKeeperSettings settings,
            NodeJsonParser json,
            Mailbox mailbox,
            RootHistory rootHistory,
            Owner owner) {
        this.settings = settings;
        this.json = json;
        this.mailbox = mailbox;
        this.rootHistory = rootHistory;
        this.owner = owner;
    }

    /** Must be called once, with the client of this handle. */
    void begin(ZooKeeper opening) {
        client = opening;
        subtree = new SubtreeWatcher(opening, settings, json, this);
        opened.countDown();
    }

    @Override
    public void process(WatchedEvent event) {
        try {
            opened.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        if (closed) {
            return;
        }
        if (event.getType() == Event.EventType.None) {
            onState(event.getState());
        } else {
            subtree.onEvent(event);
        }
    }

    private void onState(Event.KeeperState state) {
        switch (state) {
            case SyncConnected -> onConnected(SessionState.CONNECTED);
            case ConnectedReadOnly -> onConnected(SessionState.READ_ONLY);
            case Disconnected -> {
                connected = false;
                subtree.onConnectionLost();
                mailbox.session(SessionState.SUSPENDED);
            }
            case Expired -> {
                mailbox.session(SessionState.EXPIRED);
                connected = false;
                owner.onEnded(this);
            }
            case AuthFailed -> {
                mailbox.stale(StalenessCause.ACCESS_DENIED);
                connected = false;
                owner.onEnded(this);
            }
            default -> {}
        }
    }

    private void onConnected(SessionState state) {
        connected = true;
        readOnly = state == SessionState.READ_ONLY;
        mailbox.session(state);
        owner.onConnected();
    }

    /** Starts to read the whole subtree, if connected. */
    void readAll() {
        if (connected && !closed) {
            subtree.readAll(readOnly);
        }
    }

    /** Runs an action on the loop after a server has answered and all before was delivered. */
    void confirm(Runnable confirmed) {
        if (connected && !closed) {
            subtree.confirm(() -> mailbox.confirmed(confirmed));
        }
    }

    /**
     * Detects a server that answers pings and nothing else, which the client takes for a healthy
     * connection. Counts checks rather than time, so that a stall of this machine is not taken for
     * an unresponsive server.
     *
     * @param probe whether to send a call if none is in flight
     * @return whether the handle must be replaced
     */
    boolean check(boolean probe) {
        if (!connected) {
            return checkDisconnected();
        }
        disconnectedChecks = 0;
        long answered = subtree.answeredCount();
        boolean silent = subtree.isWaiting() && answered == answeredAtLastCheck;
        silentChecks = silent ? silentChecks + 1 : 0;
        answeredAtLastCheck = answered;
        if (silentChecks >= MAX_SILENT_CHECKS) {
            owner.onUnresponsive();
            mailbox.session(SessionState.SUSPENDED);
            connected = false;
            return true;
        }
        if (probe) {
            subtree.probe();
        }
        return false;
    }

    /**
     * Gives up the session after a while without a connection: the client states the latest
     * transaction that it has seen, and an ensemble with a new history rejects it for that.
     */
    private boolean checkDisconnected() {
        silentChecks = 0;
        disconnectedChecks++;
        boolean expired =
                disconnectedChecks * CHECK_MILLIS
                        > MAX_DISCONNECTED_SESSIONS * settings.sessionTimeoutMillis();
        if (expired) {
            mailbox.session(SessionState.EXPIRED);
        }
        return expired;
    }

    /** Closes the session; blocks for up to a second. */
    void close() {
        closed = true;
        if (subtree != null) {
            subtree.close();
            ZooKeeperClientFactory.close(client);
        }
    }

    @Override
    public void onRoot(long czxid, long latestZxid, boolean accepted) {
        if (rootHistory.isWiped(czxid, latestZxid)) {
            mailbox.stale(StalenessCause.WIPED);
        }
        if (accepted) {
            mailbox.accept();
        }
    }

    @Override
    public void onSnapshot(long asOfNanos, long zxid, Map<String, NodeRead> nodes) {
        rootHistory.onZxid(zxid);
        mailbox.snapshot(asOfNanos, zxid, nodes, owner::onSnapshotDelivered);
    }

    @Override
    public void onNodeChanged(long zxid, String name) {
        rootHistory.onZxid(zxid);
        mailbox.changed(nanoTime(), zxid, name);
    }

    @Override
    public void onNodeRead(String name, NodeRead read) {
        mailbox.read(name, read);
    }

    @Override
    public void onNodeDeleted(long zxid, String name) {
        rootHistory.onZxid(zxid);
        mailbox.deleted(nanoTime(), zxid, name);
    }

    @Override
    public void onStale(StalenessCause cause) {
        mailbox.stale(cause);
        owner.onReadFailed(cause);
    }

    @Override
    public void onUnexpectedCode(Code code) {
        owner.onUnexpectedCode(code);
    }

    @Override
    public long nanoTime() {
        return owner.nanoTime();
    }
}
