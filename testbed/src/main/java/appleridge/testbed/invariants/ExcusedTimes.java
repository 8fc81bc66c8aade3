package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Spans of time that excuse a sidecar: its loop was paused or overloaded, or the link to its
 * clients was in trouble. A time limit that overlaps such a span is extended by the span's
 * remaining length.
 */
final class ExcusedTimes implements DayListener {
    /** Upper bound of what overload of the loop excuses. */
    private static final long MAX_LOAD_EXCUSE = TimeSpans.SECOND;

    private final LoopLoad load;
    private final long normalBusyTime;
    private final Map<String, List<Span>> pauses = new HashMap<>();
    private final Map<String, List<Span>> links = new HashMap<>();
    private final Map<String, List<Span>> connections = new HashMap<>();

    /** Pauses and link troubles of all sidecars, for clients whose sidecar is not known. */
    private final List<Span> allSpans = new ArrayList<>();

    /**
     * Creates an empty set of spans.
     *
     * @param normalBusyTime a loop that is busy for no longer than this is within its normal margin
     */
    ExcusedTimes(LoopLoad load, long normalBusyTime) {
        this.load = load;
        this.normalBusyTime = normalBusyTime;
    }

    /** Returns a time limit extended by what excuses this attempt. */
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

    /** Returns a time limit extended by what excuses any sidecar. */
    long extendedForAny(long from, long until) {
        return extend(allSpans, from, until);
    }

    /** Returns whether the link between the client and its sidecar was in trouble. */
    boolean linkTroubled(ClientAttempt attempt, long from, long to) {
        return overlaps(links.get(attempt.sidecar()), from, to)
                || overlaps(connections.get(attempt.id()), from, to);
    }

    boolean paused(String sidecar, long from, long to) {
        return overlaps(pauses.get(sidecar), from, to);
    }

    /** Returns whether the links of all clients of this sidecar were in trouble. */
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
