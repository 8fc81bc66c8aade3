package appleridge.testbed.standin;

import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that groups of servers remember, so that a repeat has no effect. */
public final class RepeatMemory {
    private record Group(String zone, String key) {}

    private final long extra;
    private final Map<Group, Long> since = new HashMap<>();

    /** `extra` nanoseconds are added to the window of each class. */
    public RepeatMemory(long extra) {
        this.extra = extra;
    }

    /** Whether a request takes effect: its class has no key, or its group does not know the key. */
    public boolean takesEffect(RequestKind kind, String key, String zone, long now) {
        if (!kind.repeats().keyed()) {
            return true;
        }
        boolean byZone = kind.repeats() == RequestKind.Repeats.KEYED_BY_ZONE;
        Group group = new Group(byZone ? zone : "", kind.name() + " " + key);
        Long first = since.get(group);
        if (first != null && now <= first + kind.window() + extra) {
            return false;
        }
        since.put(group, now);
        return true;
    }
}
