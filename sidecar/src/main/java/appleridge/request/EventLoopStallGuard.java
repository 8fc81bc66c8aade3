package appleridge.request;

import java.util.concurrent.TimeUnit;

/**
 * Knows, from the times of events alone, how late the event loop is: how long nothing was handled,
 * and for how long what is read now may have waited unread. It decides what has to be looked at
 * again; who asks it looks.
 *
 * <p>Invariant: what came while the loop was late is not handled as if it had just come. All times
 * are nanoseconds on the loop's own clock.
 */
final class EventLoopStallGuard {
    /**
     * The longest stall after which the list is not caught up with; half of what drains allow, if
     * less.
     */
    private static final long LONGEST_UNCHECKED = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * A gap of so much tells that the loop was late; for as long after, what is read may have come
     * in it.
     */
    private static final long LATE = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * From a gap of so much on, clients are looked at: no attempt may begin more than 0.1 s after
     * its client has left. Twice as long as from one {@link #allRead} to the next, so that a quiet
     * loop looks at nobody.
     */
    private static final long CLIENTS_UNSEEN = TimeUnit.MILLISECONDS.toNanos(80);

    /** For so long after a stall, what is read may have waited since before. */
    private static final long AFTERMATH = TimeUnit.SECONDS.toNanos(1);

    private final long stall;
    private long lastEvent;
    private long gap;
    private boolean stalled;
    private boolean clientsUnchecked;
    private long stalledUntil;

    /** The last event before the loop was late, and the first one after. */
    private long lateFrom;

    private long lateUntil;

    /** The first event after the first of late turns in a row. */
    private long lateSince;

    /** When all that was there had last been read, or clients had been looked at. */
    private long allReadAt;

    /** When clients were last looked at because the loop was late. */
    private long lookedAt;

    /**
     * Begins to watch.
     *
     * @param now the time
     * @param drainGrace within which news of the list has to take effect
     */
    EventLoopStallGuard(long now, long drainGrace) {
        this.stall = Math.min(LONGEST_UNCHECKED, Math.max(LATE, drainGrace / 2));
        this.lastEvent = now;
        this.allReadAt = now;
        this.stalledUntil = now - AFTERMATH;
        this.lateUntil = now - AFTERMATH;
        this.lookedAt = now - AFTERMATH;
    }

    /** An event is about to be handled; to be asked about afterwards. */
    void observe(long now) {
        gap = now - lastEvent;
        stalled = gap > stall;
        if (stalled) {
            stalledUntil = now;
        }
        if (gap > LATE) {
            noteLate(now);
        }
        // Danger: where much is read at once, one after the other, there is no gap, and yet what is
        // read
        // last has waited for as long as all of it took.
        clientsUnchecked = gap > CLIENTS_UNSEEN || now - allReadAt > CLIENTS_UNSEEN;
        if (clientsUnchecked) {
            lookedAt = now;
            allReadAt = now;
        }
        lastEvent = now;
    }

    /**
     * Danger: late again so soon, the loop has not come to the end of what came before: connections
     * are accepted four at a time, and a new one's request is looked at one turn later. But one
     * that is late for good has come to it, or all that is read would be too old.
     */
    private void noteLate(long now) {
        boolean again = lastEvent - lateUntil < LATE;
        lateSince = again ? lateSince : now;
        lateFrom = again && now - lateSince < AFTERMATH ? lateFrom : lastEvent;
        lateUntil = now;
    }

    /** A timer has come up, and all that was there before it has been read. */
    void allRead() {
        allReadAt = lastEvent;
    }

    /** The time of the last event. */
    long lastEvent() {
        return lastEvent;
    }

    /** Nanoseconds between the last event and the one before. */
    long gap() {
        return gap;
    }

    /** Whether the last event came after a stall so long that the list has to be caught up with. */
    boolean isStalled() {
        return stalled;
    }

    /**
     * Whether a client may have left unnoticed: clients are to be looked at before anything is
     * sent.
     */
    boolean mayHaveMissedClients() {
        return clientsUnchecked;
    }

    /**
     * Whether what is read from clients now may have waited unread, and its client have left since.
     */
    boolean mayHaveWaited() {
        return lastEvent - stalledUntil < AFTERMATH || lastEvent - lookedAt < LATE;
    }

    /**
     * Since when what is read from clients now may have been there. Danger: counted from when the
     * loop comes to read it, a request that waited is answered as much later than its client waits
     * for it; so what is read soon after the loop was late counts as having come at the last event
     * before.
     */
    long arrivedAt() {
        return lastEvent - lateUntil < LATE ? lateFrom : lastEvent;
    }
}
