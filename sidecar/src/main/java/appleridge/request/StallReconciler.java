package appleridge.request;

/**
 * Reads pending discovery updates and client input after a stall of the event loop, before an
 * external event is handled.
 *
 * <p>Invariant: the handling of every external event calls {@link #reconcile} before it changes
 * anything. After a stall, requests and responses may be read ahead of the discovery updates and
 * client disconnects that arrived with them; without this a request would be sent to a draining
 * host, or for a client that has disconnected. Event loop only.
 */
final class StallReconciler {
    private final MonotonicClock clock;
    private final long drainGraceNanos;
    private final EventLoopStallGuard guard;
    private final EndpointListGate endpointList;
    private final RequestAccounting accounting;

    /** Null before {@link #start}. */
    private EndpointSubscription subscription;

    private boolean reconciling;
    private long eventCount;
    private long clientCheckCount;

    StallReconciler(
            MonotonicClock clock,
            long drainGraceNanos,
            EndpointListGate endpointList,
            RequestAccounting accounting) {
        this.clock = clock;
        this.drainGraceNanos = drainGraceNanos;
        this.guard = new EventLoopStallGuard(clock.nanoTime(), drainGraceNanos);
        this.endpointList = endpointList;
        this.accounting = accounting;
    }

    /** Sets the source of discovery updates; from now on pending input is read after a stall. */
    void start(EndpointSubscription source) {
        subscription = source;
    }

    /**
     * To be called before an external event is handled. After a stall it reads pending discovery
     * updates and then the pending input of all clients with open requests. Events that arise while
     * it reads do not make it read again.
     */
    void reconcile() {
        eventCount++;
        guard.observe(clock.nanoTime());
        boolean stalled = guard.isStalled();
        if (stalled && guard.gapNanos() > drainGraceNanos) {
            endpointList.beginCatchUpAfterStall(accounting.openRequests(), guard.gapNanos());
        }
        if (guard.mayHaveMissedClients() && subscription != null && !reconciling) {
            reconciling = true;
            try {
                if (stalled) {
                    subscription.readPendingUpdates(guard.lastEventNanos() - guard.gapNanos());
                    endpointList.onPendingUpdatesRead();
                }
                readPendingClientInput();
            } finally {
                reconciling = false;
            }
        }
    }

    /**
     * Reads the input of all clients with open requests. Otherwise a response or a connection that
     * is read ahead of a disconnect would make the request continue.
     */
    private void readPendingClientInput() {
        clientCheckCount++;
        for (PendingRequest request : accounting.trackedRequests()) {
            if (request.isOpen()) {
                request.client().readPendingInput();
            }
        }
    }

    /** Handles the periodic tick, before which all input that had arrived has been read. */
    void tick() {
        reconcile();
        guard.onAllInputRead();
    }

    /**
     * Whether input that is read from a client now may have waited unread, so that the client may
     * have disconnected since.
     */
    boolean mayHaveWaitedUnread() {
        reconcile();
        return guard.mayHaveWaited();
    }

    /** The earliest time at which input that is read from clients now may have arrived. */
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
