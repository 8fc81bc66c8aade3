package appleridge.discovery.ephemeral;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Ids of servers with unpublished changes, in the order of the changes. Ids that the current event
 * touches are kept apart until the event is handled. Not thread-safe.
 */
final class PendingChanges {
    private static final long NEVER = Long.MAX_VALUE;

    private final List<String> touched = new ArrayList<>();
    private final Set<String> unpublished = new LinkedHashSet<>();
    private long unpublishedSinceNanos = NEVER;

    /** Notes that the current event has changed this server. */
    void touch(String id) {
        touched.add(id);
    }

    /** Returns the ids that the current event touched, with repetitions. */
    List<String> touched() {
        return touched;
    }

    /** Ends the current event, which was notified at this time; what it touched is pending. */
    void endEvent(long notifiedAtNanos) {
        if (!touched.isEmpty()) {
            unpublished.addAll(touched);
            unpublishedSinceNanos = Math.min(unpublishedSinceNanos, notifiedAtNanos);
            touched.clear();
        }
    }

    /** Returns when the first pending change was notified, or {@code nowNanos} if earlier. */
    long sinceNanos(long nowNanos) {
        return Math.min(unpublishedSinceNanos, nowNanos);
    }

    /** Removes these ids from the pending ones. */
    void remove(Collection<String> ids) {
        unpublished.removeAll(ids);
    }

    /** Removes and returns all pending ids. */
    Collection<String> drain() {
        List<String> drained = List.copyOf(unpublished);
        unpublished.clear();
        unpublishedSinceNanos = NEVER;
        return drained;
    }
}
