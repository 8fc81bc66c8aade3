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
    private static final long BACKOFF = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long MOST_BACKOFF = TimeUnit.SECONDS.toNanos(30);

    /** Over so much time readings of the whole are spread, after the first one. */
    private static final long SPREAD = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long AGAIN = TimeUnit.SECONDS.toNanos(10);
    private static final long AGAIN_TOO_LARGE = TimeUnit.SECONDS.toNanos(30);
    private static final long AGAIN_OLDER = TimeUnit.SECONDS.toNanos(2);

    /** Looks, one a second, at which no answer may have come before a server is given up. */
    private static final int SILENT_LOOKS = 4;

    /** Looks between two questions to a server that has nothing to tell. */
    private static final int PROBE_LOOKS = 5;

    /** Looks after which the client's log may say again what it has said. */
    private static final int LOG_LOOKS = 300;

    private static final String MUTE =
            "a coordination server answers nothing; another one is asked";

    private final SidecarEventLoop loop;
    private final ZooKeeperSettings settings;
    private final SessionListener hearer;
    private final NodeJsonParser json;
    private final SplittableRandom chance;
    private final Mailbox mailbox;
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Thread keeper = new Thread(this::keep, "membership");

    /** On the loop: handles that ended since one was connected. */
    private int ended;

    private boolean first = true;
    private String lastTrouble = "";
    private Scheduler.ScheduledTask pending = () -> {};

    /** On the keeper's thread. */
    private Handle handle;

    private boolean over;

    /** What was heard of the path by any handle; guarded by this. */
    private long rootMade;

    private long highest;

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
        this.hearer = hearer;
        this.json = json;
        this.chance = new SplittableRandom(seed);
        this.mailbox = new Mailbox(loop, hearer);
        keeper.setDaemon(true);
    }

    /** Begins to connect. */
    public void start() {
        keeper.start();
        tasks.add(this::open);
    }

    /** Tells all that has been heard, before this returns. */
    public void tellNow() {
        mailbox.tellNow();
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
        pending.cancel();
        if (wait == 0) {
            refresh();
        } else {
            pending = loop.after(wait, this::refresh);
        }
    }

    /** Ends; the session is closed if a server can still be told. */
    @Override
    public void close() {
        tasks.add(
                () -> {
                    over = true;
                    drop();
                });
    }

    private void keep() {
        int looks = 0;
        while (!over) {
            try {
                Runnable task = tasks.poll(1, TimeUnit.SECONDS);
                if (task != null) {
                    task.run();
                } else if (handle != null) {
                    handle.look(++looks % PROBE_LOOKS == 0);
                    if (looks % LOG_LOOKS == 0) {
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
        if (over || handle != null) {
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
            ended(next);
        }
    }

    /** On the keeper's thread: a handle is of no use any more; another one follows. */
    private void ended(Handle which) {
        if (handle != which || over) {
            return;
        }
        drop();
        loop.execute(
                () -> {
                    long wait = Math.min(MOST_BACKOFF, BACKOFF << Math.min(ended, 10));
                    ended++;
                    loop.after(wait / 2 + chance.nextLong(wait), () -> tasks.add(this::open));
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
                subtree.event(event);
                return;
            }
            switch (event.getState()) {
                case SyncConnected -> connected(SessionState.CONNECTED);
                case ConnectedReadOnly -> connected(SessionState.READ_ONLY);
                case Disconnected -> {
                    connected = false;
                    subtree.lost();
                    mailbox.session(SessionState.SUSPENDED);
                }
                case Expired -> {
                    mailbox.session(SessionState.EXPIRED);
                    end();
                }
                case AuthFailed -> {
                    mailbox.doubt(StalenessCause.ACCESS_DENIED);
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
                        ended = 0;
                        readAfter(first ? 0 : chance.nextLong(SPREAD));
                        first = false;
                    });
        }

        private void end() {
            connected = false;
            tasks.add(() -> ended(this));
        }

        /** On the keeper's thread. */
        void read() {
            if (connected && !closed) {
                subtree.begin(readOnly);
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
            long now = subtree.answered();
            silent = subtree.waits() && now == answered ? silent + 1 : 0;
            answered = now;
            if (silent >= SILENT_LOOKS) {
                loop.execute(() -> loop.log().warning(MUTE));
                mailbox.session(SessionState.SUSPENDED);
                connected = false;
                ended(this);
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
            ended(this);
        }

        void close() {
            closed = true;
            if (subtree != null) {
                subtree.close();
                ZooKeeperClientFactory.close(client);
            }
        }

        @Override
        public void root(long czxid, long latest, boolean accepted) {
            boolean wiped;
            synchronized (ZooKeeperDiscovery.this) {
                wiped = rootMade != 0 && czxid != rootMade && latest < highest;
                if (wiped) {
                    highest = latest;
                }
                rootMade = czxid;
            }
            if (wiped) {
                mailbox.doubt(StalenessCause.WIPED);
            }
            if (accepted) {
                mailbox.accept();
            }
        }

        private void heard(long zxid) {
            synchronized (ZooKeeperDiscovery.this) {
                highest = Math.max(highest, zxid);
            }
        }

        @Override
        public void whole(long told, long zxid, Map<String, NodeRead> nodes) {
            heard(zxid);
            mailbox.snapshot(
                    told,
                    zxid,
                    nodes,
                    () -> {
                        lastTrouble = "";
                        if (hearer.doubt() == StalenessCause.OLDER
                                || hearer.doubt() == StalenessCause.WIPED) {
                            readAfter(AGAIN_OLDER + chance.nextLong(AGAIN_OLDER));
                        }
                    });
        }

        @Override
        public void changed(long zxid, String name) {
            heard(zxid);
            mailbox.changed(now(), zxid, name);
        }

        @Override
        public void read(String name, NodeRead read) {
            mailbox.read(name, read);
        }

        @Override
        public void gone(long zxid, String name) {
            heard(zxid);
            mailbox.gone(now(), zxid, name);
        }

        @Override
        public void doubt(StalenessCause why) {
            mailbox.doubt(why);
            again(why == StalenessCause.TOO_LARGE ? AGAIN_TOO_LARGE : AGAIN);
        }

        @Override
        public void trouble(Code code) {
            loop.execute(
                    () -> {
                        String trouble = "the coordination service answers " + code;
                        if (!trouble.equals(lastTrouble)) {
                            lastTrouble = trouble;
                            loop.log().warning(trouble);
                        }
                    });
            again(AGAIN);
        }

        private void again(long wait) {
            loop.execute(() -> readAfter(wait + chance.nextLong(wait / 4)));
        }

        @Override
        public long now() {
            return loop.nanoTime();
        }
    }
}
