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
    private static final long MOST_LOAD = TimeSpans.SECOND;

    private final Load load;
    private final long usualWork;
    private final Map<String, List<Span>> pauses = new HashMap<>();
    private final Map<String, List<Span>> links = new HashMap<>();
    private final Map<String, List<Span>> connections = new HashMap<>();

    /** Pauses and links of all sidecars, for clients of whom it isn't known whom they ask. */
    private final List<Span> any = new ArrayList<>();

    /**
     * With what says how loaded the loops are.
     *
     * @param usualWork a loop that is busy for no longer than this is within its usual margin
     */
    ExcusedTimes(Load load, long usualWork) {
        this.load = load;
        this.usualWork = usualWork;
    }

    /** A time limit with what excuses a request of this sidecar. */
    long extended(ClientAttempt asking, long from, long until) {
        long end = unloaded(asking, from, until);
        return Math.min(
                TimeSpans.plus(end, MOST_LOAD),
                lengthened(
                        load.busy(asking.sidecar()).stream()
                                .filter(each -> each.until() - each.from() > usualWork)
                                .toList(),
                        from,
                        end));
    }

    private long unloaded(ClientAttempt asking, long from, long until) {
        long end = lengthened(pauses.get(asking.sidecar()), from, until);
        end = lengthened(links.get(asking.sidecar()), from, end);
        return lengthened(connections.get(asking.id()), from, end);
    }

    /** A time limit with what excuses a client of any sidecar. */
    long extendedForAny(long from, long until) {
        return lengthened(any, from, until);
    }

    /** Whether its way to and from its client was in trouble. */
    boolean linkTroubled(ClientAttempt asking, long from, long to) {
        return meets(links.get(asking.sidecar()), from, to)
                || meets(connections.get(asking.id()), from, to);
    }

    boolean paused(String sidecar, long from, long to) {
        return meets(pauses.get(sidecar), from, to);
    }

    /** Whether the ways to and from all its clients were in trouble. */
    boolean linksTroubled(String sidecar, long from, long to) {
        return meets(links.get(sidecar), from, to);
    }

    private static long lengthened(List<Span> spans, long from, long until) {
        long end = until;
        if (spans != null) {
            for (Span each : spans) {
                if (each.meets(from, end)) {
                    end = TimeSpans.plus(end, each.until() - Math.max(from, each.from()));
                }
            }
        }
        return end;
    }

    private static boolean meets(List<Span> spans, long from, long to) {
        if (spans != null) {
            for (Span each : spans) {
                if (each.meets(from, to)) {
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
        any.add(span);
    }

    @Override
    public void clientLinkTroubled(String sidecar, String id, long from, long until) {
        Span span = new Span(from, until);
        if (id != null) {
            connections.computeIfAbsent(id, name -> new ArrayList<>()).add(span);
        } else {
            links.computeIfAbsent(sidecar, name -> new ArrayList<>()).add(span);
            any.add(span);
        }
    }
}
