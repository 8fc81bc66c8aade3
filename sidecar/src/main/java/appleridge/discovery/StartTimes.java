package appleridge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * When upstream hosts last started, on the sidecar's own clock. A start keeps the place on that
 * clock that it was given first, also when the wall clock has stepped since: a start that moved
 * between two lists would be taken for a restart. Not thread-safe.
 */
public final class StartTimes {
    private record Start(long unixMillis, long at) {}

    private final LongUnaryOperator place;
    private final Map<String, Start> starts = new HashMap<>();

    /** {@code place}: from Unix time in milliseconds to nanoseconds on the sidecar's clock. */
    public StartTimes(LongUnaryOperator place) {
        this.place = place;
    }

    /**
     * When a host started, in nanoseconds on the sidecar's clock; 0 for long ago.
     *
     * @param unixMillis the start as the list has it; 0 for long ago
     */
    public long clockNanos(String id, long unixMillis) {
        if (unixMillis == 0) {
            starts.remove(id);
            return 0;
        }
        Start known = starts.get(id);
        if (known == null || known.unixMillis != unixMillis) {
            known = new Start(unixMillis, place.applyAsLong(unixMillis));
            starts.put(id, known);
        }
        return known.at;
    }

    /** Forgets one that is listed no more. */
    public void forget(String id) {
        starts.remove(id);
    }

    /** Forgets all but these. */
    public void retain(Collection<String> ids) {
        starts.keySet().retainAll(ids);
    }
}
