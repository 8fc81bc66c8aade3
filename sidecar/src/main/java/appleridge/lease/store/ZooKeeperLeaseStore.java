package appleridge.lease.store;

import appleridge.discovery.zookeeper.ZooKeeperClientFactory;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.VersionedLease;
import appleridge.transport.SystemTime;
import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException.Code;
import org.apache.zookeeper.WatchedEvent;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.data.Stat;

/**
 * A lease in ZooKeeper: {@code ROOT/NAME/record}, a persistent node that is written by its version,
 * and {@code ROOT/NAME/line}, under which each who waits has an ephemeral node. Nothing but the
 * line rests on a session. All is done on a thread of its own, and told on the caller's executor.
 */
public final class ZooKeeperLeaseStore implements LeaseStore {
    private static final long LOOK_MILLIS = 250;

    /** What can't be done is tried again, and what can't be answered is said, after so long. */
    private static final long AGAIN = TimeUnit.MILLISECONDS.toNanos(500);

    /** A server that has not answered a question for so long gives way to another. */
    private static final long SILENT = TimeUnit.SECONDS.toNanos(4);

    private static final int CREATES = -1;

    private record Later(long due, Runnable what) {}

    private final ZooKeeperSettings settings;
    private final String folder;
    private final String record;
    private final String holder;
    private final String nonce;
    private final Events events;
    private final Executor executor;
    private final Consumer<String> log;
    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final Thread keeper = new Thread(this::keep, "lease");

    /** All else is the keeper's. */
    private final PriorityQueue<Later> later =
            new PriorityQueue<>(Comparator.comparingLong(Later::due));

    /** Questions that have no answer yet, and when each was asked. */
    private final Map<Long, Long> open = new HashMap<>();

    private Handle handle;
    private boolean inLine;
    private boolean over;

    /** The transaction that made the record that is known; 0 if none was. */
    private long made;

    private long sinceMillis;
    private long sinceToken = -1;
    private String told = "";
    private long apartSince = now();

    /**
     * With the settings' root as the path of all leases.
     *
     * @param name the lease's, which becomes a node's
     * @param holder who asks, for operators' eyes
     * @param nonce that no other process has, of characters that a node's name may hold
     * @param events what is told, on the executor
     */
    public ZooKeeperLeaseStore(
            ZooKeeperSettings settings,
            String name,
            String holder,
            String nonce,
            Events events,
            Executor executor,
            Consumer<String> log) {
        this.settings = settings;
        this.folder = (settings.root().equals("/") ? "" : settings.root()) + "/" + name;
        this.record = folder + "/record";
        this.holder = holder;
        this.nonce = nonce;
        this.events = events;
        this.executor = executor;
        this.log = log;
        keeper.setDaemon(true);
    }

    @Override
    public void start() {
        tasks.add(this::open);
        keeper.start();
    }

    @Override
    public void read(long question) {
        tasks.add(
                () -> {
                    if (asks(question)) {
                        handle.read(question);
                    }
                });
    }

    @Override
    public void write(long question, long expectedVersion, VersionedLease next) {
        tasks.add(
                () -> {
                    if (asks(question)) {
                        handle.write(question, (int) expectedVersion, bytes(next));
                    }
                });
    }

    @Override
    public void setQueued(boolean in) {
        tasks.add(
                () -> {
                    inLine = in;
                    if (handle != null && handle.ready) {
                        // Danger: who leaves and joins at once would not be told again that it is
                        // its turn.
                        handle.line.onDisconnected();
                        handle.line.reconcile();
                    }
                });
    }

    /** Ends the session if a server can be told, and waits for that for a moment. */
    @Override
    public void close() {
        tasks.add(
                () -> {
                    over = true;
                    drop();
                });
        try {
            keeper.join(TimeUnit.SECONDS.toMillis(2));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void keep() {
        while (!over) {
            try {
                Runnable task = tasks.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
                if (task != null) {
                    task.run();
                }
                long now = now();
                while (!over && !later.isEmpty() && later.peek().due <= now) {
                    later.poll().what.run();
                }
                look(now);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                say("the coordination service's client failed: " + e);
            }
        }
    }

    private static long now() {
        return SystemTime.NANOS.getAsLong();
    }

    private void after(Runnable what) {
        later.add(new Later(now() + AGAIN, what));
    }

    private void open() {
        if (over) {
            return;
        }
        Handle next = new Handle();
        handle = next;
        try {
            next.client = ZooKeeperClientFactory.open(settings, next);
            next.line =
                    new WaiterQueue(next.client, settings, folder + "/line", holder, nonce, next);
        } catch (IOException | RuntimeException e) {
            say("the coordination service's client can't start: " + e);
            handle = null;
            after(this::open);
        }
    }

    /**
     * Danger: a server may answer pings and nothing else, which the client takes for a good
     * connection; and a client that comes back to an ensemble that began anew is turned away
     * without end.
     */
    private void look(long now) {
        if (handle == null) {
            return;
        }
        if (handle.ready) {
            apartSince = now;
        } else if (now - apartSince
                > TimeUnit.MILLISECONDS.toNanos(2L * settings.sessionMillis())) {
            apartSince = now;
            replace(handle);
        }
        if (handle != null
                && handle.ready
                && open.values().stream().anyMatch(at -> now - at > SILENT)) {
            say("a coordination server answers nothing; another one is asked");
            replace(handle);
        }
    }

    private void replace(Handle which) {
        if (handle == which && !over) {
            drop();
            after(this::open);
        }
    }

    private void drop() {
        Handle last = handle;
        handle = null;
        if (last != null) {
            last.closed = true;
            last.apart();
            if (last.client != null) {
                ZooKeeperClientFactory.close(last.client);
            }
        }
        for (Long each : Map.copyOf(open).keySet()) {
            unknown(each);
        }
    }

    /** Whether there is somebody to ask; if not, the question is answered after a while. */
    private boolean asks(long question) {
        open.put(question, now());
        if (handle != null && handle.ready) {
            return true;
        }
        after(() -> unknown(question));
        return false;
    }

    private void answer(long question, Runnable told) {
        if (open.remove(question) != null) {
            executor.execute(told);
        }
    }

    private void unknown(long question) {
        answer(question, () -> events.onOutcomeUnknown(question));
    }

    /**
     * What was not answered as asked; at once only if the connection is down, or it would go in
     * circles.
     */
    private void failed(long question, Code code) {
        if (code == Code.CONNECTIONLOSS
                || code == Code.SESSIONEXPIRED
                || code == Code.SESSIONMOVED) {
            unknown(question);
        } else {
            say("the coordination service answers " + code + " for " + folder);
            after(() -> unknown(question));
        }
    }

    private byte[] bytes(VersionedLease next) {
        if (next.token() != sinceToken) {
            sinceToken = next.token();
            sinceMillis = SystemTime.UNIX_MILLIS.getAsLong();
        }
        return LeaseRecord.encode(next, sinceMillis);
    }

    private void say(String line) {
        if (!line.equals(told)) {
            told = line;
            log.accept(line);
        }
    }

    /** One handle: a session, for as long as the ensemble keeps it. */
    private final class Handle implements Watcher, WaiterQueue.Host {
        private ZooKeeper client;
        private WaiterQueue line;
        private boolean ready;
        private boolean closed;

        /**
         * Writes that have no answer: they tell of the change that they make, or that there was
         * another.
         */
        private int writing;

        @Override
        public void process(WatchedEvent event) {
            tasks.add(
                    () -> {
                        if (!closed) {
                            heard(event);
                        }
                    });
        }

        private void heard(WatchedEvent event) {
            if (event.getType() != Event.EventType.None) {
                if (!record.equals(event.getPath())) {
                    line.reconcile();
                } else if (writing == 0) {
                    executor.execute(events::onRecordChanged);
                }
                return;
            }
            switch (event.getState()) {
                case SyncConnected -> makeFolder(folder);
                case Disconnected -> apart();
                case Expired -> {
                    say("the session is over; another one begins");
                    drop();
                    // At once, for a lease is short; what comes of that waits.
                    open();
                }
                case AuthFailed -> {
                    say("the coordination service does not take who this is");
                    replace(this);
                }
                default -> {}
            }
        }

        private void apart() {
            if (ready) {
                ready = false;
                line.onDisconnected();
                executor.execute(events::onDisconnected);
            }
        }

        /**
         * The lease's own nodes are made where they are missing. Danger: to make the path of all
         * leases too would hide that the service has lost what it knew.
         */
        private void makeFolder(String path) {
            client.create(
                    path,
                    new byte[0],
                    ZooKeeperClientFactory.acl(settings),
                    CreateMode.PERSISTENT,
                    (code, asked, context, name) ->
                            execute(
                                    () -> {
                                        Code answer = Code.get(code);
                                        if (answer == Code.OK || answer == Code.NODEEXISTS) {
                                            if (path.equals(folder)) {
                                                makeFolder(folder + "/line");
                                            } else {
                                                connected();
                                            }
                                        } else if (answer != Code.CONNECTIONLOSS) {
                                            say(
                                                    answer == Code.NONODE
                                                            ? "the path of the leases is not there:"
                                                                    + " "
                                                                    + settings.root()
                                                            : "the coordination service answers "
                                                                    + answer
                                                                    + " for "
                                                                    + path);
                                            after(() -> execute(() -> makeFolder(path)));
                                        }
                                    }),
                    null);
        }

        private void connected() {
            if (!ready && client.getState() == ZooKeeper.States.CONNECTED) {
                ready = true;
                told = "";
                executor.execute(events::onConnected);
                line.reconcile();
            }
        }

        @Override
        public void execute(Runnable what) {
            tasks.add(
                    () -> {
                        if (!closed) {
                            what.run();
                        }
                    });
        }

        /** Danger: a member that lags answers with what was; it has to catch up first. */
        void read(long question) {
            client.sync(
                    record,
                    (code, path, context) -> {
                        if (code != Code.OK.intValue() && code != Code.NONODE.intValue()) {
                            execute(() -> failed(question, Code.get(code)));
                        }
                    },
                    null);
            client.getData(
                    record,
                    true,
                    (code, path, context, data, stat) ->
                            execute(() -> read(question, Code.get(code), data, stat)),
                    null);
        }

        private void read(long question, Code code, byte[] data, Stat stat) {
            if (code == Code.NONODE) {
                made = 0;
                client.exists(
                        record,
                        true,
                        (exists, path, context, found) -> {
                            if (exists == Code.OK.intValue()) {
                                executor.execute(events::onRecordChanged);
                            }
                        },
                        null);
                answer(question, () -> events.onRead(question, null));
            } else if (code == Code.OK) {
                try {
                    VersionedLease entry = LeaseRecord.decode(data, stat.getVersion());
                    made = stat.getCzxid();
                    answer(question, () -> events.onRead(question, entry));
                } catch (IllegalArgumentException e) {
                    say(record + ": " + e.getMessage());
                    after(() -> unknown(question));
                }
            } else {
                failed(question, code);
            }
        }

        void write(long question, int version, byte[] data) {
            writing++;
            if (version == CREATES) {
                client.create(
                        record,
                        data,
                        ZooKeeperClientFactory.acl(settings),
                        CreateMode.PERSISTENT,
                        (code, path, context, name, stat) ->
                                execute(
                                        () -> {
                                            writing--;
                                            if (code == Code.OK.intValue()) {
                                                made = stat.getCzxid();
                                            }
                                            written(question, Code.get(code), 0);
                                        }),
                        null);
            } else {
                long before = made;
                client.setData(
                        record,
                        data,
                        version,
                        (code, path, context, stat) ->
                                execute(
                                        () -> {
                                            writing--;
                                            if (code == Code.OK.intValue()
                                                    && before != 0
                                                    && stat.getCzxid() != before) {
                                                open.remove(question);
                                                again();
                                            } else {
                                                written(
                                                        question,
                                                        Code.get(code),
                                                        code == Code.OK.intValue()
                                                                ? stat.getVersion()
                                                                : 0);
                                            }
                                        }),
                        null);
            }
        }

        private void written(long question, Code code, int version) {
            switch (code) {
                case OK -> answer(question, () -> events.onWritten(question, version));
                case BADVERSION, NODEEXISTS -> answer(question, () -> events.onConflict(question));
                case NONODE -> {
                    say(record + " is gone");
                    answer(question, () -> events.onConflict(question));
                }
                default -> failed(question, code);
            }
        }

        /**
         * Danger: a node that is made anew counts its versions from 0 again, so that a write which
         * expects one of before may come upon another holder's. Neither of the two may go on by it.
         */
        private void again() {
            String why = record + " was deleted and made anew while it was held";
            say(why);
            executor.execute(() -> events.onRecordRecreated(why));
        }

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public boolean wantsPlace() {
            return ready && inLine;
        }

        @Override
        public void onHeadOfQueue() {
            executor.execute(events::onHeadOfQueue);
        }

        /** All of it is looked at, and made, with a new handle. */
        @Override
        public void onQueueMissing() {
            say(folder + "/line is gone");
            after(() -> replace(this));
        }

        @Override
        public void onFailure(String what) {
            say(what);
            after(() -> execute(line::reconcile));
        }
    }
}
