package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * Where nodes alone make the list, it is what they told: nobody is taken away of whom no end was
 * told, whatever else happens; soon after something was told it is so; and a process that began
 * anew is listed with its new start.
 */
final class ListRule implements DayListener {
    /** What was told is in the list by then, if the process runs: a tick, and some ways. */
    private static final long SETTLED = 1500 * TimeSpans.MS;

    /** Starts are named to the millisecond, and clocks are read some time apart. */
    private static final long NEAR = 300 * TimeSpans.MS;

    private record Listed(boolean ready, long startedAt) {}

    private final DeliveredNodes told;
    private final Shared shared;

    /** By sidecar, what its present process lists. */
    private final Map<String, Map<String, Listed>> lists = new HashMap<>();

    /** Who starts by a false clock takes what started before for older or younger than it is. */
    private boolean falseClocks;

    ListRule(DeliveredNodes told, Shared shared) {
        this.told = told;
        this.shared = shared;
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        lists.put(sidecar, new HashMap<>());
    }

    @Override
    public void moduleHostUpdated(
            String sidecar, int life, String uid, boolean ready, long startedAt) {
        if (!told.alone()) {
            return;
        }
        Listed before = lists.get(sidecar).put(uid, new Listed(ready, startedAt));
        long now = shared.alarms().now();
        if (!ready && before != null && before.ready) {
            // Who takes its place may be told of in the same list.
            shared.alarms()
                    .at(
                            now,
                            () -> {
                                Listed after = lists.get(sidecar).get(uid);
                                if (after != null
                                        && !after.ready
                                        && says(sidecar, uid, now)
                                        && !replaced(sidecar, uid)) {
                                    shared.findings()
                                            .add(
                                                    Rule.LIST,
                                                    sidecar + ' ' + uid,
                                                    sidecar
                                                            + " takes "
                                                            + uid
                                                            + " away, of which no end was told");
                                }
                            });
        }
    }

    /** Whether it was told that it is ready, and nothing else lately. */
    private boolean says(String sidecar, String uid, long now) {
        long ready = told.readySince(sidecar, uid, now);
        return ready != AttemptRecord.NEVER
                && ready <= now - SETTLED
                && !shared.excuses().paused(sidecar, now - SETTLED, now);
    }

    @Override
    public void faultStruck(String kind, String at, String id) {
        falseClocks |= kind.equals("wall-step");
    }

    /** Whether another server is listed at its address, or a later one was. */
    private boolean replaced(String sidecar, String uid) {
        Listed own = lists.get(sidecar).get(uid);
        long startedAt = own == null ? 0 : own.startedAt;
        for (Map.Entry<String, Listed> each : lists.get(sidecar).entrySet()) {
            boolean later = each.getValue().ready || each.getValue().startedAt > startedAt;
            if (later
                    && !each.getKey().equals(uid)
                    && machine(each.getKey()).equals(machine(uid))) {
                return true;
            }
        }
        return false;
    }

    private static String machine(String uid) {
        int dot = uid.indexOf('.');
        return dot < 0 ? uid : uid.substring(0, dot);
    }

    @Override
    public void nodeDelivered(String sidecar, String uid, String state, long bornAt) {
        if (told.alone()) {
            int life = shared.lives().current(sidecar);
            long at = shared.alarms().now();
            shared.alarms().at(at + SETTLED, () -> look(sidecar, life, uid, at));
        }
    }

    private void look(String sidecar, int life, String uid, long toldAt) {
        long now = shared.alarms().now();
        if (shared.lives().current(sidecar) != life
                || !shared.lives().runs(sidecar, life)
                || shared.lives().termAt(sidecar, life) != AttemptRecord.NEVER) {
            return;
        }
        if (shared.excuses().paused(sidecar, toldAt, now)) {
            shared.alarms().at(now + SETTLED, () -> look(sidecar, life, uid, now));
            return;
        }
        long ready = told.readySince(sidecar, uid, now);
        long drains = told.drainsSince(sidecar, uid, now);
        Listed listed = lists.get(sidecar).get(uid);
        boolean isReady = listed != null && listed.ready;
        long start = told.lastStart(sidecar, uid, now);
        if (drains != AttemptRecord.NEVER && drains <= now - SETTLED && isReady) {
            shared.findings()
                    .add(
                            Rule.LIST,
                            sidecar + ' ' + uid,
                            sidecar
                                    + " still lists "
                                    + uid
                                    + ' '
                                    + TimeSpans.text(now - drains)
                                    + " after it was told that it drains or is gone");
        }
        if (ready == AttemptRecord.NEVER || ready > now - SETTLED) {
            return;
        }
        if (!isReady && !replaced(sidecar, uid)) {
            shared.findings()
                    .add(
                            Rule.LIST,
                            sidecar + ' ' + uid,
                            sidecar
                                    + " does not list "
                                    + uid
                                    + ' '
                                    + TimeSpans.text(now - ready)
                                    + " after it was told that it is ready");
        } else if (isReady && start > 0 && !falseClocks && listed.startedAt < start - NEAR) {
            shared.findings()
                    .add(
                            Rule.LIST,
                            sidecar + ' ' + uid,
                            sidecar + " takes " + uid + " for the process that was there before");
        }
    }
}
