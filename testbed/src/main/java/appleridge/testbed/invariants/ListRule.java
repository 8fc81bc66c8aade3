package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks the module's list where the coordination service is its only source: no server is removed
 * whose end was not delivered; a delivered change takes effect within the settle time; and a
 * restarted process is listed with its new start.
 */
final class ListRule implements DayListener {
    /**
     * Time within which a running process applies what was delivered: a tick and some network
     * delays.
     */
    private static final long SETTLE_TIME = 1500 * TimeSpans.MS;

    /** Starts are given to the millisecond, and the clocks are read at different times. */
    private static final long START_TOLERANCE = 300 * TimeSpans.MS;

    private record Listed(boolean ready, long startedAt) {}

    private final DeliveredNodes nodes;
    private final RuleContext context;

    /** By sidecar, what its current process lists. */
    private final Map<String, Map<String, Listed>> listedBySidecar = new HashMap<>();

    /**
     * Set once a wall clock was stepped: a start by a wrong clock makes earlier starts look older
     * or younger than they are.
     */
    private boolean clockStepped;

    ListRule(DeliveredNodes nodes, RuleContext context) {
        this.nodes = nodes;
        this.context = context;
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        listedBySidecar.put(sidecar, new HashMap<>());
    }

    @Override
    public void moduleHostUpdated(
            String sidecar, int incarnation, String uid, boolean ready, long startedAt) {
        if (!nodes.onlySource()) {
            return;
        }
        Listed before = listedBySidecar.get(sidecar).put(uid, new Listed(ready, startedAt));
        long now = context.checks().now();
        if (!ready && before != null && before.ready) {
            // The list that removes a server may also name its successor, which is reported later
            // at the same time.
            context.checks()
                    .at(
                            now,
                            () -> {
                                Listed after = listedBySidecar.get(sidecar).get(uid);
                                if (after != null
                                        && !after.ready
                                        && isStillReported(sidecar, uid, now)
                                        && !isReplaced(sidecar, uid)) {
                                    context.findings()
                                            .add(
                                                    Rule.LIST,
                                                    sidecar + ' ' + uid,
                                                    sidecar
                                                            + " removed "
                                                            + uid
                                                            + ", whose end was not delivered");
                                }
                            });
        }
    }

    /**
     * Returns whether the server was delivered as ready, with nothing else within the settle time.
     */
    private boolean isStillReported(String sidecar, String uid, long now) {
        long readySince = nodes.readySince(sidecar, uid, now);
        return readySince != AttemptRecord.NEVER
                && readySince <= now - SETTLE_TIME
                && !context.excuses().paused(sidecar, now - SETTLE_TIME, now);
    }

    @Override
    public void faultTriggered(String kind, String at, String id) {
        clockStepped |= kind.equals("wall-step");
    }

    /** Returns whether another server is listed on the same machine, now or with a later start. */
    private boolean isReplaced(String sidecar, String uid) {
        Listed own = listedBySidecar.get(sidecar).get(uid);
        long startedAt = own == null ? 0 : own.startedAt;
        for (Map.Entry<String, Listed> each : listedBySidecar.get(sidecar).entrySet()) {
            boolean later = each.getValue().ready || each.getValue().startedAt > startedAt;
            if (later
                    && !each.getKey().equals(uid)
                    && machineOf(each.getKey()).equals(machineOf(uid))) {
                return true;
            }
        }
        return false;
    }

    private static String machineOf(String uid) {
        int dot = uid.indexOf('.');
        return dot < 0 ? uid : uid.substring(0, dot);
    }

    @Override
    public void nodeDelivered(String sidecar, String uid, String state, long bornAt) {
        if (nodes.onlySource()) {
            int incarnation = context.incarnations().current(sidecar);
            long at = context.checks().now();
            context.checks().at(at + SETTLE_TIME, () -> checkListed(sidecar, incarnation, uid, at));
        }
    }

    private void checkListed(String sidecar, int incarnation, String uid, long deliveredAt) {
        long now = context.checks().now();
        if (context.incarnations().current(sidecar) != incarnation
                || !context.incarnations().runs(sidecar, incarnation)
                || context.incarnations().termAt(sidecar, incarnation) != AttemptRecord.NEVER) {
            return;
        }
        if (context.excuses().paused(sidecar, deliveredAt, now)) {
            context.checks()
                    .at(now + SETTLE_TIME, () -> checkListed(sidecar, incarnation, uid, now));
            return;
        }
        long readySince = nodes.readySince(sidecar, uid, now);
        long draining = nodes.drainingSince(sidecar, uid, now);
        Listed listed = listedBySidecar.get(sidecar).get(uid);
        boolean isReady = listed != null && listed.ready;
        long latestStart = nodes.latestStart(sidecar, uid, now);
        if (draining != AttemptRecord.NEVER && draining <= now - SETTLE_TIME && isReady) {
            context.findings()
                    .add(
                            Rule.LIST,
                            sidecar + ' ' + uid,
                            sidecar
                                    + " still lists "
                                    + uid
                                    + ' '
                                    + TimeSpans.text(now - draining)
                                    + " after its drain or end was delivered");
        }
        if (readySince == AttemptRecord.NEVER || readySince > now - SETTLE_TIME) {
            return;
        }
        if (!isReady && !isReplaced(sidecar, uid)) {
            context.findings()
                    .add(
                            Rule.LIST,
                            sidecar + ' ' + uid,
                            sidecar
                                    + " does not list "
                                    + uid
                                    + ' '
                                    + TimeSpans.text(now - readySince)
                                    + " after it was delivered as ready");
        } else if (isReady
                && latestStart > 0
                && !clockStepped
                && listed.startedAt < latestStart - START_TOLERANCE) {
            context.findings()
                    .add(
                            Rule.LIST,
                            sidecar + ' ' + uid,
                            sidecar + " lists " + uid + " with the start of an earlier process");
        }
    }
}
