package appleridge.testbed.demo;

import appleridge.testbed.standin.ColdStart;
import appleridge.testbed.standin.LoopbackRegistry.State;
import appleridge.testbed.standin.RepeatMemory;
import appleridge.testbed.standin.RequestKind.Repeats;
import appleridge.testbed.standin.StandInListener.Arrival;
import appleridge.testbed.standin.StandInListener.Ending;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The four rules, judged from what clients, servers and discovery saw; never from the sidecar's own
 * word.
 *
 * <p>This machine may be busy with other things, and neither the sidecar nor the stand-ins are to
 * be blamed for that: where a moment seen by one stand-in is held against another's, {@link
 * #MACHINE} is let pass.
 */
final class Verdict {
    /** For a machine that stands still: what is less late than this is not told from it. */
    static final long MACHINE = TimeUnit.SECONDS.toNanos(1);

    /** The stated grace after a drain is told, and the time limits' margin on sockets. */
    static final long GRACE = TimeUnit.MILLISECONDS.toNanos(2000 + 50);

    /** What discovery has to tell counts as told by then, whether or not it arrived. */
    static final long TOLD_BY = TimeUnit.SECONDS.toNanos(6);

    private final SiteLog log;

    Verdict(SiteLog log) {
        this.log = log;
    }

    List<Finding> findings() {
        return List.of(lost(), twice(), drains(), cold());
    }

    private Finding lost() {
        List<String> broken = new ArrayList<>();
        int taken = 0;
        int answered = 0;
        for (SiteLog.Try each : log.tries.values()) {
            taken += each.taken ? 1 : 0;
            answered += each.statuses.isEmpty() ? 0 : 1;
            String name = each.ask.kind().name() + " " + each.ask.id();
            String lost = lost(each);
            if (lost != null) {
                broken.add(name + ": " + lost);
            }
            if (each.served() && !each.made.contains(each.body)) {
                broken.add(name + ": served with what no server made for it: " + each.body);
            }
            boolean sentLate =
                    each.over()
                            && each.ending != Ending.GAVE_UP
                            && each.arrivals.stream()
                                    .anyMatch(a -> a.firstByte() > each.endedAt + MACHINE);
            if (sentLate) {
                broken.add(name + ": still sent on after its final answer");
            }
        }
        log.unasked.forEach(who -> broken.add(who + ": bytes that no request waited for"));
        log.badClients.stream()
                .filter(SiteLog.BadClient::served)
                .forEach(bad -> broken.add("a client that sent " + bad.what() + " was served"));
        return new Finding(
                "no request is lost", taken + " taken, " + answered + " answered", broken);
    }

    private static String lost(SiteLog.Try each) {
        if (!each.over()) {
            return each.taken ? "still open at the end" : null;
        }
        if (each.statuses.size() > 1) {
            return "answered more than once: " + each.statuses;
        }
        if (each.arrivals.stream().anyMatch(a -> a.firstByte() <= each.sentAgainAt)) {
            return "its connection was closed though it had been sent on";
        }
        if (each.ending == Ending.SILENT) {
            return "no answer";
        }
        // What was closed with nothing sent on for it has failed: its client may ask again.
        return each.ending == Ending.CLOSED_FIRST && !each.arrivals.isEmpty()
                ? "its connection was closed without an answer"
                : null;
    }

    /** An arrival that was not turned away may have run, whether or not its answer came. */
    private Finding twice() {
        List<String> broken = new ArrayList<>();
        RepeatMemory memory = new RepeatMemory(MACHINE);
        Map<String, Arrival> effects = new HashMap<>();
        int repeats = 0;
        for (Arrival arrival : log.arrivals) {
            SiteLog.Try of = log.tries.get(arrival.id());
            if (of == null) {
                broken.add(
                        arrival.server()
                                + " was sent "
                                + arrival.id()
                                + ", which no client asks for");
            } else if (!arrival.turnedAway() && of.ask.kind().repeats() != Repeats.SAFE) {
                String zone = arrival.zone();
                boolean effect =
                        memory.takesEffect(of.ask.kind(), arrival.key(), zone, arrival.lastByte());
                Arrival before = effects.putIfAbsent(of.ask.wish(), arrival);
                repeats += before == null ? 0 : 1;
                if (before != null && effect) {
                    broken.add(
                            of.ask.kind().name()
                                    + " "
                                    + of.ask.wish()
                                    + ": at "
                                    + before.server()
                                    + " in "
                                    + before.zone()
                                    + ", and again at "
                                    + arrival.server()
                                    + " in "
                                    + zone
                                    + ", "
                                    + seconds(arrival.lastByte() - before.lastByte())
                                    + " later");
                }
            }
        }
        refusedThoughRun(broken);
        return new Finding(
                "no effect happens twice",
                log.arrivals.size()
                        + " sent to servers, "
                        + repeats
                        + " of them repeats that the servers drop",
                broken);
    }

    /** A refusal says that trying again is harmless. */
    private void refusedThoughRun(List<String> broken) {
        for (SiteLog.Try each : log.tries.values()) {
            Repeats repeats = each.ask.kind().repeats();
            boolean harmful = repeats == Repeats.UNSAFE || repeats == Repeats.KEYED_BY_ZONE;
            if (harmful
                    && each.refused()
                    && each.arrivals.stream().anyMatch(a -> !a.turnedAway())) {
                broken.add(
                        each.ask.kind().name()
                                + " "
                                + each.ask.id()
                                + ": refused, as if it could be tried again, though it may have"
                                + " run");
            }
        }
    }

    private Finding drains() {
        List<String> broken = new ArrayList<>();
        Map<String, Long> toldAt = new HashMap<>();
        int drains = 0;
        for (SiteLog.Change change : log.changes) {
            if (change.state != State.READY) {
                toldAt.merge(
                        change.server,
                        Math.min(change.toldAt, change.knownAt + TOLD_BY),
                        Math::min);
                drains += change.state == State.TERMINATING ? 1 : 0;
            }
        }
        long last = 0;
        for (Arrival arrival : log.arrivals) {
            long after =
                    arrival.firstByte() - toldAt.getOrDefault(arrival.server(), Long.MAX_VALUE);
            last = Math.max(last, after);
            if (after > GRACE) {
                broken.add(
                        arrival.server()
                                + " was sent "
                                + arrival.id()
                                + " "
                                + seconds(after)
                                + " after it was told to be draining or gone");
            }
        }
        return new Finding(
                "drains are kept",
                drains
                        + " told, the last request to begin after it "
                        + (last > 0 ? "came " + seconds(last) + " later" : "came before"),
                broken);
    }

    private Finding cold() {
        List<String> broken = new ArrayList<>();
        Map<String, ColdStart> starts = new HashMap<>();
        Set<String> tipped = new HashSet<>(log.fallen);
        int cold = 0;
        for (Map.Entry<String, SiteLog.Life> life : log.lives.entrySet()) {
            starts.put(
                    life.getKey(),
                    new ColdStart(
                            ColdStart.Figures.USUAL,
                            life.getValue().cold(),
                            life.getValue().startedAt()));
            cold += life.getValue().cold() ? 1 : 0;
        }
        double most = 0;
        for (Arrival arrival : log.arrivals) {
            double part = starts.get(arrival.server()).sent(arrival.lastByte(), arrival.work());
            most = Math.max(most, part);
            if (part > 1) {
                tipped.add(arrival.server());
            }
        }
        tipped.forEach(server -> broken.add(server + " fell over while it was cold"));
        return new Finding(
                "no cold server is pushed over",
                cold
                        + " started cold, sent at most "
                        + Math.round(100 * most)
                        + " % of what would tip one",
                broken);
    }

    private static String seconds(long nanos) {
        return String.format(Locale.ROOT, "%.2f s", nanos / (double) TimeUnit.SECONDS.toNanos(1));
    }
}
