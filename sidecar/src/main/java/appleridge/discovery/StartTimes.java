package appleridge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * When upstreams last started, on the sidecar's own clock. Danger: an upstream whose start moved
 * between two lists would be taken for restarted, so a start keeps the place that it was given
 * first, also when the wall clock by which it was placed has stepped since.
 */
public final class StartTimes {
    private record Start(long unixMillis, long at) {}

    private final LongUnaryOperator place;
    private final Map<String, Start> starts = new HashMap<>();

    /** With what places a Unix time in milliseconds on the sidecar's clock. */
    public StartTimes(LongUnaryOperator place) {
        this.place = place;
    }

    /** When an upstream started, from the Unix time that the list has; 0 for long ago. */
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
