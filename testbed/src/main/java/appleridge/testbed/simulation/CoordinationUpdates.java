package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.loadbalancing.HostState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the coordination service has told one process, as the judge is to have it: said when it is
 * written. What comes from servers that lag, have lost the others or have lost their past is not
 * told, but for what the process may make of it.
 */
final class CoordinationUpdates {
    /** Nothing can be said of that server. */
    static final String UNKNOWN = "Unknown";

    /** A change whose data has not come within this stops new work. */
    private static final long READ_WITHIN = Site.SECOND;

    /** For so long what a new beginning has not got is kept. */
    private static final long COME_BACK_WITHIN = 10 * Site.SECOND;

    /** What was said of a server. */
    private record Said(long zxid, String state, long bornAt) {}

    private final Day day;
    private final String sidecar;
    private final Map<String, Said> said = new LinkedHashMap<>();
    private long highest;
    private boolean lost;

    /** Counts beginnings; what was waited for in an earlier one is over. */
    private int beginnings;

    CoordinationUpdates(Day day, String sidecar) {
        this.day = day;
        this.sidecar = sidecar;
    }

    /** The process has ended: nothing is told any more. */
    void end() {
        lost = true;
        beginnings++;
        said.clear();
    }

    /** From now on it hears of an ensemble that has begun anew. */
    void lost() {
        lost = true;
        beginnings++;
    }

    private long zxid(String name) {
        Said last = said.get(name);
        return last == null ? 0 : last.zxid;
    }

    private void say(String name, long zxid, String state, long bornAt) {
        Said last = said.get(name);
        if (beginnings > 0 && last != null && last.zxid == 0 && zxid > 0) {
            // Made again in a new beginning: not the node that was there.
            day.evidence.nodeDelivered(sidecar, name, UNKNOWN, bornAt);
        }
        said.put(name, new Said(zxid, state, bornAt));
        day.evidence.nodeDelivered(sidecar, name, state, bornAt);
    }

    private void gone(String name, long zxid) {
        say(name, zxid, Instances.GONE, said.containsKey(name) ? said.get(name).bornAt : 0);
    }

    void gone(long zxid, String name) {
        if (lost) {
            say(name, zxid(name), UNKNOWN, 0);
        } else if (zxid >= zxid(name)) {
            highest = Math.max(highest, zxid);
            gone(name, zxid);
        }
    }

    void changed(long zxid, String name) {
        if (lost) {
            if (said.containsKey(name)) {
                say(name, zxid(name), UNKNOWN, 0);
            }
            return;
        }
        highest = Math.max(highest, zxid);
        if (zxid > zxid(name)) {
            int mine = beginnings;
            day.after(
                    READ_WITHIN,
                    () -> {
                        Said last = said.get(name);
                        if (last != null
                                && last.zxid < zxid
                                && last.state.equals(Instances.READY)) {
                            say(
                                    name,
                                    last.zxid,
                                    mine == beginnings ? Instances.TERMINATING : UNKNOWN,
                                    last.bornAt);
                        }
                    });
        }
    }

    /** An answer; {@code sure}: no doubt keeps the process from believing it. */
    void read(Znode node, boolean sure) {
        if (!lost && node.mzxid() >= zxid(node.name())) {
            String state = state(node.read());
            if (sure || !state.equals(Instances.READY) && said.containsKey(node.name())) {
                say(node.name(), node.mzxid(), state, node.bornAt());
            } else if (said.containsKey(node.name())) {
                boolean asBefore = said.get(node.name()).state.equals(Instances.READY);
                if (asBefore) {
                    said.put(node.name(), new Said(node.mzxid(), state, node.bornAt()));
                } else {
                    say(node.name(), zxid(node.name()), UNKNOWN, node.bornAt());
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
     * A whole reading.
     *
     * @param namesZxid how far the server had come when it told the names
     * @param view what the nodes are
     */
    void whole(long zxid, long namesZxid, Map<String, NodeRead> nodes, Map<String, Znode> view) {
        if (lost || zxid < highest) {
            return;
        }
        highest = zxid;
        nodes.forEach(
                (name, read) -> {
                    Znode node = view.get(name);
                    // Who was never read is left out.
                    boolean counts = read.data() != null || said.containsKey(name);
                    if (counts
                            && node != null
                            && read.mzxid() >= zxid(name)
                            && node.czxid() == read.czxid()) {
                        say(name, read.mzxid(), state(read), node.bornAt());
                    }
                });
        for (String name : new ArrayList<>(said.keySet())) {
            // What an ensemble that began anew has not got yet is kept for a while.
            if (!nodes.containsKey(name)
                    && zxid(name) > 0
                    && zxid(name) <= namesZxid
                    && !said.get(name).state.equals(Instances.GONE)) {
                gone(name, namesZxid);
            }
        }
    }

    /** The process has taken a reading over, and that may be of a new beginning. */
    void accepted(Map<String, Znode> view) {
        if (!lost) {
            return;
        }
        lost = false;
        highest = 0;
        Map<String, Said> old = new LinkedHashMap<>(said);
        said.clear();
        view.values()
                .forEach(
                        node -> {
                            highest = Math.max(highest, node.mzxid());
                            // Made again: not the node that was there.
                            day.evidence.nodeDelivered(
                                    sidecar, node.name(), UNKNOWN, node.bornAt());
                            say(node.name(), node.mzxid(), state(node.read()), node.bornAt());
                        });
        old.forEach(
                (name, last) -> {
                    if (!said.containsKey(name)) {
                        said.put(name, new Said(0, last.state, last.bornAt));
                        int mine = beginnings;
                        day.after(
                                COME_BACK_WITHIN,
                                () -> {
                                    if (mine == beginnings
                                            && zxid(name) == 0
                                            && !last.state.equals(Instances.GONE)) {
                                        gone(name, 0);
                                    }
                                });
                    }
                });
    }
}
