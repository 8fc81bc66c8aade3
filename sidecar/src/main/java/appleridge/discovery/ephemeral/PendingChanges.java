package appleridge.discovery.ephemeral;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Ids of servers of which something has changed and was not published yet, in the order in which
 * they changed. Those of the event that is being handled are kept apart until it is over. Not
 * thread-safe.
 */
final class PendingChanges {
    private static final long NEVER = Long.MAX_VALUE;

    private final List<String> touched = new ArrayList<>();
    private final Set<String> unpublished = new LinkedHashSet<>();
    private long unpublishedSinceNanos = NEVER;

    /** The present event has changed something of this server. */
    void touch(String id) {
        touched.add(id);
    }

    /** Ids that the present event touched, with repetitions. */
    List<String> touched() {
        return touched;
    }

    /** The present event, which was notified at this time, is over: what it touched waits. */
    void endEvent(long notifiedAtNanos) {
        if (!touched.isEmpty()) {
            unpublished.addAll(touched);
            unpublishedSinceNanos = Math.min(unpublishedSinceNanos, notifiedAtNanos);
            touched.clear();
        }
    }

    /** When the first of what waits was notified, or {@code nowNanos} if that is earlier. */
    long sinceNanos(long nowNanos) {
        return Math.min(unpublishedSinceNanos, nowNanos);
    }

    /** These don't wait any more. */
    void remove(Collection<String> ids) {
        unpublished.removeAll(ids);
    }

    /** All that waits, which waits no more. */
    Collection<String> drain() {
        List<String> drained = List.copyOf(unpublished);
        unpublished.clear();
        unpublishedSinceNanos = NEVER;
        return drained;
    }
}
