package appleridge.request;

/**
 * Brings what the sidecar knows up to date before an event from outside is handled.
 *
 * <p>Invariant: every event from outside begins with {@link #reconcile}, ahead of anything it
 * changes. After a stall of the event loop, discovery updates and client disconnects lie unread
 * behind the requests and responses that came with them; without this a request would be sent to a
 * host that drains, or for a client that has left. Event loop only.
 */
final class StallReconciler {
    private final MonotonicClock clock;
    private final long drainGraceNanos;
    private final EventLoopStallGuard guard;
    private final DeferredRequests deferred;
    private final RequestAccounting accounting;

    /** Null before {@link #start}. */
    private EndpointSubscription subscription;

    private boolean reconciling;
    private long eventCount;
    private long clientCheckCount;

    StallReconciler(
            MonotonicClock clock,
            long drainGraceNanos,
            DeferredRequests deferred,
            RequestAccounting accounting) {
        this.clock = clock;
        this.drainGraceNanos = drainGraceNanos;
        this.guard = new EventLoopStallGuard(clock.nanoTime(), drainGraceNanos);
        this.deferred = deferred;
        this.accounting = accounting;
    }

    /** From here on discovery and clients are read after a stall. */
    void start(EndpointSubscription source) {
        subscription = source;
    }

    /**
     * An event from outside is about to be handled. After a stall reads pending discovery updates
     * and then the pending input of all clients with open requests; an event that arises in there
     * is not reconciled again.
     */
    void reconcile() {
        eventCount++;
        guard.observe(clock.nanoTime());
        boolean stalled = guard.isStalled();
        if (stalled && guard.gapNanos() > drainGraceNanos && !deferred.isDeferring()) {
            deferred.beginAfterStall(accounting.openRequests(), guard.gapNanos());
        }
        if (guard.mayHaveMissedClients() && subscription != null && !reconciling) {
            reconciling = true;
            try {
                if (stalled) {
                    subscription.readPendingUpdates();
                }
                readPendingClientInput();
            } finally {
                reconciling = false;
            }
        }
    }

    /**
     * A response or a connection that is read ahead of a disconnect would let its request go on.
     */
    private void readPendingClientInput() {
        clientCheckCount++;
        for (PendingRequest request : accounting.trackedRequests()) {
            if (request.isOpen()) {
                request.client().readPendingInput();
            }
        }
    }

    /** The periodic tick of the event loop: all that was there before it has been read. */
    void tick() {
        reconcile();
        guard.onAllInputRead();
    }

    /** Whether what is read from clients now may have waited, and its client have left since. */
    boolean mayHaveWaitedUnread() {
        reconcile();
        return guard.mayHaveWaited();
    }

    /** Since when what is read from clients now may have been there. */
    long earliestArrivalNanos() {
        reconcile();
        return guard.earliestArrivalNanos();
    }

    /** The time of the last event. */
    long lastEventNanos() {
        return guard.lastEventNanos();
    }

    long eventCount() {
        return eventCount;
    }

    long clientCheckCount() {
        return clientCheckCount;
    }
}
