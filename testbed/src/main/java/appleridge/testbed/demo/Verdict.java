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
 * Checks the four rules from the observations of clients, servers and discovery; nothing that the
 * sidecar reports is used.
 *
 * <p>On a busy machine, the sidecar and the stand-ins may be delayed without fault. So comparisons
 * between times that different stand-ins observed allow for {@link #TOLERANCE}.
 */
final class Verdict {
    /** Nanoseconds of delay that a pause of the machine may cause. */
    static final long TOLERANCE = TimeUnit.SECONDS.toNanos(1);

    /**
     * Nanoseconds after a drain was sent within which requests may still arrive: the configured
     * {@code stopSendingWithin} and a margin for sockets.
     */
    static final long DRAIN_GRACE = TimeUnit.MILLISECONDS.toNanos(2000 + 50);

    /** Nanoseconds after which a change in discovery counts as sent even if it was not. */
    static final long REPORT_LIMIT = TimeUnit.SECONDS.toNanos(6);

    private final SiteLog log;

    Verdict(SiteLog log) {
        this.log = log;
    }

    /** Returns one finding per rule, always in the same order. */
    List<Finding> findings() {
        return List.of(checkLost(), checkTwice(), checkDrains(), checkCold());
    }

    private Finding checkLost() {
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
                broken.add(
                        name + ": served with a body that no server produced for it: " + each.body);
            }
            boolean sentLate =
                    each.over()
                            && each.ending != Ending.GAVE_UP
                            && each.arrivals.stream()
                                    .anyMatch(a -> a.firstByte() > each.endedAt + TOLERANCE);
            if (sentLate) {
                broken.add(name + ": forwarded after its final answer");
            }
        }
        log.unsolicited.forEach(
                who -> broken.add(who + ": received bytes that no request waited for"));
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
        if (each.arrivals.stream().anyMatch(a -> a.firstByte() <= each.resentAt)) {
            return "its connection was closed though it had been forwarded";
        }
        if (each.ending == Ending.SILENT) {
            return "no answer";
        }
        // A connection closed before its request was forwarded is a failure that permits a retry.
        return each.ending == Ending.CLOSED_FIRST && !each.arrivals.isEmpty()
                ? "its connection was closed without an answer"
                : null;
    }

    /** An arrival that was not rejected may have been executed, even without a response. */
    private Finding checkTwice() {
        List<String> broken = new ArrayList<>();
        RepeatMemory memory = new RepeatMemory(TOLERANCE);
        Map<String, Arrival> effects = new HashMap<>();
        int repeats = 0;
        for (Arrival arrival : log.arrivals) {
            SiteLog.Try request = log.tries.get(arrival.id());
            if (request == null) {
                broken.add(
                        arrival.server()
                                + " was sent "
                                + arrival.id()
                                + ", which no client requested");
            } else if (!arrival.turnedAway() && request.ask.kind().repeats() != Repeats.SAFE) {
                String zone = arrival.zone();
                boolean effect =
                        memory.takesEffect(
                                request.ask.kind(), arrival.key(), zone, arrival.lastByte());
                Arrival before = effects.putIfAbsent(request.ask.wish(), arrival);
                repeats += before == null ? 0 : 1;
                if (before != null && effect) {
                    broken.add(
                            request.ask.kind().name()
                                    + " "
                                    + request.ask.wish()
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
        checkRefusals(broken);
        return new Finding(
                "no effect happens twice",
                log.arrivals.size()
                        + " sent to servers, "
                        + repeats
                        + " of them retries that the servers deduplicate",
                broken);
    }

    /**
     * A refusal tells the client that a retry is safe, so the request must not have been executed.
     */
    private void checkRefusals(List<String> broken) {
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
                                + ": refused as safe to retry, though it may have been executed");
            }
        }
    }

    private Finding checkDrains() {
        List<String> broken = new ArrayList<>();
        Map<String, Long> reportedAt = new HashMap<>();
        int drains = 0;
        for (SiteLog.Change change : log.changes) {
            if (change.state != State.READY) {
                reportedAt.merge(
                        change.server,
                        Math.min(change.sentAt, change.knownAt + REPORT_LIMIT),
                        Math::min);
                drains += change.state == State.TERMINATING ? 1 : 0;
            }
        }
        long last = 0;
        for (Arrival arrival : log.arrivals) {
            long after =
                    arrival.firstByte() - reportedAt.getOrDefault(arrival.server(), Long.MAX_VALUE);
            last = Math.max(last, after);
            if (after > DRAIN_GRACE) {
                broken.add(
                        arrival.server()
                                + " was sent "
                                + arrival.id()
                                + " "
                                + seconds(after)
                                + " after it was reported as draining or gone");
            }
        }
        return new Finding(
                "drains are kept",
                drains
                        + " drains reported, the last request that began afterwards "
                        + (last > 0 ? "came " + seconds(last) + " later" : "came before"),
                broken);
    }

    private Finding checkCold() {
        List<String> broken = new ArrayList<>();
        Map<String, ColdStart> starts = new HashMap<>();
        Set<String> overloaded = new HashSet<>(log.fallenServers);
        int cold = 0;
        for (Map.Entry<String, SiteLog.ServerStart> start : log.serverStarts.entrySet()) {
            starts.put(
                    start.getKey(),
                    new ColdStart(
                            ColdStart.Figures.USUAL,
                            start.getValue().cold(),
                            start.getValue().startedAt()));
            cold += start.getValue().cold() ? 1 : 0;
        }
        double maxLoad = 0;
        for (Arrival arrival : log.arrivals) {
            double load = starts.get(arrival.server()).sent(arrival.lastByte(), arrival.work());
            maxLoad = Math.max(maxLoad, load);
            if (load > 1) {
                overloaded.add(arrival.server());
            }
        }
        overloaded.forEach(server -> broken.add(server + " fell over while it was cold"));
        return new Finding(
                "no cold server is pushed over",
                cold
                        + " started cold, sent at most "
                        + Math.round(100 * maxLoad)
                        + " % of the load that overloads one",
                broken);
    }

    private static String seconds(long nanos) {
        return String.format(Locale.ROOT, "%.2f s", nanos / (double) TimeUnit.SECONDS.toNanos(1));
    }
}
