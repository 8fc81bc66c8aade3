package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.VersionedLease;
import appleridge.transport.SystemTime;
import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A lease in ZooKeeper: {@code ROOT/NAME/record}, a persistent node that is written by its version,
 * and {@code ROOT/NAME/line}, the queue of those who wait. Only the queue depends on sessions.
 *
 * <p>Methods may be called from any thread. All state is confined to one thread of the store's own,
 * and events are delivered on the caller's executor.
 */
public final class ZooKeeperLeaseStore implements LeaseStore {
    private static final long CLOSE_WAIT_MILLIS = TimeUnit.SECONDS.toMillis(2);

    /** A session that does not connect within so many session time-outs is replaced. */
    private static final long CONNECT_TIMEOUT_SESSIONS = 2;

    private final ZooKeeperSettings settings;
    private final LeasePaths paths;
    private final String holder;
    private final String incarnation;
    private final StoreLog log;
    private final StoreThread thread;
    private final StoreRequestTable requests;
    private final RecordNode.Identity identity = new RecordNode.Identity();

    /** Null while there is none and the next one waits for its retry. */
    private LeaseSession session;

    private boolean queueWanted;

    /** The token of the record written last, and when it was written first. */
    private long heldToken = -1;

    private long heldSinceUnixMillis;

    /** Since when there was no connection; the last check if there is one. */
    private long disconnectedSinceNanos = StoreThread.nanoTime();

    /**
     * Creates a store that is not started.
     *
     * @param settings with the path of all leases as their root
     * @param name the lease's, which becomes a node's name
     * @param holder who waits, for operators
     * @param incarnation unique to this process, of characters that a node's name may hold
     * @param events what happens, delivered on {@code executor}
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
        this.requests = new StoreRequestTable(paths.folder(), events, executor, thread, this.log);
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
                    if (open(requestId)) {
                        session.record().read(requestId);
                    }
                });
    }

    @Override
    public void write(long requestId, long expectedVersion, VersionedLease next) {
        thread.execute(
                () -> {
                    if (open(requestId)) {
                        byte[] data = LeaseRecord.encode(next, heldSince(next.token()));
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

    /** Ends the session if a server can be told, and waits for that for up to two seconds. */
    @Override
    public void close() {
        thread.execute(
                () -> {
                    thread.stop();
                    closeSession();
                });
        thread.join(CLOSE_WAIT_MILLIS);
    }

    /** What a session asks of its store, on the store's thread. */
    private final class SessionOwner implements LeaseSession.Owner {
        @Override
        public boolean isQueueWanted() {
            return queueWanted;
        }

        /** Opens the next one at once, for leases are short; only its retries wait. */
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

    /** Whether the request can be sent; if not, it is answered after the retry delay. */
    private boolean open(long requestId) {
        requests.open(requestId);
        boolean isReady = session != null && session.isReady();
        if (!isReady) {
            requests.answerUnknownLater(requestId);
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
            log.info("the coordination service's client can't start: " + e);
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
        requests.answerAllUnknown();
    }

    /**
     * Replaces a session that is of no use, which the client itself does not notice: the ensemble
     * began anew and refuses to resume the session, or a server answers pings and nothing else.
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
        if (session != null && session.isReady() && requests.hasSilentServer(nowNanos)) {
            log.info("a coordination server answers nothing; another one is asked");
            replaceSession(session);
        }
    }

    private long connectTimeoutNanos() {
        return TimeUnit.MILLISECONDS.toNanos(
                CONNECT_TIMEOUT_SESSIONS * settings.sessionTimeoutMillis());
    }

    private void onTaskFailed(RuntimeException e) {
        log.info("the coordination service's client failed: " + e);
    }
}
