package appleridge.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * Converts the starts of upstream hosts to the sidecar's clock. Each start is converted once and
 * keeps its value when the wall clock steps later: a start that changed between two lists would be
 * taken for a restart. Not thread-safe.
 */
public final class StartTimes {
    private record Start(long unixMillis, long clockNanos) {}

    private final LongUnaryOperator clockNanosOfUnixMillis;
    private final Map<String, Start> starts = new HashMap<>();

    /**
     * Creates it without any starts.
     *
     * @param clockNanosOfUnixMillis converts Unix time in milliseconds to nanoseconds on the
     *     sidecar's clock
     */
    public StartTimes(LongUnaryOperator clockNanosOfUnixMillis) {
        this.clockNanosOfUnixMillis = clockNanosOfUnixMillis;
    }

    /**
     * Returns when a host started, in nanoseconds on the sidecar's clock; 0 for long ago.
     *
     * @param unixMillis the start in the endpoint list; 0 for long ago
     */
    public long clockNanos(String id, long unixMillis) {
        if (unixMillis == 0) {
            starts.remove(id);
            return 0;
        }
        Start known = starts.get(id);
        if (known == null || known.unixMillis != unixMillis) {
            known = new Start(unixMillis, clockNanosOfUnixMillis.applyAsLong(unixMillis));
            starts.put(id, known);
        }
        return known.clockNanos;
    }

    /** Forgets the start of a host that is no longer listed. */
    public void forget(String id) {
        starts.remove(id);
    }

    /** Forgets the starts of all hosts but these. */
    public void retain(Collection<String> ids) {
        starts.keySet().retainAll(ids);
    }
}
