package appleridge.testbed.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What discovery itself knows of the order servers, in versions. */
final class Instances {
    static final String READY = "Ready";
    static final String TERMINATING = "Terminating";
    static final String GONE = "Gone";

    /** What is told of one server; {@code bornAt} 0 for long ago. */
    record Entry(
            String uid, int life, InetSocketAddress endpoint, int zone, String state, long bornAt) {
        Entry withState(String other) {
            return new Entry(uid, life, endpoint, zone, other, bornAt);
        }

        String json() {
            return "{\"uid\":\""
                    + uid
                    + "\",\"endpoint\":\""
                    + Site.text(endpoint)
                    + "\",\"az\":\""
                    + Site.ZONES.get(zone)
                    + "\",\"model\":\""
                    + Site.KIND
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

    /** For each uid how many changes there were, and which of them was the last to be known. */
    private final Map<String, Integer> changes = new LinkedHashMap<>();

    private final Map<String, Integer> applied = new LinkedHashMap<>();
    private final List<Runnable> told = new ArrayList<>();
    private long revision;

    /** The last version of long before the day. */
    private long past;

    Instances(Day day) {
        this.day = day;
    }

    /** What is known when the day begins. */
    void addInitial(Entry entry) {
        know(entry);
    }

    /** What has been told so far was known long before the day. */
    void endHistory() {
        past = revision;
    }

    /** Known after so long, unless what came later is known by then. */
    void change(Entry entry, long notice) {
        int serial = changes.merge(entry.uid(), 1, Integer::sum);
        day.after(
                notice,
                () -> {
                    if (applied.getOrDefault(entry.uid(), 0) < serial) {
                        applied.put(entry.uid(), serial);
                        know(entry);
                    }
                });
    }

    /** An entry that is listed goes and comes again, by a mistake of discovery. */
    void flap(String uid, String away, int times, long apart) {
        Entry entry = known.get(uid);
        if (entry == null || times <= 0 || !entry.state().equals(READY)) {
            return;
        }
        Entry gone = entry.withState(away);
        know(gone);
        day.after(
                apart,
                () -> {
                    if (known.get(uid) == gone
                            || away.equals(GONE) && !known.containsKey(uid) && last(uid) == gone) {
                        know(entry);
                        day.after(
                                apart,
                                () -> {
                                    if (known.get(uid) == entry && day.faultsMayOccur()) {
                                        flap(uid, away, times - 1, apart);
                                    }
                                });
                    }
                });
    }

    private Entry last(String uid) {
        for (int i = log.size() - 1; i >= 0; i--) {
            if (log.get(i).entry().uid().equals(uid)) {
                return log.get(i).entry();
            }
        }
        return null;
    }

    private void know(Entry entry) {
        revision++;
        log.add(new Version(day.now(), revision, entry));
        if (entry.state().equals(GONE)) {
            known.remove(entry.uid());
        } else {
            known.put(entry.uid(), entry);
        }
        day.evidence.discoveryChanged(
                revision, entry.uid(), entry.life(), entry.state(), entry.bornAt());
        told.forEach(Runnable::run);
    }

    /** Told whenever something new is known. */
    void onChange(Runnable what) {
        told.add(what);
    }

    long revision() {
        return revision;
    }

    List<Entry> snapshot() {
        return List.copyOf(known.values());
    }

    /** The latest entry of each server that has changed since that version. */
    List<Entry> since(long version) {
        Map<String, Entry> changed = new LinkedHashMap<>();
        for (Version each : log) {
            if (each.revision() > version) {
                changed.put(each.entry().uid(), each.entry());
            }
        }
        return List.copyOf(changed.values());
    }

    /** The version that was the newest at a moment, which may be before the day. */
    long revisionAt(long moment) {
        long newest = past;
        for (Version each : log) {
            if (each.at() <= moment && each.revision() > newest) {
                newest = each.revision();
            }
        }
        return newest;
    }

    /** The whole list as it was in that version. */
    List<Entry> snapshotAt(long version) {
        Map<String, Entry> then = new LinkedHashMap<>();
        for (Version each : log) {
            if (each.revision() <= version) {
                if (each.entry().state().equals(GONE)) {
                    then.remove(each.entry().uid());
                } else {
                    then.put(each.entry().uid(), each.entry());
                }
            }
        }
        return List.copyOf(then.values());
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
