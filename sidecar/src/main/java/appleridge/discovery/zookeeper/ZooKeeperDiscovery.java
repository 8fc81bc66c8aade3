package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.request.Scheduler;
import appleridge.transport.SidecarEventLoop;
import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;

/**
 * Follows ephemeral nodes in ZooKeeper and tells a {@link NodeDiscovery} of them, on the loop.
 * Handles are made and closed on a thread of its own, for both take their time; what they tell is
 * read on theirs. To be made, started and closed on the loop.
 */
public final class ZooKeeperDiscovery implements AutoCloseable {
    /**
     * After a handle's end the next one waits this long, and twice as long each time, up to the
     * most.
     */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Over so much time readings of the whole are spread, after the first one. */
    private static final long REREAD_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long RETRY_TOO_LARGE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long RETRY_OLDER_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Looks, one a second, at which no answer may have come before a server is given up. */
    private static final int MAX_SILENT_CHECKS = 4;

    /** Looks between two questions to a server that has nothing to tell. */
    private static final int CHECKS_PER_PROBE = 5;

    /** Looks after which the client's log may say again what it has said. */
    private static final int CHECKS_PER_LOG_RESET = 300;

    private static final String UNRESPONSIVE =
            "a coordination server answers nothing; another one is asked";

    private final SidecarEventLoop loop;
    private final ZooKeeperSettings settings;
    private final SessionListener listener;
    private final NodeJsonParser json;
    private final SplittableRandom random;
    private final Mailbox mailbox;
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::runTasks, "membership");

    /** On the loop: handles that ended since one was connected. */
    private int failedHandles;

    private boolean first = true;
    private String lastUnexpectedCode = "";
    private Scheduler.ScheduledTask pendingRead = () -> {};

    /** On the keeper's thread. */
    private Handle handle;

    private boolean closed;

    /** What was heard of the path by any handle; guarded by this. */
    private long rootCzxid;

    private long highestZxid;

    /** {@code seed}: for what is drawn, so that many sidecars don't ask at once. */
    public ZooKeeperDiscovery(
            SidecarEventLoop loop,
            ZooKeeperSettings settings,
            NodeDiscovery membership,
            NodeJsonParser json,
            long seed) {
        this(loop, settings, SessionListener.of(membership), json, seed);
    }

    ZooKeeperDiscovery(
            SidecarEventLoop loop,
            ZooKeeperSettings settings,
            SessionListener hearer,
            NodeJsonParser json,
            long seed) {
        this.loop = loop;
        this.settings = settings;
        this.listener = hearer;
        this.json = json;
        this.random = new SplittableRandom(seed);
        this.mailbox = new Mailbox(loop, hearer);
        thread.setDaemon(true);
    }

    /** Begins to connect. */
    public void start() {
        thread.start();
        tasks.add(this::open);
    }

    /** Tells all that has been heard, before this returns. */
    public void tellNow() {
        mailbox.deliverAll();
    }

    /**
     * Runs this on the loop once a server has answered, and all that it told before has been told.
     */
    public void confirm(Runnable heard) {
        tasks.add(
                () -> {
                    if (handle != null) {
                        handle.confirm(heard);
                    }
                });
    }

    /** Reads everything again. On any thread. */
    public void refresh() {
        tasks.add(
                () -> {
                    if (handle != null) {
                        handle.read();
                    }
                });
    }

    /**
     * On the loop: reads everything again after a while, which takes the place of a wait that is
     * on.
     */
    private void readAfter(long wait) {
        pendingRead.cancel();
        if (wait == 0) {
            refresh();
        } else {
            pendingRead = loop.after(wait, this::refresh);
        }
    }

    /** Ends; the session is closed if a server can still be told. */
    @Override
    public void close() {
        tasks.add(
                () -> {
                    closed = true;
                    drop();
                });
    }

    private void runTasks() {
        int looks = 0;
        while (!closed) {
            try {
                Runnable task = tasks.poll(1, TimeUnit.SECONDS);
                if (task != null) {
                    task.run();
                } else if (handle != null) {
                    handle.look(++looks % CHECKS_PER_PROBE == 0);
                    if (looks % CHECKS_PER_LOG_RESET == 0) {
                        Slf4jBridge.again();
                    }
                }
            } catch (InterruptedException | RejectedExecutionException e) {
                // Nobody is left to be told.
                return;
            } catch (RuntimeException e) {
                loop.execute(
                        () -> loop.log().failure("the coordination service's client failed", e));
            }
        }
    }

    private void open() {
        if (closed || handle != null) {
            return;
        }
        Handle next = new Handle();
        handle = next;
        try {
            next.begin(ZooKeeperClientFactory.open(settings, next));
        } catch (IOException | RuntimeException e) {
            loop.execute(
                    () ->
                            loop.log()
                                    .warning(
                                            "the coordination service's client can't start: " + e));
            failedHandles(next);
        }
    }

    /** On the keeper's thread: a handle is of no use any more; another one follows. */
    private void failedHandles(Handle which) {
        if (handle != which || closed) {
            return;
        }
        drop();
        loop.execute(
                () -> {
                    long wait =
                            Math.min(
                                    MAX_BACKOFF_NANOS,
                                    MIN_BACKOFF_NANOS << Math.min(failedHandles, 10));
                    failedHandles++;
                    loop.after(wait / 2 + random.nextLong(wait), () -> tasks.add(this::open));
                });
    }

    private void drop() {
        if (handle != null) {
            handle.close();
            handle = null;
        }
    }

    /** One handle: a session, for as long as the ensemble keeps it. */
    private final class Handle implements Watcher, SubtreeWatcher.Listener {
        /** Danger: the client may tell that it is connected before its maker has it. */
        private final CountDownLatch made = new CountDownLatch(1);

        private volatile ZooKeeper client;
        private volatile SubtreeWatcher subtree;
        private volatile boolean closed;
        private volatile boolean readOnly;
        private volatile boolean connected;
        private long answered;
        private int silent;
        private int apart;

        void begin(ZooKeeper opened) {
            client = opened;
            subtree = new SubtreeWatcher(opened, settings, json, this);
            made.countDown();
        }

        @Override
        public void process(WatchedEvent event) {
            try {
                made.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            if (closed) {
                return;
            }
            if (event.getType() != Event.EventType.None) {
                subtree.onEvent(event);
                return;
            }
            switch (event.getState()) {
                case SyncConnected -> connected(SessionState.CONNECTED);
                case ConnectedReadOnly -> connected(SessionState.READ_ONLY);
                case Disconnected -> {
                    connected = false;
                    subtree.onConnectionLost();
                    mailbox.session(SessionState.SUSPENDED);
                }
                case Expired -> {
                    mailbox.session(SessionState.EXPIRED);
                    end();
                }
                case AuthFailed -> {
                    mailbox.stale(StalenessCause.ACCESS_DENIED);
                    end();
                }
                default -> {}
            }
        }

        private void connected(SessionState state) {
            connected = true;
            readOnly = state == SessionState.READ_ONLY;
            mailbox.session(state);
            loop.execute(
                    () -> {
                        failedHandles = 0;
                        readAfter(first ? 0 : random.nextLong(REREAD_JITTER_NANOS));
                        first = false;
                    });
        }

        private void end() {
            connected = false;
            tasks.add(() -> failedHandles(this));
        }

        /** On the keeper's thread. */
        void read() {
            if (connected && !closed) {
                subtree.readAll(readOnly);
            }
        }

        /** On the keeper's thread. */
        void confirm(Runnable heard) {
            if (connected && !closed) {
                subtree.confirm(() -> mailbox.confirmed(heard));
            }
        }

        /**
         * Danger: a server may answer pings and nothing else, which the client takes for a good
         * connection. Looks are counted and not time, so that a machine that stood still gives up
         * nothing.
         */
        void look(boolean probe) {
            if (!connected) {
                silent = 0;
                apart++;
                if (apart * 1000L > 2L * settings.sessionMillis()) {
                    giveUp();
                }
                return;
            }
            apart = 0;
            long now = subtree.answeredCount();
            silent = subtree.isWaiting() && now == answered ? silent + 1 : 0;
            answered = now;
            if (silent >= MAX_SILENT_CHECKS) {
                loop.execute(() -> loop.log().warning(UNRESPONSIVE));
                mailbox.session(SessionState.SUSPENDED);
                connected = false;
                failedHandles(this);
            } else if (probe) {
                subtree.probe();
            }
        }

        /**
         * Danger: the client asks with the latest transaction that it has heard of, and an ensemble
         * that began anew turns it away each time, without end.
         */
        private void giveUp() {
            mailbox.session(SessionState.EXPIRED);
            failedHandles(this);
        }

        void close() {
            closed = true;
            if (subtree != null) {
                subtree.close();
                ZooKeeperClientFactory.close(client);
            }
        }

        @Override
        public void onRoot(long czxid, long latest, boolean accepted) {
            boolean wiped;
            synchronized (ZooKeeperDiscovery.this) {
                wiped = rootCzxid != 0 && czxid != rootCzxid && latest < highestZxid;
                if (wiped) {
                    highestZxid = latest;
                }
                rootCzxid = czxid;
            }
            if (wiped) {
                mailbox.stale(StalenessCause.WIPED);
            }
            if (accepted) {
                mailbox.accept();
            }
        }

        private void heard(long zxid) {
            synchronized (ZooKeeperDiscovery.this) {
                highestZxid = Math.max(highestZxid, zxid);
            }
        }

        @Override
        public void onSnapshot(long told, long zxid, Map<String, NodeRead> nodes) {
            heard(zxid);
            mailbox.snapshot(
                    told,
                    zxid,
                    nodes,
                    () -> {
                        lastUnexpectedCode = "";
                        if (listener.doubt() == StalenessCause.OLDER
                                || listener.doubt() == StalenessCause.WIPED) {
                            readAfter(RETRY_OLDER_NANOS + random.nextLong(RETRY_OLDER_NANOS));
                        }
                    });
        }

        @Override
        public void onNodeChanged(long zxid, String name) {
            heard(zxid);
            mailbox.changed(nanoTime(), zxid, name);
        }

        @Override
        public void onNodeRead(String name, NodeRead read) {
            mailbox.read(name, read);
        }

        @Override
        public void onNodeDeleted(long zxid, String name) {
            heard(zxid);
            mailbox.deleted(nanoTime(), zxid, name);
        }

        @Override
        public void onStale(StalenessCause why) {
            mailbox.stale(why);
            again(why == StalenessCause.TOO_LARGE ? RETRY_TOO_LARGE_NANOS : RETRY_NANOS);
        }

        @Override
        public void onUnexpectedCode(Code code) {
            loop.execute(
                    () -> {
                        String trouble = "the coordination service answers " + code;
                        if (!trouble.equals(lastUnexpectedCode)) {
                            lastUnexpectedCode = trouble;
                            loop.log().warning(trouble);
                        }
                    });
            again(RETRY_NANOS);
        }

        private void again(long wait) {
            loop.execute(() -> readAfter(wait + random.nextLong(wait / 4)));
        }

        @Override
        public long nanoTime() {
            return loop.nanoTime();
        }
    }
}
