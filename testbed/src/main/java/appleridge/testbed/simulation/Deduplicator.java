package appleridge.testbed.simulation;

import java.util.HashMap;
import java.util.Map;

/** What one group of order servers remembers together of the keys that it has taken. */
final class Deduplicator {
    private final long window;
    private final Map<String, Long> taken = new HashMap<>();

    Deduplicator(long window) {
        this.window = window;
    }

    /** Whether this key was taken within the window; else it is now. */
    boolean isDuplicate(String key, long now) {
        Long before = taken.get(key);
        if (before != null && now - before < window) {
            return true;
        }
        taken.put(key, now);
        return false;
    }

    /** What was taken under this key has not run after all. */
    void forget(String key) {
        taken.remove(key);
    }
}
