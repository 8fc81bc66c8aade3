package appleridge.testbed.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The order servers as discovery itself knows them, as a log of revisions. */
final class Instances {
    static final String READY = "Ready";
    static final String TERMINATING = "Terminating";
    static final String GONE = "Gone";

    /**
     * The entry of one server.
     *
     * @param bornAt when the server started, in nanoseconds of the day; 0 for long before
     */
    record Entry(
            String uid, int life, InetSocketAddress endpoint, int zone, String state, long bornAt) {
        Entry withState(String newState) {
            return new Entry(uid, life, endpoint, zone, newState, bornAt);
        }

        String json() {
            return "{\"uid\":\""
                    + uid
                    + "\",\"endpoint\":\""
                    + Site.text(endpoint)
                    + "\",\"az\":\""
                    + Site.ZONES.get(zone)
                    + "\",\"model\":\""
                    + Site.SERVER_KIND
                    + "\",\"pod_group\":"
                    + zone
                    + ",\"state\":\""
                    + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                    + (bornAt == 0 ? 0 : Site.EPOCH_MILLIS + bornAt / Site.MS)
                    + "}";
        }
    }

    private record Version(long at, long revision, Entry entry) {}

    private final Day day;
    private final List<Version> log = new ArrayList<>();
    private final Map<String, Entry> known = new LinkedHashMap<>();

    /** By uid: the number of changes scheduled, and the last one that has been published. */
    private final Map<String, Integer> changes = new LinkedHashMap<>();

    private final Map<String, Integer> applied = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long revision;

    /** The last revision from before the day. */
    private long historyEnd;

    Instances(Day day) {
        this.day = day;
    }

    /** Publishes an entry that exists when the day begins. */
    void addInitial(Entry entry) {
        publish(entry);
    }

    /** Marks all revisions so far as published before the day. */
    void endHistory() {
        historyEnd = revision;
    }

    /**
     * Publishes an entry after a delay, unless a later change of the same server has been published
     * by then.
     *
     * @param notice the delay in nanoseconds
     */
    void change(Entry entry, long notice) {
        int serial = changes.merge(entry.uid(), 1, Integer::sum);
        day.after(
                notice,
                () -> {
                    if (applied.getOrDefault(entry.uid(), 0) < serial) {
                        applied.put(entry.uid(), serial);
                        publish(entry);
                    }
                });
    }

    /**
     * Lets a ready entry leave and come back repeatedly, as a fault of discovery.
     *
     * @param awayState the state of the entry while it is away
     */
    void flap(String uid, String awayState, int times, long interval) {
        Entry entry = known.get(uid);
        if (entry == null || times <= 0 || !entry.state().equals(READY)) {
            return;
        }
        Entry removed = entry.withState(awayState);
        publish(removed);
        day.after(
                interval,
                () -> {
                    if (known.get(uid) == removed
                            || awayState.equals(GONE)
                                    && !known.containsKey(uid)
                                    && latest(uid) == removed) {
                        publish(entry);
                        day.after(
                                interval,
                                () -> {
                                    if (known.get(uid) == entry && day.faultsMayOccur()) {
                                        flap(uid, awayState, times - 1, interval);
                                    }
                                });
                    }
                });
    }

    private Entry latest(String uid) {
        for (int i = log.size() - 1; i >= 0; i--) {
            if (log.get(i).entry().uid().equals(uid)) {
                return log.get(i).entry();
            }
        }
        return null;
    }

    private void publish(Entry entry) {
        revision++;
        log.add(new Version(day.now(), revision, entry));
        if (entry.state().equals(GONE)) {
            known.remove(entry.uid());
        } else {
            known.put(entry.uid(), entry);
        }
        day.evidence.discoveryChanged(
                revision, entry.uid(), entry.life(), entry.state(), entry.bornAt());
        listeners.forEach(Runnable::run);
    }

    /** Registers a listener that runs after each new revision. */
    void onChange(Runnable task) {
        listeners.add(task);
    }

    long revision() {
        return revision;
    }

    List<Entry> snapshot() {
        return List.copyOf(known.values());
    }

    /** Returns the latest entry of each server that has changed since this revision. */
    List<Entry> since(long version) {
        Map<String, Entry> changed = new LinkedHashMap<>();
        for (Version each : log) {
            if (each.revision() > version) {
                changed.put(each.entry().uid(), each.entry());
            }
        }
        return List.copyOf(changed.values());
    }

    /** Returns the newest revision at a time, which may be before the day. */
    long revisionAt(long moment) {
        long newest = historyEnd;
        for (Version each : log) {
            if (each.at() <= moment && each.revision() > newest) {
                newest = each.revision();
            }
        }
        return newest;
    }

    /** Returns the endpoint list as of this revision. */
    List<Entry> snapshotAt(long version) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (Version each : log) {
            if (each.revision() <= version) {
                if (each.entry().state().equals(GONE)) {
                    entries.remove(each.entry().uid());
                } else {
                    entries.put(each.entry().uid(), each.entry());
                }
            }
        }
        return List.copyOf(entries.values());
    }

    static String json(long version, boolean all, List<Entry> entries) {
        StringBuilder text = new StringBuilder(64 + 180 * entries.size());
        text.append("{\"rev\":")
                .append(version)
                .append(",\"all\":")
                .append(all)
                .append(",\"targets\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entries.get(i).json());
        }
        return text.append("]}").toString();
    }
}
