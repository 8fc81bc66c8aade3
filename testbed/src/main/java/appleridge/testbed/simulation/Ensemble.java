package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The coordination service: what its nodes have come to, one transaction after the other, and the
 * troubles of its servers. What each sidecar hears of it is its {@link EnsembleClient}'s.
 */
public final class Ensemble {
    /** One transaction; {@code after} null: the node is gone. */
    record Change(long at, long zxid, String name, Znode after) {}

    /** Whatever begins anew is so far below what was. */
    private static final long ERA = 10_000;

    private static final long FIRST_ZXID = 100 * ERA;
    private static final long MOST_WAIT = 500 * Site.MS;

    private final Day day;
    private final SeededRandom chance;
    private final List<Change> past = new ArrayList<>();
    private final Map<String, Znode> present = new LinkedHashMap<>();
    private final Map<String, EnsembleClient> clients = new LinkedHashMap<>();
    private final Map<String, Integer> processes = new LinkedHashMap<>();

    /** Counts how often it was wiped. */
    private int era;

    private long zxid = FIRST_ZXID;

    /** The transaction that made the path of the nodes; 0 while it is not there. */
    private long root = FIRST_ZXID;

    private long downUntil;
    private long readOnlyUntil;
    private long lagUntil;
    private long lagBy;
    private long slowUntil;
    private long slowBy;

    Ensemble(Day day) {
        this.day = day;
        this.chance = day.work("ensemble");
    }

    /** Whether the registry is asked too. */
    public boolean isBoth() {
        return day.plan.count(ScenarioParameter.MEMBERSHIP) == 2;
    }

    /** The client of a process that begins; the one of the process before it hears no more. */
    public EnsembleClient client(String sidecar, EnsembleClient.ProcessContext process) {
        int number = processes.merge(sidecar, 1, Integer::sum);
        EnsembleClient client =
                new EnsembleClient(
                        day,
                        this,
                        sidecar,
                        process,
                        day.work("ensemble." + sidecar + "." + number));
        EnsembleClient before = clients.put(sidecar, client);
        if (before != null) {
            before.close();
        }
        return client;
    }

    /** Its process has ended. */
    void ended(String sidecar) {
        EnsembleClient client = clients.remove(sidecar);
        if (client != null) {
            client.close();
        }
    }

    /** Its process stands still: whoever answers no pings loses its session. */
    void paused(String sidecar, long from, long until) {
        if (until - from > timeout() && clients.containsKey(sidecar)) {
            EnsembleClient client = clients.get(sidecar);
            day.simulation.at(from + timeout(), () -> client.lose(true, until - from - timeout()));
        }
    }

    long timeout() {
        return day.plan.size(ScenarioParameter.SESSION_TIMEOUT);
    }

    // ---- its nodes

    /** A server's node, as this or with these data from now on. */
    void put(String name, int life, long bornAt, NodeData data) {
        Znode before = present.get(name);
        if (root == 0) {
            root = ++zxid;
        }
        if (before != null && before.life() != life) {
            // The node of a session that is about to die: never taken over.
            remove(name);
            before = null;
        }
        zxid++;
        long made =
                day.now() == 0
                        ? Site.EPOCH_MILLIS - 3_000_000
                        : Site.EPOCH_MILLIS + day.now() / Site.MS;
        change(
                name,
                before == null
                        ? new Znode(name, zxid, zxid, made, data, life, bornAt)
                        : before.with(zxid, data));
    }

    void remove(String name) {
        if (present.containsKey(name)) {
            zxid++;
            change(name, null);
        }
    }

    private void change(String name, Znode after) {
        if (after == null) {
            present.remove(name);
        } else {
            present.put(name, after);
        }
        past.add(new Change(day.now(), zxid, name, after));
        clients.values().forEach(EnsembleClient::committed);
    }

    /** Null if there is none. */
    Znode node(String name) {
        return present.get(name);
    }

    /** Runs it when transactions are taken: now, or some time after an outage. */
    void whenUp(Runnable what) {
        if (day.now() < downUntil) {
            day.simulation.at(downUntil + chance.nextLong(MOST_WAIT), () -> whenUp(what));
        } else {
            what.run();
        }
    }

    // ---- what its servers have come to

    int era() {
        return era;
    }

    long root() {
        return root;
    }

    List<Change> past() {
        return past;
    }

    boolean isDown() {
        return day.now() < downUntil;
    }

    boolean isReadOnly() {
        return day.now() < readOnlyUntil;
    }

    /** By how much the servers that answer are behind. */
    long lag() {
        return day.now() < lagUntil ? lagBy : 0;
    }

    /** By how much answers take longer. */
    long slowness() {
        return day.now() < slowUntil ? slowBy : 0;
    }

    // ---- troubles

    /** No server answers; sessions go on afterwards, or not. */
    void down(long duration) {
        downUntil = Math.max(downUntil, day.now() + duration);
        clients.values().forEach(each -> each.lose(chance.hits(0.4), 0));
    }

    /** The servers that answer have lost the others. */
    void readOnly(long duration) {
        downUntil = Math.max(downUntil, day.now() + duration);
        readOnlyUntil = downUntil;
        clients.values().forEach(each -> each.lose(chance.hits(0.3), 0));
        day.simulation.at(
                readOnlyUntil, () -> clients.values().forEach(each -> each.lose(false, 0)));
    }

    /** All are sent to servers that are behind; new sessions are not refused there. */
    void lag(long duration, long by) {
        lagUntil = day.now() + duration;
        lagBy = by;
        clients.values().forEach(each -> each.lose(chance.hits(0.6), 0));
    }

    void slow(long duration, long by) {
        slowUntil = day.now() + duration;
        slowBy = by;
    }

    /** All that it knew is lost, and so is every session. */
    void wipe() {
        era++;
        past.clear();
        present.clear();
        zxid = FIRST_ZXID - era * ERA;
        root = 0;
        clients.values().forEach(each -> each.lose(true, 0));
    }

    /** One sidecar's connection is lost for so long. */
    void lose(String sidecar, long duration) {
        EnsembleClient client = clients.get(sidecar);
        if (client != null) {
            client.lose(duration > timeout(), duration);
        }
    }
}
