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
 * One process's connection with the {@link Ensemble}, as a client keeps it: a watch over all nodes,
 * whose events carry no data; whole readings after each connect; what was missed in between is
 * lost. What is written to it arrives in order, also before the news that the connection is gone,
 * and waits for the process's loop.
 */
public final class EnsembleClient {
    /** The process that hears. */
    public interface ProcessContext {
        /** Runs it as a task of the process's loop. */
        void execute(Runnable what);

        /** Now, on that loop's clock; asked in its tasks. */
        long now();

        /** Who is told, in its tasks. */
        NodeDiscovery membership();
    }

    /** What has arrived, and when. */
    private record Mail(long at, Runnable what) {}

    /** A reading of the whole. */
    private static final class Reading {
        private final Map<String, NodeRead> nodes = new LinkedHashMap<>();
        private final Set<String> missing = new LinkedHashSet<>();
        private boolean listed;
        private long asOf;
        private long namesZxid;
        private long zxid;
    }

    private static final int NOTED = 115;
    private static final long LONGEST_WAY = 3 * Site.MS;
    private static final long LONGEST_DELAY = 5 * Site.MS;
    private static final long LONGEST_AGAIN = 400 * Site.MS;
    private static final long SPREAD = 300 * Site.MS;
    private static final long AGAIN_OLDER = 2 * Site.SECOND;
    private static final int BATCH = 4;

    private final Day day;
    private final Ensemble ensemble;
    private final String sidecar;
    private final ProcessContext process;
    private final SeededRandom chance;
    private final CoordinationUpdates word;
    private final Deque<Mail> mail = new ArrayDeque<>();
    private long lastArrival;

    /** How long the mail that is being read has waited for the loop. */
    private long waited;

    private boolean closed;
    private boolean connected;
    private boolean newSession = true;
    private boolean watching;
    private boolean readOnly;

    /** Counts connections; what belongs to an earlier one is over. */
    private int connection;

    private boolean first = true;

    /** The server that it is connected to: what that has come to. */
    private final Map<String, Znode> view = new LinkedHashMap<>();

    private int applied;
    private long viewZxid;
    private long lastApply;
    private int era;

    /** What this handle has seen, which servers behind it refuse. */
    private long seen;

    private long root;
    private long highest;
    private Reading reading;

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
        this.word = new CoordinationUpdates(day, sidecar);
        this.era = ensemble.era();
    }

    // ---- as the process has it

    /** Begins to connect. */
    public void start() {
        day.after(chance.nextLong(LONGEST_WAY), this::connect);
    }

    /** What has arrived is told now. */
    public void catchUp() {
        for (Mail next = mail.poll(); next != null; next = mail.poll()) {
            waited = day.now() - next.at;
            next.what.run();
        }
    }

    /** Runs it on the loop when a question that is asked now has been answered. */
    public void confirm(Runnable heard) {
        int mine = connection;
        day.after(
                way(),
                () -> {
                    if (isOn(mine)) {
                        deliver(heard);
                    }
                });
    }

    /** Ends. */
    public void close() {
        closed = true;
        connected = false;
        connection++;
        word.end();
    }

    private boolean isOn(int which) {
        return connected && connection == which;
    }

    private long way() {
        return 1 + chance.nextLong(LONGEST_WAY);
    }

    private void note(long number, Supplier<String> text) {
        day.simulation.note(
                NOTED, number, connection, () -> "nodes -> " + sidecar + ": " + text.get());
    }

    /** Written now; arrives in order. */
    private void deliver(Runnable what) {
        lastArrival = Math.max(lastArrival + 1, day.now() + way());
        day.simulation.at(
                lastArrival,
                () -> {
                    if (!closed) {
                        mail.add(new Mail(day.now(), what));
                        process.execute(this::catchUp);
                    }
                });
    }

    private NodeDiscovery membership() {
        return process.membership();
    }

    // ---- its connection

    private void connect() {
        if (closed || connected) {
            return;
        }
        if (ensemble.isDown() && !ensemble.isReadOnly()) {
            day.after(1 + chance.nextLong(LONGEST_AGAIN), this::connect);
            return;
        }
        connected = true;
        int mine = ++connection;
        note(seen, () -> "connected" + (newSession ? ", a new session" : ""));
        readOnly = ensemble.isReadOnly();
        if (newSession) {
            seen = 0;
            if (!first) {
                deliver(() -> membership().onSessionState(process.now(), SessionState.EXPIRED));
            }
        }
        begin();
        SessionState session = readOnly ? SessionState.READ_ONLY : SessionState.CONNECTED;
        deliver(() -> membership().onSessionState(process.now(), session));
        watching = !newSession;
        newSession = false;
        day.after(first ? 0 : chance.nextLong(SPREAD), () -> read(mine));
        first = false;
        committed();
    }

    /** The server that answers may be behind, but never behind what this handle has seen. */
    private void begin() {
        if (era != ensemble.era()) {
            era = ensemble.era();
            word.lost();
        }
        view.clear();
        applied = 0;
        viewZxid = 0;
        lastApply = 0;
        long asOf = day.now() - ensemble.lag();
        List<Ensemble.Change> past = ensemble.past();
        while (applied < past.size()
                && (past.get(applied).at() <= asOf || past.get(applied).zxid() <= seen)) {
            take(past.get(applied));
        }
    }

    private void take(Ensemble.Change change) {
        applied++;
        viewZxid = change.zxid();
        if (change.after() == null) {
            view.remove(change.name());
        } else {
            view.put(change.name(), change.after());
        }
    }

    /** The ensemble has taken a transaction, or this has connected: its server follows. */
    void committed() {
        if (!connected || readOnly) {
            return;
        }
        int mine = connection;
        Ensemble.Change next =
                applied < ensemble.past().size() ? ensemble.past().get(applied) : null;
        if (next == null || lastApply > day.now()) {
            return;
        }
        lastApply =
                Math.max(
                        day.now() + 1, next.at() + ensemble.lag() + chance.nextLong(LONGEST_DELAY));
        day.simulation.at(
                lastApply,
                () -> {
                    if (isOn(mine)) {
                        lastApply = 0;
                        take(next);
                        event(next);
                        committed();
                    }
                });
    }

    /**
     * The connection is lost; it connects again after so long.
     *
     * @param expires its session has ended too
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
            reading = null;
            deliver(() -> membership().onSessionState(process.now(), SessionState.SUSPENDED));
            day.after(day.bounded(duration) + 1 + chance.nextLong(LONGEST_AGAIN), this::connect);
        }
    }

    // ---- what is told

    private void event(Ensemble.Change change) {
        if (!watching) {
            return;
        }
        seen = viewZxid;
        highest = Math.max(highest, change.zxid());
        String name = change.name();
        long zxid = change.zxid();
        note(zxid, () -> (change.after() == null ? "gone " : "changed ") + name + ' ' + zxid);
        if (change.after() == null) {
            word.gone(zxid, name);
            if (reading != null) {
                reading.nodes.remove(name);
                reading.missing.remove(name);
            }
            deliver(() -> membership().onNodeDeleted(process.now(), toldAt(), zxid, name));
            complete();
        } else {
            word.changed(zxid, name);
            deliver(() -> membership().onNodeChanged(process.now(), toldAt(), zxid, name));
            if (reading != null && reading.listed && !reading.nodes.containsKey(name)) {
                reading.missing.add(name);
            }
            ask(List.of(name), true);
        }
    }

    /** When it was heard, on the loop's clock. */
    private long toldAt() {
        return process.now() - waited;
    }

    private void ask(List<String> names, boolean ofEvent) {
        int mine = connection;
        day.after(
                2 * way() + ensemble.slowness(),
                () -> {
                    if (isOn(mine)) {
                        names.forEach(name -> answer(name, ofEvent));
                        complete();
                    }
                });
    }

    private void answer(String name, boolean ofEvent) {
        Znode node = view.get(name);
        if (reading != null && reading.listed) {
            reading.missing.remove(name);
            if (node != null) {
                reading.nodes.put(name, node.read());
                reading.zxid = Math.max(reading.zxid, node.mzxid());
            }
        }
        if (node != null && ofEvent) {
            seen = viewZxid;
            NodeRead read = node.read();
            note(read.mzxid(), () -> "data of " + name + ' ' + read.mzxid() + ' ' + read.data());
            word.read(node, membership().staleness() == StalenessCause.NONE);
            deliver(() -> membership().onNodeRead(process.now(), read.mzxid(), name, read));
        }
    }

    /**
     * Reads all: first whether the path is there, then the names, then the data of some at a time.
     */
    private void read(int mine) {
        if (!isOn(mine)) {
            return;
        }
        Reading now = new Reading();
        reading = now;
        day.after(
                way() + ensemble.slowness(),
                () -> {
                    if (isOn(mine) && reading == now) {
                        watching = true;
                        if (ensemble.root() == 0 && era == ensemble.era()) {
                            deliver(
                                    () ->
                                            membership()
                                                    .markStale(
                                                            process.now(),
                                                            StalenessCause.ROOT_MISSING));
                            again(mine);
                        } else {
                            rootIs(ensemble.root());
                            names(mine, now);
                        }
                    }
                });
    }

    /** As a client tells that the ensemble has begun anew. */
    private void rootIs(long made) {
        if (root != 0 && root != made && viewZxid < highest) {
            highest = viewZxid;
            deliver(() -> membership().markStale(process.now(), StalenessCause.WIPED));
        }
        root = made;
    }

    private void again(int mine) {
        day.after(AGAIN_OLDER / 4 + chance.nextLong(AGAIN_OLDER), () -> read(mine));
    }

    private void names(int mine, Reading now) {
        day.after(
                way() + ensemble.slowness(),
                () -> {
                    if (!isOn(mine) || reading != now) {
                        return;
                    }
                    now.listed = true;
                    now.zxid = viewZxid;
                    now.namesZxid = viewZxid;
                    now.missing.addAll(view.keySet());
                    note(viewZxid, () -> "names " + viewZxid + ' ' + view.keySet());
                    deliver(() -> now.asOf = toldAt());
                    List<String> names = new ArrayList<>(view.keySet());
                    for (int i = 0; i < names.size(); i += BATCH) {
                        ask(
                                List.copyOf(names.subList(i, Math.min(names.size(), i + BATCH))),
                                false);
                    }
                    complete();
                });
    }

    private void complete() {
        Reading whole = reading;
        if (whole == null || !whole.listed || !whole.missing.isEmpty()) {
            return;
        }
        reading = null;
        int mine = connection;
        int of = era;
        long zxid = Math.max(whole.zxid, watching ? viewZxid : 0);
        seen = viewZxid;
        highest = Math.max(highest, zxid);
        note(zxid, () -> "whole " + zxid + ' ' + whole.nodes.keySet());
        if (!readOnly) {
            word.snapshot(zxid, whole.namesZxid, whole.nodes, view);
        }
        deliver(
                () -> {
                    membership().onSnapshot(process.now(), whole.asOf, zxid, whole.nodes);
                    StalenessCause doubt = membership().staleness();
                    if (doubt == StalenessCause.NONE && of == era) {
                        word.accepted(view);
                    } else if (doubt == StalenessCause.OLDER || doubt == StalenessCause.WIPED) {
                        again(mine);
                    }
                });
    }
}
