package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The connection of one process to the {@link Ensemble}, with the behaviour of a ZooKeeper client:
 * a persistent watch on all nodes whose events carry no data, and a snapshot after each connect.
 * Events between two connections are lost. Everything written to the client arrives in order, also
 * ahead of the notice that the connection is lost, and waits until the process's event loop runs
 * it.
 */
public final class EnsembleClient {
    /** The process that uses the client. */
    public interface ProcessContext {
        /** Runs a task on the process's event loop. */
        void execute(Runnable task);

        /** Returns the time on that loop's clock; called within its tasks. */
        long now();

        /** Receives the events; called within tasks of the loop. */
        NodeDiscovery membership();
    }

    /** A callback that has arrived, and when. */
    private record Delivery(long at, Runnable task) {}

    /** A snapshot that is being read. */
    private static final class SnapshotRead {
        private final Map<String, NodeRead> nodes = new LinkedHashMap<>();
        private final Set<String> missing = new LinkedHashSet<>();
        private boolean listed;
        private long asOf;
        private long namesZxid;
        private long zxid;
    }

    private static final int NOTE_CATEGORY = 115;
    private static final long MAX_LATENCY = 3 * Site.MS;
    private static final long MAX_REPLICATION_DELAY = 5 * Site.MS;
    private static final long MAX_RECONNECT_DELAY = 400 * Site.MS;
    private static final long SNAPSHOT_DELAY_RANGE = 300 * Site.MS;
    private static final long SNAPSHOT_RETRY_RANGE = 2 * Site.SECOND;
    private static final int BATCH = 4;

    private final Day day;
    private final Ensemble ensemble;
    private final String sidecar;
    private final ProcessContext process;
    private final SeededRandom chance;
    private final CoordinationUpdates updates;
    private final Deque<Delivery> inbox = new ArrayDeque<>();
    private long lastArrival;

    /** How long the delivery that is being processed has waited for the loop. */
    private long waited;

    private boolean closed;
    private boolean connected;
    private boolean newSession = true;
    private boolean watching;
    private boolean readOnly;

    /** Counts connections; timers that belong to an earlier one do nothing. */
    private int connection;

    private boolean first = true;

    /** The nodes as known to the server that this client is connected to. */
    private final Map<String, Znode> view = new LinkedHashMap<>();

    private int appliedCount;
    private long appliedZxid;
    private long nextApplyAt;
    private int era;

    /**
     * The last transaction that this client has seen; servers that lag behind it refuse the client.
     */
    private long seenZxid;

    private long rootCzxid;
    private long highestZxid;
    private SnapshotRead snapshot;

    EnsembleClient(
            Day day,
            Ensemble ensemble,
            String sidecar,
            ProcessContext process,
            SeededRandom chance) {
        this.day = day;
        this.ensemble = ensemble;
        this.sidecar = sidecar;
        this.process = process;
        this.chance = chance;
        this.updates = new CoordinationUpdates(day, sidecar);
        this.era = ensemble.era();
    }

    // ---- interface of the process

    /** Starts to connect. */
    public void start() {
        day.after(chance.nextLong(MAX_LATENCY), this::connect);
    }

    /** Processes everything that has arrived. */
    public void catchUp() {
        for (Delivery next = inbox.poll(); next != null; next = inbox.poll()) {
            waited = day.now() - next.at;
            next.task.run();
        }
    }

    /** Runs a task on the loop when the response to a request sent now has arrived. */
    public void confirm(Runnable onResponse) {
        int connectionId = connection;
        day.after(
                latency(),
                () -> {
                    if (isCurrent(connectionId)) {
                        deliver(onResponse);
                    }
                });
    }

    /** Closes the client; nothing is delivered any more. */
    public void close() {
        closed = true;
        connected = false;
        connection++;
        updates.end();
    }

    private boolean isCurrent(int connectionId) {
        return connected && connection == connectionId;
    }

    private long latency() {
        return 1 + chance.nextLong(MAX_LATENCY);
    }

    private void note(long number, Supplier<String> text) {
        day.simulation.note(
                NOTE_CATEGORY, number, connection, () -> "nodes -> " + sidecar + ": " + text.get());
    }

    /** Writes a callback to the connection now; it arrives in order. */
    private void deliver(Runnable task) {
        lastArrival = Math.max(lastArrival + 1, day.now() + latency());
        day.simulation.at(
                lastArrival,
                () -> {
                    if (!closed) {
                        inbox.add(new Delivery(day.now(), task));
                        process.execute(this::catchUp);
                    }
                });
    }

    private NodeDiscovery membership() {
        return process.membership();
    }

    // ---- connection

    private void connect() {
        if (closed || connected) {
            return;
        }
        if (ensemble.isDown() && !ensemble.isReadOnly()) {
            day.after(1 + chance.nextLong(MAX_RECONNECT_DELAY), this::connect);
            return;
        }
        connected = true;
        int connectionId = ++connection;
        note(seenZxid, () -> "connected" + (newSession ? ", a new session" : ""));
        readOnly = ensemble.isReadOnly();
        if (newSession) {
            seenZxid = 0;
            if (!first) {
                deliver(() -> membership().onSessionState(process.now(), SessionState.EXPIRED));
            }
        }
        resetView();
        SessionState session = readOnly ? SessionState.READ_ONLY : SessionState.CONNECTED;
        deliver(() -> membership().onSessionState(process.now(), session));
        watching = !newSession;
        newSession = false;
        day.after(
                first ? 0 : chance.nextLong(SNAPSHOT_DELAY_RANGE),
                () -> readSnapshot(connectionId));
        first = false;
        committed();
    }

    /** The server may lag, but never behind the last transaction that this client has seen. */
    private void resetView() {
        if (era != ensemble.era()) {
            era = ensemble.era();
            updates.lost();
        }
        view.clear();
        appliedCount = 0;
        appliedZxid = 0;
        nextApplyAt = 0;
        long asOf = day.now() - ensemble.lag();
        List<Ensemble.Change> transactions = ensemble.transactions();
        while (appliedCount < transactions.size()
                && (transactions.get(appliedCount).at() <= asOf
                        || transactions.get(appliedCount).zxid() <= seenZxid)) {
            apply(transactions.get(appliedCount));
        }
    }

    private void apply(Ensemble.Change change) {
        appliedCount++;
        appliedZxid = change.zxid();
        if (change.after() == null) {
            view.remove(change.name());
        } else {
            view.put(change.name(), change.after());
        }
    }

    /**
     * The ensemble has a new transaction or this client has connected: the server applies the next.
     */
    void committed() {
        if (!connected || readOnly) {
            return;
        }
        int connectionId = connection;
        Ensemble.Change next =
                appliedCount < ensemble.transactions().size()
                        ? ensemble.transactions().get(appliedCount)
                        : null;
        if (next == null || nextApplyAt > day.now()) {
            return;
        }
        nextApplyAt =
                Math.max(
                        day.now() + 1,
                        next.at() + ensemble.lag() + chance.nextLong(MAX_REPLICATION_DELAY));
        day.simulation.at(
                nextApplyAt,
                () -> {
                    if (isCurrent(connectionId)) {
                        nextApplyAt = 0;
                        apply(next);
                        deliverEvent(next);
                        committed();
                    }
                });
    }

    /**
     * The connection is lost; the client reconnects after the duration.
     *
     * @param expires whether the session has expired too
     */
    void lose(boolean expires, long duration) {
        if (closed) {
            return;
        }
        newSession |= expires;
        if (connected) {
            connected = false;
            connection++;
            watching = false;
            snapshot = null;
            deliver(() -> membership().onSessionState(process.now(), SessionState.SUSPENDED));
            day.after(
                    day.bounded(duration) + 1 + chance.nextLong(MAX_RECONNECT_DELAY),
                    this::connect);
        }
    }

    // ---- deliveries

    private void deliverEvent(Ensemble.Change change) {
        if (!watching) {
            return;
        }
        seenZxid = appliedZxid;
        highestZxid = Math.max(highestZxid, change.zxid());
        String name = change.name();
        long zxid = change.zxid();
        note(zxid, () -> (change.after() == null ? "gone " : "changed ") + name + ' ' + zxid);
        if (change.after() == null) {
            updates.gone(zxid, name);
            if (snapshot != null) {
                snapshot.nodes.remove(name);
                snapshot.missing.remove(name);
            }
            deliver(() -> membership().onNodeDeleted(process.now(), receivedAt(), zxid, name));
            completeSnapshot();
        } else {
            updates.changed(zxid, name);
            deliver(() -> membership().onNodeChanged(process.now(), receivedAt(), zxid, name));
            if (snapshot != null && snapshot.listed && !snapshot.nodes.containsKey(name)) {
                snapshot.missing.add(name);
            }
            readData(List.of(name), true);
        }
    }

    /** When the current delivery arrived, on the loop's clock. */
    private long receivedAt() {
        return process.now() - waited;
    }

    private void readData(List<String> names, boolean afterEvent) {
        int connectionId = connection;
        day.after(
                2 * latency() + ensemble.slowness(),
                () -> {
                    if (isCurrent(connectionId)) {
                        names.forEach(name -> deliverData(name, afterEvent));
                        completeSnapshot();
                    }
                });
    }

    private void deliverData(String name, boolean afterEvent) {
        Znode node = view.get(name);
        if (snapshot != null && snapshot.listed) {
            snapshot.missing.remove(name);
            if (node != null) {
                snapshot.nodes.put(name, node.read());
                snapshot.zxid = Math.max(snapshot.zxid, node.mzxid());
            }
        }
        if (node != null && afterEvent) {
            seenZxid = appliedZxid;
            NodeRead read = node.read();
            note(read.mzxid(), () -> "data of " + name + ' ' + read.mzxid() + ' ' + read.data());
            updates.read(node, membership().staleness() == StalenessCause.NONE);
            deliver(() -> membership().onNodeRead(process.now(), read.mzxid(), name, read));
        }
    }

    /**
     * Reads a snapshot: first whether the parent path exists, then the names, then the data in
     * batches.
     */
    private void readSnapshot(int connectionId) {
        if (!isCurrent(connectionId)) {
            return;
        }
        SnapshotRead started = new SnapshotRead();
        snapshot = started;
        day.after(
                latency() + ensemble.slowness(),
                () -> {
                    if (isCurrent(connectionId) && snapshot == started) {
                        watching = true;
                        if (ensemble.root() == 0 && era == ensemble.era()) {
                            deliver(
                                    () ->
                                            membership()
                                                    .markStale(
                                                            process.now(),
                                                            StalenessCause.ROOT_MISSING));
                            retrySnapshot(connectionId);
                        } else {
                            checkRoot(ensemble.root());
                            readNames(connectionId, started);
                        }
                    }
                });
    }

    /** Detects, like the real client, that the ensemble has lost its data and started over. */
    private void checkRoot(long czxid) {
        if (rootCzxid != 0 && rootCzxid != czxid && appliedZxid < highestZxid) {
            highestZxid = appliedZxid;
            deliver(() -> membership().markStale(process.now(), StalenessCause.WIPED));
        }
        rootCzxid = czxid;
    }

    private void retrySnapshot(int connectionId) {
        day.after(
                SNAPSHOT_RETRY_RANGE / 4 + chance.nextLong(SNAPSHOT_RETRY_RANGE),
                () -> readSnapshot(connectionId));
    }

    private void readNames(int connectionId, SnapshotRead started) {
        day.after(
                latency() + ensemble.slowness(),
                () -> {
                    if (!isCurrent(connectionId) || snapshot != started) {
                        return;
                    }
                    started.listed = true;
                    started.zxid = appliedZxid;
                    started.namesZxid = appliedZxid;
                    started.missing.addAll(view.keySet());
                    note(appliedZxid, () -> "names " + appliedZxid + ' ' + view.keySet());
                    deliver(() -> started.asOf = receivedAt());
                    List<String> names = new ArrayList<>(view.keySet());
                    for (int i = 0; i < names.size(); i += BATCH) {
                        readData(
                                List.copyOf(names.subList(i, Math.min(names.size(), i + BATCH))),
                                false);
                    }
                    completeSnapshot();
                });
    }

    private void completeSnapshot() {
        SnapshotRead complete = snapshot;
        if (complete == null || !complete.listed || !complete.missing.isEmpty()) {
            return;
        }
        snapshot = null;
        int connectionId = connection;
        int readEra = era;
        long zxid = Math.max(complete.zxid, watching ? appliedZxid : 0);
        seenZxid = appliedZxid;
        highestZxid = Math.max(highestZxid, zxid);
        note(zxid, () -> "whole " + zxid + ' ' + complete.nodes.keySet());
        if (!readOnly) {
            updates.snapshot(zxid, complete.namesZxid, complete.nodes, view);
        }
        deliver(
                () -> {
                    membership().onSnapshot(process.now(), complete.asOf, zxid, complete.nodes);
                    StalenessCause cause = membership().staleness();
                    if (cause == StalenessCause.NONE && readEra == era) {
                        updates.accepted(view);
                    } else if (cause == StalenessCause.OLDER || cause == StalenessCause.WIPED) {
                        retrySnapshot(connectionId);
                    }
                });
    }
}
