package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Spans of time for which a sidecar is not to blame: its loop stood still, or had more to do than
 * it could, or the link to its clients was in trouble. What was due within one is due as much later
 * as it lasted.
 */
final class ExcusedTimes implements DayListener {
    /** However loaded it is, no more than this is due to it. */
    private static final long MAX_LOAD_EXCUSE = TimeSpans.SECOND;

    private final LoopLoad load;
    private final long normalBusyTime;
    private final Map<String, List<Span>> pauses = new HashMap<>();
    private final Map<String, List<Span>> links = new HashMap<>();
    private final Map<String, List<Span>> connections = new HashMap<>();

    /** Pauses and links of all sidecars, for clients of whom it isn't known whom they ask. */
    private final List<Span> allSpans = new ArrayList<>();

    /**
     * With what says how loaded the loops are.
     *
     * @param normalBusyTime a loop that is busy for no longer than this is within its usual margin
     */
    ExcusedTimes(LoopLoad load, long normalBusyTime) {
        this.load = load;
        this.normalBusyTime = normalBusyTime;
    }

    /** A time limit with what excuses a request of this sidecar. */
    long extended(ClientAttempt attempt, long from, long until) {
        long end = extendedForFaults(attempt, from, until);
        return Math.min(
                TimeSpans.saturatedAdd(end, MAX_LOAD_EXCUSE),
                extend(
                        load.busy(attempt.sidecar()).stream()
                                .filter(each -> each.until() - each.from() > normalBusyTime)
                                .toList(),
                        from,
                        end));
    }

    private long extendedForFaults(ClientAttempt attempt, long from, long until) {
        long end = extend(pauses.get(attempt.sidecar()), from, until);
        end = extend(links.get(attempt.sidecar()), from, end);
        return extend(connections.get(attempt.id()), from, end);
    }

    /** A time limit with what excuses a client of any sidecar. */
    long extendedForAny(long from, long until) {
        return extend(allSpans, from, until);
    }

    /** Whether its way to and from its client was in trouble. */
    boolean linkTroubled(ClientAttempt attempt, long from, long to) {
        return overlaps(links.get(attempt.sidecar()), from, to)
                || overlaps(connections.get(attempt.id()), from, to);
    }

    boolean paused(String sidecar, long from, long to) {
        return overlaps(pauses.get(sidecar), from, to);
    }

    /** Whether the ways to and from all its clients were in trouble. */
    boolean linksTroubled(String sidecar, long from, long to) {
        return overlaps(links.get(sidecar), from, to);
    }

    private static long extend(List<Span> spans, long from, long until) {
        long end = until;
        if (spans != null) {
            for (Span each : spans) {
                if (each.overlaps(from, end)) {
                    end = TimeSpans.saturatedAdd(end, each.until() - Math.max(from, each.from()));
                }
            }
        }
        return end;
    }

    private static boolean overlaps(List<Span> spans, long from, long to) {
        if (spans != null) {
            for (Span each : spans) {
                if (each.overlaps(from, to)) {
                    return true;
                }
            }
        }
        return false;
    }

    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        Span span = new Span(from, until);
        pauses.computeIfAbsent(sidecar, name -> new ArrayList<>()).add(span);
        allSpans.add(span);
    }

    @Override
    public void clientLinkTroubled(String sidecar, String id, long from, long until) {
        Span span = new Span(from, until);
        if (id != null) {
            connections.computeIfAbsent(id, name -> new ArrayList<>()).add(span);
        } else {
            links.computeIfAbsent(sidecar, name -> new ArrayList<>()).add(span);
            allSpans.add(span);
        }
    }
}
