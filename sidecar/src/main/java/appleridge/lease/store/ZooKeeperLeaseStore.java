package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.VersionedLease;
import appleridge.transport.SystemTime;
import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A lease in ZooKeeper: {@code ROOT/NAME/record}, a persistent node that is written conditionally
 * on its version, and {@code ROOT/NAME/line}, the queue of the waiters. Only the queue depends on
 * sessions.
 *
 * <p>Methods may be called from any thread. All state is confined to the store's own thread; events
 * are delivered on the caller's executor.
 */
public final class ZooKeeperLeaseStore implements LeaseStore {
    private static final long CLOSE_WAIT_MILLIS = TimeUnit.SECONDS.toMillis(2);

    /** A session that does not connect within this many session time-outs is replaced. */
    private static final long CONNECT_TIMEOUT_SESSIONS = 2;

    private final ZooKeeperSettings settings;
    private final LeasePaths paths;
    private final String holder;
    private final String incarnation;
    private final StoreLog log;
    private final StoreThread thread;
    private final StoreRequestTable requests;
    private final RecordNode.Identity identity = new RecordNode.Identity();

    /** Null while no session is open and the next one waits for the retry delay. */
    private LeaseSession session;

    private boolean queueWanted;

    /** The token of the record written last, and the time of its first write. */
    private long heldToken = -1;

    private long heldSinceUnixMillis;

    /** The time since which there is no connection; the last check while there is one. */
    private long disconnectedSinceNanos = StoreThread.nanoTime();

    /**
     * Creates a store that is not started.
     *
     * @param settings the connection, with the path of all leases as its root
     * @param name the lease's name, which becomes a node's name
     * @param holder the name of the waiting process, for operators
     * @param incarnation unique to this process, of characters allowed in a node's name
     * @param events receives the events, on {@code executor}
     * @param executor runs tasks one at a time, in order
     * @param log receives one line at a time, from the store's thread
     */
    public ZooKeeperLeaseStore(
            ZooKeeperSettings settings,
            String name,
            String holder,
            String incarnation,
            Events events,
            Executor executor,
            Consumer<String> log) {
        this.settings = settings;
        this.paths = LeasePaths.of(settings.root(), name);
        this.holder = holder;
        this.incarnation = incarnation;
        this.log = new StoreLog(log);
        this.thread = new StoreThread(this::checkSession, this::onTaskFailed);
        this.requests = new StoreRequestTable(paths.parent(), events, executor, thread, this.log);
    }

    @Override
    public void start() {
        thread.execute(this::openSession);
        thread.start();
    }

    @Override
    public void read(long requestId) {
        thread.execute(
                () -> {
                    if (openRequest(requestId)) {
                        session.record().read(requestId);
                    }
                });
    }

    @Override
    public void write(long requestId, long expectedVersion, VersionedLease next) {
        thread.execute(
                () -> {
                    if (openRequest(requestId)) {
                        byte[] data = LeaseRecordCodec.encode(next, heldSince(next.token()));
                        session.record().write(requestId, (int) expectedVersion, data);
                    }
                });
    }

    @Override
    public void setQueued(boolean queued) {
        thread.execute(
                () -> {
                    queueWanted = queued;
                    if (session != null) {
                        session.requeue();
                    }
                });
    }

    /** Closes the session, on a server as well if one is connected; waits up to two seconds. */
    @Override
    public void close() {
        thread.execute(
                () -> {
                    thread.stop();
                    closeSession();
                });
        thread.join(CLOSE_WAIT_MILLIS);
    }

    /** The callbacks of a session, on the store's thread. */
    private final class SessionOwner implements LeaseSession.Owner {
        @Override
        public boolean isQueueWanted() {
            return queueWanted;
        }

        /** Opens the next session at once, because leases are short; only retries are delayed. */
        @Override
        public void onSessionExpired(LeaseSession expired) {
            closeSession();
            openSession();
        }

        @Override
        public void replace(LeaseSession which) {
            replaceSession(which);
        }
    }

    private void replaceSession(LeaseSession which) {
        if (session == which && !thread.isStopped()) {
            closeSession();
            thread.retryLater(this::openSession);
        }
    }

    /** Whether the request can be sent; if not, it completes after the retry delay. */
    private boolean openRequest(long requestId) {
        requests.open(requestId);
        boolean isReady = session != null && session.isReady();
        if (!isReady) {
            requests.completeUnknownLater(requestId);
        }
        return isReady;
    }

    private long heldSince(long token) {
        if (token != heldToken) {
            heldToken = token;
            heldSinceUnixMillis = SystemTime.UNIX_MILLIS.getAsLong();
        }
        return heldSinceUnixMillis;
    }

    private void openSession() {
        if (thread.isStopped()) {
            return;
        }
        session = new LeaseSession(settings, paths, new SessionOwner(), requests, thread, log);
        try {
            session.open(holder, incarnation, identity);
        } catch (IOException | RuntimeException e) {
            log.info("can't start the ZooKeeper client: " + e);
            session = null;
            thread.retryLater(this::openSession);
        }
    }

    private void closeSession() {
        LeaseSession last = session;
        session = null;
        if (last != null) {
            last.close();
        }
        requests.completeAllUnknown();
    }

    /**
     * Replaces a session that can't be used, in cases that the client itself does not detect: the
     * ensemble was set up anew and refuses to resume the session, or a server responds to pings and
     * nothing else.
     */
    private void checkSession() {
        long nowNanos = StoreThread.nanoTime();
        if (session == null) {
            return;
        }
        if (session.isReady()) {
            disconnectedSinceNanos = nowNanos;
        } else if (nowNanos - disconnectedSinceNanos > connectTimeoutNanos()) {
            disconnectedSinceNanos = nowNanos;
            replaceSession(session);
        }
        if (session != null && session.isReady() && requests.hasOverdueRequest(nowNanos)) {
            log.info("a ZooKeeper server does not respond; connecting to another one");
            replaceSession(session);
        }
    }

    private long connectTimeoutNanos() {
        return TimeUnit.MILLISECONDS.toNanos(
                CONNECT_TIMEOUT_SESSIONS * settings.sessionTimeoutMillis());
    }

    private void onTaskFailed(RuntimeException e) {
        log.info("a task of the lease store failed: " + e);
    }
}
