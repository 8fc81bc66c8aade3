package appleridge.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * A process with a lease on a store in memory. Requests of the lease stay open until the test has
 * them applied to the store and their results delivered.
 */
final class SimulatedHolder implements LeaseActions {
    /** A store of one record, shared by all processes that compete for it. */
    static final class Store {
        VersionedLease record;
        long versions;
    }

    /** A read or a write; the record to be written is null for a read. */
    private record OpenRequest(long requestId, long expectedVersion, VersionedLease next) {}

    final Store store;
    final Lease lease;
    final List<Grant> grants = new ArrayList<>();
    final List<TransitionCause> stops = new ArrayList<>();
    boolean queued;
    long timerAt = Long.MAX_VALUE;
    private OpenRequest open;

    SimulatedHolder(Store store, LeaseParameters parameters, String name, String incarnation) {
        this.store = store;
        this.lease = new Lease(parameters, name, incarnation, this);
    }

    /** Fires the timer if it is due, and completes requests at once until none is open. */
    void settle(long now) {
        if (timerAt <= now) {
            lease.onTimer(now);
        }
        while (open != null) {
            deliver(now, applyToStore());
        }
    }

    /** Acquires the lease at the head of the queue and completes all requests at once. */
    SimulatedHolder acquire(long now) {
        lease.acquire(now);
        lease.onHeadOfQueue(now);
        settle(now);
        return this;
    }

    boolean hasOpenRequest() {
        return open != null;
    }

    /**
     * Applies the open request to the store now and leaves it open.
     *
     * @return delivers the result, at the given time of the lease
     */
    Runnable applyForDelivery(long deliveredAt) {
        OpenRequest request = open;
        Object result = applyToStore();
        open = request;
        return () -> deliver(deliveredAt, request, result);
    }

    /**
     * Applies the open request to the store.
     *
     * @return the record that was read, the version that was written, or null for a conflict
     */
    private Object applyToStore() {
        OpenRequest request = open;
        if (request.next == null) {
            return store.record;
        }
        if (request.expectedVersion != (store.record == null ? -1 : store.record.version())) {
            return null;
        }
        VersionedLease next = request.next;
        store.record =
                new VersionedLease(
                        store.versions++,
                        next.token(),
                        next.holder(),
                        next.nonce(),
                        next.termNanos(),
                        next.released());
        return store.record.version();
    }

    private void deliver(long now, Object result) {
        deliver(now, open, result);
    }

    private void deliver(long now, OpenRequest request, Object result) {
        open = open == request ? null : open;
        if (request.next == null) {
            lease.onRead(now, request.requestId, (VersionedLease) result);
        } else if (result == null) {
            lease.onConflict(now, request.requestId);
        } else {
            lease.onWritten(now, request.requestId, (Long) result);
        }
    }

    /** Completes the open request with an unknown outcome. */
    void completeUnknown(long now) {
        OpenRequest request = open;
        open = null;
        lease.onOutcomeUnknown(now, request.requestId);
    }

    @Override
    public void readRecord(long requestId) {
        open = new OpenRequest(requestId, 0, null);
    }

    @Override
    public void writeRecord(long requestId, long expectedVersion, VersionedLease next) {
        open = new OpenRequest(requestId, expectedVersion, next);
    }

    @Override
    public void setTimer(long atNanos) {
        timerAt = atNanos;
    }

    @Override
    public void onGranted(Grant grant) {
        grants.add(grant);
    }

    @Override
    public void stopOperations(TransitionCause why) {
        stops.add(why);
    }

    @Override
    public void setQueued(boolean queued) {
        this.queued = queued;
    }
}
