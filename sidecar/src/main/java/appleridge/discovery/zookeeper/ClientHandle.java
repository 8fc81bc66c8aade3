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
 * One handle of the ZooKeeper client: a session, for as long as the ensemble keeps it. What the
 * watch and the reads bring goes into the mailbox. {@link #process} and the listener's methods are
 * called on the handle's event thread, all others on the owner's own thread.
 */
final class ClientHandle implements Watcher, SubtreeListener {
    /** Who made the handle. Methods may be called on any thread. */
    interface Owner {
        /** A server answers: the subtree is to be read. */
        void onConnected();

        /** The session is over. */
        void onEnded(ClientHandle handle);

        /** No response came for several checks; the handle is given up. */
        void onUnresponsive();

        /** A snapshot was delivered. On the loop. */
        void onSnapshotDelivered();

        /** The subtree can't be read now. */
        void onReadFailed(StalenessCause why);

        /** The same, for a code that no cause stands for. */
        void onUnexpectedCode(Code code);

        /** Now, on the loop's clock. */
        long nanoTime();
    }

    /** How often {@link #check} is called, in milliseconds. */
    static final long CHECK_MILLIS = TimeUnit.SECONDS.toMillis(1);

    /** Checks in a row without a response after which a server is given up. */
    private static final int MAX_SILENT_CHECKS = 4;

    /** Session time-outs without a connection after which the session is given up. */
    private static final long MAX_DISCONNECTED_SESSIONS = 2;

    private final ZooKeeperSettings settings;
    private final NodeJsonParser json;
    private final Mailbox mailbox;
    private final RootHistory rootHistory;
    private final Owner owner;

    /** The client may notify that it is connected before its constructor has returned. */
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

    /** To be called once, with the client that this handle watches. */
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

    /** Reads the whole subtree, if connected. */
    void readAll() {
        if (connected && !closed) {
            subtree.readAll(readOnly);
        }
    }

    /** Runs this on the loop once a server has answered and all before that was delivered. */
    void confirm(Runnable confirmed) {
        if (connected && !closed) {
            subtree.confirm(() -> mailbox.confirmed(confirmed));
        }
    }

    /**
     * Looks for a server that answers pings and nothing else, which the client takes for a good
     * connection. Checks are counted, not time, so that a machine that was stalled gives up no
     * server.
     *
     * @param probe whether to ask a server that has nothing to tell
     * @return whether the handle is of no use any more
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
     * Gives the session up after a while: the client names the latest transaction that it knows,
     * and an ensemble that began anew rejects it for that each time.
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

    /** Ends the session; blocks for a moment. */
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
    public void onStale(StalenessCause why) {
        mailbox.stale(why);
        owner.onReadFailed(why);
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
