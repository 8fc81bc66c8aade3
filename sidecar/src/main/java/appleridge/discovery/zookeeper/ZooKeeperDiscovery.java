package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.request.Scheduler;
import appleridge.transport.SidecarEventLoop;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException.Code;

/**
 * Follows ephemeral nodes in ZooKeeper and notifies a {@link NodeDiscovery} of them, on the loop.
 * Opens and closes handles on a thread of its own, because both block; events and responses are
 * handled on a handle's event thread. Must be created, started and closed on the loop.
 */
public final class ZooKeeperDiscovery implements AutoCloseable {
    /**
     * The first backoff after a handle has ended; doubles with each handle that ends without having
     * been connected.
     */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /** Reads after a reconnect are spread over this time, so that sidecars don't read at once. */
    private static final long REREAD_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long RETRY_TOO_LARGE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long RETRY_OLDER_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Number of checks between two probes of a server without calls in flight. */
    private static final int CHECKS_PER_PROBE = 5;

    /** Number of checks after which the client's log may repeat a line. */
    private static final int CHECKS_PER_LOG_RESET = 300;

    private static final String UNRESPONSIVE =
            "a coordination server does not respond; connecting to another one";

    private final SidecarEventLoop loop;
    private final ZooKeeperSettings settings;
    private final SessionListener listener;
    private final NodeJsonParser json;
    private final SplittableRandom random;
    private final Mailbox mailbox;
    private final RootHistory rootHistory = new RootHistory();
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::runTasks, "membership");

    /** Handles that ended since one was connected. On the loop, like the next three fields. */
    private int failedHandles;

    private boolean firstConnection = true;
    private String lastUnexpectedCode = "";
    private Scheduler.ScheduledTask pendingRead = () -> {};

    /** The open handle; null for none. On {@link #thread}. */
    private ClientHandle handle;

    /** On {@link #thread}. */
    private boolean closed;

    /** {@code seed}: of the jitter that keeps many sidecars from reading at once. */
    public ZooKeeperDiscovery(
            SidecarEventLoop loop,
            ZooKeeperSettings settings,
            NodeDiscovery discovery,
            NodeJsonParser json,
            long seed) {
        this(loop, settings, SessionListener.of(discovery), json, seed);
    }

    ZooKeeperDiscovery(
            SidecarEventLoop loop,
            ZooKeeperSettings settings,
            SessionListener listener,
            NodeJsonParser json,
            long seed) {
        this.loop = loop;
        this.settings = settings;
        this.listener = listener;
        this.json = json;
        this.random = new SplittableRandom(seed);
        this.mailbox = new Mailbox(loop, listener);
        thread.setDaemon(true);
    }

    /** Starts to connect. */
    public void start() {
        thread.start();
        tasks.add(this::open);
    }

    /** Delivers all received events before this method returns. Must be called on the loop. */
    public void deliverPending() {
        mailbox.deliverAll();
    }

    /**
     * Runs {@code confirmed} on the loop after a server has answered a call and all its earlier
     * notifications were delivered; never if no server answers. May be called on any thread.
     */
    public void confirm(Runnable confirmed) {
        tasks.add(
                () -> {
                    if (handle != null) {
                        handle.confirm(confirmed);
                    }
                });
    }

    /** Reads all nodes again. May be called on any thread. */
    public void refresh() {
        tasks.add(
                () -> {
                    if (handle != null) {
                        handle.readAll();
                    }
                });
    }

    /** Closes the session, if a server can be reached. May be called on any thread. */
    @Override
    public void close() {
        tasks.add(
                () -> {
                    closed = true;
                    closeHandle();
                });
    }

    /** Schedules a read of all nodes and cancels the one scheduled before. On the loop. */
    private void readAfter(long waitNanos) {
        pendingRead.cancel();
        if (waitNanos == 0) {
            refresh();
        } else {
            pendingRead = loop.schedule(waitNanos, this::refresh);
        }
    }

    private void runTasks() {
        int checks = 0;
        while (!closed) {
            try {
                Runnable task = tasks.poll(ClientHandle.CHECK_MILLIS, TimeUnit.MILLISECONDS);
                if (task != null) {
                    task.run();
                } else if (handle != null) {
                    checks++;
                    check(checks);
                }
            } catch (InterruptedException | RejectedExecutionException e) {
                // The loop has ended, so there is no listener left.
                return;
            } catch (RuntimeException e) {
                loop.execute(
                        () -> loop.log().failure("the coordination service's client failed", e));
            }
        }
    }

    private void check(int checks) {
        if (handle.check(checks % CHECKS_PER_PROBE == 0)) {
            reopen(handle);
        }
        if (checks % CHECKS_PER_LOG_RESET == 0) {
            Slf4jBridge.allowRepeats();
        }
    }

    private void open() {
        if (closed || handle != null) {
            return;
        }
        ClientHandle next =
                new ClientHandle(settings, json, mailbox, rootHistory, new HandleOwner());
        handle = next;
        try {
            next.begin(ZooKeeperClientFactory.open(settings, next));
        } catch (IOException | RuntimeException e) {
            loop.execute(
                    () ->
                            loop.log()
                                    .warning(
                                            "the coordination service's client can't start: " + e));
            reopen(next);
        }
    }

    /** Closes a handle that has failed and opens another after a backoff. On {@link #thread}. */
    private void reopen(ClientHandle ended) {
        if (handle != ended || closed) {
            return;
        }
        closeHandle();
        loop.execute(
                () -> {
                    long backoffNanos = backoffNanos();
                    failedHandles++;
                    loop.schedule(
                            backoffNanos / 2 + random.nextLong(backoffNanos),
                            () -> tasks.add(this::open));
                });
    }

    private long backoffNanos() {
        int doublings = Math.min(failedHandles, MAX_BACKOFF_DOUBLINGS);
        return Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << doublings);
    }

    private void closeHandle() {
        if (handle != null) {
            handle.close();
            handle = null;
        }
    }

    /** Passes the reports of handles to the loop, or to {@link #thread}. */
    private final class HandleOwner implements ClientHandle.Owner {
        @Override
        public void onConnected() {
            loop.execute(
                    () -> {
                        failedHandles = 0;
                        readAfter(firstConnection ? 0 : random.nextLong(REREAD_JITTER_NANOS));
                        firstConnection = false;
                    });
        }

        @Override
        public void onEnded(ClientHandle ended) {
            tasks.add(() -> reopen(ended));
        }

        @Override
        public void onUnresponsive() {
            loop.execute(() -> loop.log().warning(UNRESPONSIVE));
        }

        @Override
        public void onSnapshotDelivered() {
            lastUnexpectedCode = "";
            StalenessCause cause = listener.staleness();
            if (cause == StalenessCause.OLDER || cause == StalenessCause.WIPED) {
                readAfter(RETRY_OLDER_NANOS + random.nextLong(RETRY_OLDER_NANOS));
            }
        }

        @Override
        public void onReadFailed(StalenessCause cause) {
            retry(cause == StalenessCause.TOO_LARGE ? RETRY_TOO_LARGE_NANOS : RETRY_NANOS);
        }

        @Override
        public void onUnexpectedCode(Code code) {
            loop.execute(
                    () -> {
                        String line = "the coordination service answers " + code;
                        if (!line.equals(lastUnexpectedCode)) {
                            lastUnexpectedCode = line;
                            loop.log().warning(line);
                        }
                    });
            retry(RETRY_NANOS);
        }

        private void retry(long waitNanos) {
            loop.execute(() -> readAfter(waitNanos + random.nextLong(waitNanos / 4)));
        }

        @Override
        public long nanoTime() {
            return loop.nanoTime();
        }
    }
}
