package appleridge.testbed.simulation;

import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that a group of order servers has processed within a time window. */
final class Deduplicator {
    private final long window;
    private final Map<String, Long> recordedAt = new HashMap<>();

    /** {@code window}: nanoseconds for which a key is remembered. */
    Deduplicator(long window) {
        this.window = window;
    }

    /** Returns whether a key was recorded within the window; records it if not. */
    boolean isDuplicate(String key, long now) {
        Long before = recordedAt.get(key);
        if (before != null && now - before < window) {
            return true;
        }
        recordedAt.put(key, now);
        return false;
    }

    /** Removes a key whose request was not processed after all. */
    void forget(String key) {
        recordedAt.remove(key);
    }
}
