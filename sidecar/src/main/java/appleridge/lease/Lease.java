package appleridge.lease;

/**
 * State machine of one process's part in one lease. Events come in with their times, and requests
 * to the store go out through {@link LeaseActions}. {@link LeaseState} lists the transitions.
 *
 * <p>Safety does not depend on ZooKeeper sessions. A record in the store names the holder, and is
 * written only if its version is still the last one seen. A confirmed write grants the lease for
 * slightly less than the term, counted from before the request was sent; another process takes the
 * record over only after it has seen it unchanged for slightly more than the term.
 *
 * <p>Confined to one thread. All times are nanoseconds of one clock that keeps counting while the
 * process is stopped or the machine is suspended. A time passed in may lag behind the true time,
 * and behind a time passed earlier, by at most {@link LeaseParameters#clockGuardNanos()}.
 */
public final class Lease {
    private static final long NEVER = Long.MAX_VALUE;

    /** The expected version of a write that creates the record. */
    private static final long NO_VERSION = -1;

    private final LeaseParameters parameters;
    private final LeaseActions actions;
    private final StoreRequests requests;
    private final ObservedRecord observed;

    private LeaseState state = LeaseState.RELEASED;
    private TransitionCause cause = TransitionCause.NONE;

    /** Null unless the lease is held. */
    private Grant grant;

    private boolean connected = true;
    private boolean headOfQueue;

    /** The last request before the current acquisition began; writes up to it prove no grant. */
    private long acquireRequestId;

    /** The earliest start of an operation: those of the previous holder may run until then. */
    private long earliestStartNanos;

    /** Whether this lease's own record has yet to be marked as released in the store. */
    private boolean releasePending;

    private long releaseAtNanos;
    private long requestAtNanos;
    private long idleAtNanos = NEVER;
    private long timerAtNanos = NEVER;

    /**
     * Creates a lease that is not wanted yet.
     *
     * @param parameters the same in all processes that compete for this lease
     * @param holder the name of this process, for operators
     * @param incarnation unique to this object: no other lease object of any process ever has the
     *     same
     * @param actions receives the requests of this lease
     */
    public Lease(
            LeaseParameters parameters, String holder, String incarnation, LeaseActions actions) {
        this.parameters = parameters;
        this.actions = actions;
        requests = new StoreRequests(parameters, holder, incarnation);
        observed = new ObservedRecord(incarnation);
    }

    /** Starts to acquire the lease; no effect while it is being acquired or held. */
    public void acquire(long nowNanos) {
        if (state == LeaseState.RELEASED || state == LeaseState.LOST) {
            transitionTo(LeaseState.SEEKING, TransitionCause.NONE);
            observed.invalidate();
            acquireRequestId = requests.lastRequestId();
            actions.setQueued(true);
        }
        runDue(nowNanos);
    }

    /** This process is first in the queue. A false report loads the store but is never unsafe. */
    public void onHeadOfQueue(long nowNanos) {
        headOfQueue = state.isAcquiring();
        runDue(nowNanos);
    }

    /** The record may have changed. Only makes a read due; nothing else is concluded from it. */
    public void onRecordChanged(long nowNanos) {
        observed.invalidate();
        runDue(nowNanos);
    }

    /**
     * Handles the result of a read.
     *
     * @param recordOrNull the record as of some time after the request was sent; null if there was
     *     none
     */
    public void onRead(long nowNanos, long requestId, VersionedLease recordOrNull) {
        if (requests.close(requestId)) {
            observed.confirm();
            if (observed.isRegression(recordOrNull)) {
                distrustStore(
                        nowNanos,
                        recordOrNull == null
                                ? TransitionCause.RECORD_MISSING
                                : TransitionCause.RECORD_ROLLED_BACK);
            } else if (recordOrNull != null) {
                observe(nowNanos, recordOrNull);
            }
        }
        runDue(nowNanos);
    }

    /** Handles the result of a write that succeeded and produced this version. */
    public void onWritten(long nowNanos, long requestId, long version) {
        StoreRequests.StoreRequest write = requests.open();
        if (requests.close(requestId)) {
            observed.confirm();
            observe(nowNanos, write.next().withVersion(version));
        }
        runDue(nowNanos);
    }

    /**
     * Handles the result of a write that found another version. This doesn't prove another holder:
     * if the request was sent twice, its first copy may have produced that version.
     */
    public void onConflict(long nowNanos, long requestId) {
        if (requests.close(requestId)) {
            markUnconfirmed(TransitionCause.OUTCOME_UNKNOWN);
        }
        runDue(nowNanos);
    }

    /** Handles a request of which it is unknown whether the store processed it. */
    public void onOutcomeUnknown(long nowNanos, long requestId) {
        StoreRequests.StoreRequest request = requests.open();
        if (requests.close(requestId)) {
            // Without this delay, a store that fails at once would be queried in a busy loop.
            requestAtNanos = request.sentAtNanos() + parameters.renewalIntervalNanos() / 4;
            markUnconfirmed(TransitionCause.OUTCOME_UNKNOWN);
        }
        runDue(nowNanos);
    }

    /** No request can be sent until {@link #onConnected}; the open one may have been processed. */
    public void onDisconnected(long nowNanos) {
        connected = false;
        requests.abandon();
        markUnconfirmed(TransitionCause.DISCONNECTED);
        runDue(nowNanos);
    }

    /** Requests can be sent again. A connection proves nothing about who holds the lease. */
    public void onConnected(long nowNanos) {
        connected = true;
        observed.invalidate();
        runDue(nowNanos);
    }

    /** Does what is due: at the time set by {@link LeaseActions#setTimer}, or at any other. */
    public void onTimer(long nowNanos) {
        runDue(nowNanos);
    }

    /** Releases the lease after all operations have ended: the next holder may start at once. */
    public void release(long nowNanos) {
        release(nowNanos, nowNanos, TransitionCause.RELEASED);
    }

    /** Starts no more operations, and releases the record once the running ones have ended. */
    public void releaseAfterGracePeriod(long nowNanos) {
        release(nowNanos, nowNanos + parameters.gracePeriodNanos(), TransitionCause.RELEASED);
    }

    /** Releases after that time unless an operation starts before; no effect if not held. */
    public void releaseWhenIdle(long nowNanos, long idleNanos) {
        idleAtNanos = grant == null ? NEVER : nowNanos + idleNanos;
        runDue(nowNanos);
    }

    /**
     * Whether an operation may start now that ends within {@code durationNanos}. Valid only at this
     * moment: call it right before the operation starts.
     */
    public boolean mayStart(long nowNanos, long durationNanos) {
        return grant != null
                && grant.covers(nowNanos, durationNanos)
                && (parameters.fenced() || durationNanos <= parameters.maxOperationNanos());
    }

    /**
     * Permits an operation that starts at once and ends within {@code durationNanos}; also cancels
     * a pending {@link #releaseWhenIdle}.
     *
     * @return null if the operation may not start
     */
    public Permission tryStart(long nowNanos, long durationNanos) {
        if (!mayStart(nowNanos, durationNanos)) {
            return null;
        }
        idleAtNanos = NEVER;
        return Permission.under(grant, parameters);
    }

    /** The current state. */
    public LeaseState state() {
        return state;
    }

    /** The cause of the last state transition. */
    public TransitionCause cause() {
        return cause;
    }

    /** The current grant; null if the lease is not held. */
    public Grant grant() {
        return grant;
    }

    /** The newest record seen, for operators; null if none was seen. */
    public VersionedLease latestRecord() {
        return observed.record();
    }

    /** Whether the release has yet to be written to the store. */
    public boolean isReleasePending() {
        return releasePending;
    }

    private void transitionTo(LeaseState next, TransitionCause why) {
        assert state.canBecome(next) : "invalid state transition: " + state + " to " + next;
        state = next;
        cause = why;
    }

    private void observe(long nowNanos, VersionedLease record) {
        observed.observe(nowNanos, record);
        if (state == LeaseState.STORE_DISTRUSTED) {
            transitionTo(LeaseState.SEEKING, TransitionCause.NONE);
        }
        // A write sent before the lease was lost must not restore the grant that has ended.
        boolean proven = requests.wroteAfter(acquireRequestId, record);
        if (record.released()) {
            releasePending = releasePending && !observed.isOwn(record);
        } else if (proven && !releasePending && (state == LeaseState.SEEKING || grant != null)) {
            extendGrant(nowNanos);
        } else if (grant != null && observed.isOwn(record)) {
            transitionTo(LeaseState.HELD, TransitionCause.NONE);
        }
        if (grant != null && (record.released() || !observed.isOwn(record))) {
            lose(TransitionCause.TAKEN_OVER);
        }
    }

    /** Grants from the time before the last write was sent; the store is known to hold it. */
    private void extendGrant(long nowNanos) {
        StoreRequests.StoreRequest lastWrite = requests.lastWrite();
        long expiresAtNanos = lastWrite.sentAtNanos() + parameters.grantNanos();
        boolean isRedundant =
                grant != null
                        && expiresAtNanos <= grant.expiresAtNanos()
                        && state == LeaseState.HELD;
        if (expiresAtNanos <= nowNanos || isRedundant) {
            return;
        }
        if (grant == null) {
            headOfQueue = false;
            actions.setQueued(false);
        }
        transitionTo(LeaseState.HELD, TransitionCause.NONE);
        grant = new Grant(lastWrite.next().token(), earliestStartNanos, expiresAtNanos);
        actions.onGranted(grant);
    }

    private void markUnconfirmed(TransitionCause why) {
        observed.invalidate();
        if (state == LeaseState.HELD) {
            transitionTo(LeaseState.UNCONFIRMED, why);
        }
    }

    private void lose(TransitionCause why) {
        transitionTo(LeaseState.LOST, why);
        grant = null;
        idleAtNanos = NEVER;
        actions.stopOperations(why);
    }

    private void distrustStore(long nowNanos, TransitionCause why) {
        releasePending = false;
        if (grant != null) {
            lose(why);
            transitionTo(LeaseState.SEEKING, why);
            actions.setQueued(true);
        }
        if (state.isAcquiring()) {
            transitionTo(LeaseState.STORE_DISTRUSTED, why);
            requestAtNanos = nowNanos + parameters.termNanos();
        }
    }

    private void release(long nowNanos, long notBeforeNanos, TransitionCause why) {
        if (state.isAcquiring()) {
            actions.setQueued(false);
        }
        if (state != LeaseState.RELEASED) {
            transitionTo(LeaseState.RELEASED, why);
            grant = null;
            headOfQueue = false;
            idleAtNanos = NEVER;
            releasePending = requests.lastWrite() != null;
            // The next holder doesn't wait after a release, so the operations of the previous
            // holder must have ended as well.
            releaseAtNanos = Math.max(notBeforeNanos, earliestStartNanos);
        }
        runDue(nowNanos);
    }

    /** Does everything that is due now and sets the timer for what is due next. */
    private void runDue(long nowNanos) {
        if (grant != null && nowNanos >= grant.expiresAtNanos()) {
            lose(TransitionCause.EXPIRED);
        }
        if (nowNanos >= idleAtNanos) {
            actions.stopOperations(TransitionCause.IDLE);
            idleAtNanos = NEVER;
            release(nowNanos, nowNanos + parameters.gracePeriodNanos(), TransitionCause.IDLE);
            return;
        }
        if (requests.open() != null && nowNanos >= requests.responseDueNanos()) {
            requests.abandon();
            markUnconfirmed(TransitionCause.OUTCOME_UNKNOWN);
        }
        long dueNanos = connected && requests.open() == null ? requestDueNanos() : NEVER;
        if (nowNanos >= dueNanos) {
            sendRequest(nowNanos);
        }
        long nextNanos =
                Math.min(
                        requests.open() == null ? dueNanos : requests.responseDueNanos(),
                        idleAtNanos);
        nextNanos = grant == null ? nextNanos : Math.min(nextNanos, grant.expiresAtNanos());
        if (nextNanos != timerAtNanos) {
            timerAtNanos = nextNanos;
            actions.setTimer(nextNanos);
        }
    }

    /** The time at which the next request is due; {@link #NEVER} for none. */
    private long requestDueNanos() {
        boolean acquires = state == LeaseState.SEEKING && headOfQueue;
        boolean distrusts = state == LeaseState.STORE_DISTRUSTED;
        if (!releasePending && grant == null && !acquires && !distrusts) {
            return NEVER;
        }
        if (needsRead()) {
            return requestAtNanos;
        }
        if (releasePending) {
            return observed.isOwn() ? Math.max(releaseAtNanos, requestAtNanos) : requestAtNanos;
        }
        if (grant != null) {
            long sentAtNanos = grant.expiresAtNanos() - parameters.grantNanos();
            return Math.max(sentAtNanos + parameters.renewalIntervalNanos(), requestAtNanos);
        }
        return observed.isFree()
                ? requestAtNanos
                : Math.max(observed.takeOverAtNanos(parameters), requestAtNanos);
    }

    private boolean needsRead() {
        return !observed.isCurrent() || state == LeaseState.STORE_DISTRUSTED;
    }

    private void sendRequest(long nowNanos) {
        if (needsRead()) {
            actions.readRecord(requests.openRead(nowNanos).requestId());
        } else if (releasePending && !observed.isOwn()) {
            releasePending = false;
        } else {
            write(nowNanos);
        }
    }

    /** Writes a renewal, release or take-over; only a take-over increases the fencing token. */
    private void write(long nowNanos) {
        VersionedLease seen = observed.record();
        boolean takesOver = !releasePending && grant == null;
        long token = seen == null ? 1 : seen.token() + (takesOver ? 1 : 0);
        if (takesOver) {
            boolean noneBefore = seen == null || seen.released();
            earliestStartNanos = nowNanos + (noneBefore ? 0 : parameters.gracePeriodNanos());
        }
        StoreRequests.StoreRequest write = requests.openWrite(nowNanos, token, releasePending);
        actions.writeRecord(
                write.requestId(), seen == null ? NO_VERSION : seen.version(), write.next());
    }
}
