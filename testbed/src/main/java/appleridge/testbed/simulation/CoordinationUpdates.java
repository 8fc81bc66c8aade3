package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.loadbalancing.HostState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reports to the invariant checker what the coordination service has delivered to one process, at
 * the time at which it is written to the connection. Data from servers that lag, are partitioned or
 * have lost their history is not reported as such; only what the process may conclude from it is.
 */
final class CoordinationUpdates {
    /** The state of the server is undefined: the checker must assume nothing. */
    static final String UNKNOWN = "Unknown";

    /**
     * Without the data of a changed node the process stops new requests to its server after this.
     */
    private static final long READ_TIMEOUT = Site.SECOND;

    /** How long the process keeps a node that is missing after the ensemble lost its history. */
    private static final long RETAIN_AFTER_WIPE = 10 * Site.SECOND;

    /** The last state reported for a server. */
    private record Delivered(long zxid, String state, long bornAt) {}

    private final Day day;
    private final String sidecar;
    private final Map<String, Delivered> delivered = new LinkedHashMap<>();
    private long highestZxid;
    private boolean historyLost;

    /** Counts losses of history; timers that were scheduled in an earlier generation do nothing. */
    private int generation;

    CoordinationUpdates(Day day, String sidecar) {
        this.day = day;
        this.sidecar = sidecar;
    }

    /** The process has ended: nothing is reported any more. */
    void end() {
        historyLost = true;
        generation++;
        delivered.clear();
    }

    /** The process is connected to an ensemble that has lost its history and started over. */
    void lost() {
        historyLost = true;
        generation++;
    }

    private long zxid(String name) {
        Delivered last = delivered.get(name);
        return last == null ? 0 : last.zxid;
    }

    private void deliver(String name, long zxid, String state, long bornAt) {
        Delivered last = delivered.get(name);
        if (generation > 0 && last != null && last.zxid == 0 && zxid > 0) {
            // The node was created again after the loss of history: it is not the former node.
            day.evidence.nodeDelivered(sidecar, name, UNKNOWN, bornAt);
        }
        delivered.put(name, new Delivered(zxid, state, bornAt));
        day.evidence.nodeDelivered(sidecar, name, state, bornAt);
    }

    private void gone(String name, long zxid) {
        deliver(
                name,
                zxid,
                Instances.GONE,
                delivered.containsKey(name) ? delivered.get(name).bornAt : 0);
    }

    void gone(long zxid, String name) {
        if (historyLost) {
            deliver(name, zxid(name), UNKNOWN, 0);
        } else if (zxid >= zxid(name)) {
            highestZxid = Math.max(highestZxid, zxid);
            gone(name, zxid);
        }
    }

    void changed(long zxid, String name) {
        if (historyLost) {
            if (delivered.containsKey(name)) {
                deliver(name, zxid(name), UNKNOWN, 0);
            }
            return;
        }
        highestZxid = Math.max(highestZxid, zxid);
        if (zxid > zxid(name)) {
            int scheduledIn = generation;
            day.after(
                    READ_TIMEOUT,
                    () -> {
                        Delivered last = delivered.get(name);
                        if (last != null
                                && last.zxid < zxid
                                && last.state.equals(Instances.READY)) {
                            deliver(
                                    name,
                                    last.zxid,
                                    scheduledIn == generation ? Instances.TERMINATING : UNKNOWN,
                                    last.bornAt);
                        }
                    });
        }
    }

    /**
     * The data of a node has been written to the process.
     *
     * @param trusted whether the process uses the data: it does not consider its list stale
     */
    void read(Znode node, boolean trusted) {
        if (!historyLost && node.mzxid() >= zxid(node.name())) {
            String state = state(node.read());
            if (trusted || !state.equals(Instances.READY) && delivered.containsKey(node.name())) {
                deliver(node.name(), node.mzxid(), state, node.bornAt());
            } else if (delivered.containsKey(node.name())) {
                boolean wasReady = delivered.get(node.name()).state.equals(Instances.READY);
                if (wasReady) {
                    delivered.put(node.name(), new Delivered(node.mzxid(), state, node.bornAt()));
                } else {
                    deliver(node.name(), zxid(node.name()), UNKNOWN, node.bornAt());
                }
            }
        }
    }

    private static String state(NodeRead read) {
        return read.data() != null && read.data().state() == HostState.READY
                ? Instances.READY
                : Instances.TERMINATING;
    }

    /**
     * A complete snapshot has been written to the process.
     *
     * @param namesZxid the last transaction that the server had applied when it listed the names
     * @param view the nodes that the server has
     */
    void snapshot(long zxid, long namesZxid, Map<String, NodeRead> nodes, Map<String, Znode> view) {
        if (historyLost || zxid < highestZxid) {
            return;
        }
        highestZxid = zxid;
        nodes.forEach(
                (name, read) -> {
                    Znode node = view.get(name);
                    // A node without readable data is ignored unless it was reported before.
                    boolean relevant = read.data() != null || delivered.containsKey(name);
                    if (relevant
                            && node != null
                            && read.mzxid() >= zxid(name)
                            && node.czxid() == read.czxid()) {
                        deliver(name, read.mzxid(), state(read), node.bornAt());
                    }
                });
        for (String name : new ArrayList<>(delivered.keySet())) {
            // zxid 0: the node has not come back since the ensemble lost its history, and is kept
            // for
            // a while.
            if (!nodes.containsKey(name)
                    && zxid(name) > 0
                    && zxid(name) <= namesZxid
                    && !delivered.get(name).state.equals(Instances.GONE)) {
                gone(name, namesZxid);
            }
        }
    }

    /** The process has accepted a snapshot, possibly the first one after a loss of history. */
    void accepted(Map<String, Znode> view) {
        if (!historyLost) {
            return;
        }
        historyLost = false;
        highestZxid = 0;
        Map<String, Delivered> before = new LinkedHashMap<>(delivered);
        delivered.clear();
        view.values()
                .forEach(
                        node -> {
                            highestZxid = Math.max(highestZxid, node.mzxid());
                            // Created again: not the former node.
                            day.evidence.nodeDelivered(
                                    sidecar, node.name(), UNKNOWN, node.bornAt());
                            deliver(node.name(), node.mzxid(), state(node.read()), node.bornAt());
                        });
        before.forEach(
                (name, last) -> {
                    if (!delivered.containsKey(name)) {
                        delivered.put(name, new Delivered(0, last.state, last.bornAt));
                        int scheduledIn = generation;
                        day.after(
                                RETAIN_AFTER_WIPE,
                                () -> {
                                    if (scheduledIn == generation
                                            && zxid(name) == 0
                                            && !last.state.equals(Instances.GONE)) {
                                        gone(name, 0);
                                    }
                                });
                    }
                });
    }
}
