package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The coordination service: its nodes, its log of transactions and the faults of its servers. An
 * {@link EnsembleClient} decides what each sidecar receives of it.
 */
public final class Ensemble {
    /**
     * One transaction.
     *
     * @param after the node as it is afterwards; null if it was deleted
     */
    record Change(long at, long zxid, String name, Znode after) {}

    /** After each wipe the transaction ids start this far below the previous start. */
    private static final long ZXIDS_PER_ERA = 10_000;

    private static final long FIRST_ZXID = 100 * ZXIDS_PER_ERA;
    private static final long MAX_RETRY_DELAY = 500 * Site.MS;

    private final Day day;
    private final SeededRandom chance;
    private final List<Change> transactions = new ArrayList<>();
    private final Map<String, Znode> nodes = new LinkedHashMap<>();
    private final Map<String, EnsembleClient> clients = new LinkedHashMap<>();
    private final Map<String, Integer> processCounts = new LinkedHashMap<>();

    /** The number of wipes so far. */
    private int era;

    private long zxid = FIRST_ZXID;

    /** The transaction that created the parent path of the nodes; 0 while it does not exist. */
    private long rootCzxid = FIRST_ZXID;

    private long downUntil;
    private long readOnlyUntil;
    private long lagUntil;
    private long lagDuration;
    private long slowUntil;
    private long extraDelay;

    Ensemble(Day day) {
        this.day = day;
        this.chance = day.work("ensemble");
    }

    /** Whether the sidecars use the registry too. */
    public boolean isBoth() {
        return day.plan.count(ScenarioParameter.MEMBERSHIP) == 2;
    }

    /** Creates the client of a new process and closes the client of the sidecar's previous one. */
    public EnsembleClient client(String sidecar, EnsembleClient.ProcessContext process) {
        int number = processCounts.merge(sidecar, 1, Integer::sum);
        EnsembleClient client =
                new EnsembleClient(
                        day,
                        this,
                        sidecar,
                        process,
                        day.work("ensemble." + sidecar + "." + number));
        EnsembleClient previous = clients.put(sidecar, client);
        if (previous != null) {
            previous.close();
        }
        return client;
    }

    /** The sidecar's process has ended. */
    void ended(String sidecar) {
        EnsembleClient client = clients.remove(sidecar);
        if (client != null) {
            client.close();
        }
    }

    /** The sidecar is paused: without pings it loses its session after the timeout. */
    void paused(String sidecar, long from, long until) {
        if (until - from > timeout() && clients.containsKey(sidecar)) {
            EnsembleClient client = clients.get(sidecar);
            day.simulation.at(from + timeout(), () -> client.lose(true, until - from - timeout()));
        }
    }

    long timeout() {
        return day.plan.size(ScenarioParameter.SESSION_TIMEOUT);
    }

    // ---- nodes

    /** Creates the node of a server or sets its data. */
    void put(String name, int life, long bornAt, NodeData data) {
        Znode previous = nodes.get(name);
        if (rootCzxid == 0) {
            rootCzxid = ++zxid;
        }
        if (previous != null && previous.life() != life) {
            // The node belongs to a session that is about to expire. It is never taken over.
            remove(name);
            previous = null;
        }
        zxid++;
        long createdMillis =
                day.now() == 0
                        ? Site.EPOCH_MILLIS - 3_000_000
                        : Site.EPOCH_MILLIS + day.now() / Site.MS;
        change(
                name,
                previous == null
                        ? new Znode(name, zxid, zxid, createdMillis, data, life, bornAt)
                        : previous.with(zxid, data));
    }

    void remove(String name) {
        if (nodes.containsKey(name)) {
            zxid++;
            change(name, null);
        }
    }

    private void change(String name, Znode after) {
        if (after == null) {
            nodes.remove(name);
        } else {
            nodes.put(name, after);
        }
        transactions.add(new Change(day.now(), zxid, name, after));
        clients.values().forEach(EnsembleClient::committed);
    }

    /** Returns the node with this name; null if there is none. */
    Znode node(String name) {
        return nodes.get(name);
    }

    /** Runs a task when transactions are accepted: now, or some time after an outage. */
    void whenUp(Runnable task) {
        if (day.now() < downUntil) {
            day.simulation.at(downUntil + chance.nextLong(MAX_RETRY_DELAY), () -> whenUp(task));
        } else {
            task.run();
        }
    }

    // ---- state of the servers

    int era() {
        return era;
    }

    long root() {
        return rootCzxid;
    }

    List<Change> transactions() {
        return transactions;
    }

    boolean isDown() {
        return day.now() < downUntil;
    }

    boolean isReadOnly() {
        return day.now() < readOnlyUntil;
    }

    /** By how many nanoseconds the servers that respond lag behind. */
    long lag() {
        return day.now() < lagUntil ? lagDuration : 0;
    }

    /** By how many nanoseconds responses take longer. */
    long slowness() {
        return day.now() < slowUntil ? extraDelay : 0;
    }

    // ---- faults

    /** No server responds; a session may survive or expire. */
    void down(long duration) {
        downUntil = Math.max(downUntil, day.now() + duration);
        clients.values().forEach(each -> each.lose(chance.hits(0.4), 0));
    }

    /** The servers that respond have lost the quorum and are read-only. */
    void readOnly(long duration) {
        downUntil = Math.max(downUntil, day.now() + duration);
        readOnlyUntil = downUntil;
        clients.values().forEach(each -> each.lose(chance.hits(0.3), 0));
        day.simulation.at(
                readOnlyUntil, () -> clients.values().forEach(each -> each.lose(false, 0)));
    }

    /** All clients reconnect to servers that lag; these do not refuse new sessions. */
    void lag(long duration, long by) {
        lagUntil = day.now() + duration;
        lagDuration = by;
        clients.values().forEach(each -> each.lose(chance.hits(0.6), 0));
    }

    void slow(long duration, long by) {
        slowUntil = day.now() + duration;
        extraDelay = by;
    }

    /** All data and every session are lost. */
    void wipe() {
        era++;
        transactions.clear();
        nodes.clear();
        zxid = FIRST_ZXID - era * ZXIDS_PER_ERA;
        rootCzxid = 0;
        clients.values().forEach(each -> each.lose(true, 0));
    }

    /**
     * One sidecar's connection is lost; its session expires if that exceeds the session timeout.
     */
    void lose(String sidecar, long duration) {
        EnsembleClient client = clients.get(sidecar);
        if (client != null) {
            client.lose(duration > timeout(), duration);
        }
    }
}
