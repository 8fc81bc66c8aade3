package appleridge.lease;

/**
 * One process's part in one lease: a state machine that takes events with their times in and hands
 * requests out through {@link LeaseActions}. See {@link LeaseState} for its transitions.
 *
 * <p>Safety does not depend on ZooKeeper sessions. A record in the store names the holder, and is
 * written only if its version is still the one known. A write that was answered grants the lease
 * for slightly less than the term, counted from before the request was sent; others take a record
 * over only after seeing it unchanged for slightly more than the term.
 *
 * <p>Confined to one thread. All times are nanoseconds of one clock that also counts while the
 * process is stopped or the machine is suspended. A time passed in may be older than the true time,
 * and than a time passed before, by at most {@link LeaseParameters#clockGuardNanos()}.
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

    /** The last request before the lease was acquired anew; writes up to it prove nothing. */
    private long acquireRequestId;

    /** No operation starts before: those of the holder before may run until then. */
    private long earliestStartNanos;

    /** Whether a record of our own has yet to be marked as released. */
    private boolean releasePending;

    private long releaseAtNanos;
    private long requestAtNanos;
    private long idleAtNanos = NEVER;
    private long timerAtNanos = NEVER;

    /**
     * Creates a lease that is not asked for.
     *
     * @param parameters the same for all who want this lease
     * @param holder names this process to operators
     * @param incarnation unique to this object: no other lease, of this process or another, now or
     *     ever, has the same
     * @param actions what the lease asks for
     */
    public Lease(
            LeaseParameters parameters, String holder, String incarnation, LeaseActions actions) {
        this.parameters = parameters;
        this.actions = actions;
        requests = new StoreRequests(parameters, holder, incarnation);
        observed = new ObservedRecord(incarnation);
    }

    /** Asks for the lease; without effect while it is asked for or held. */
    public void acquire(long nowNanos) {
        if (state == LeaseState.RELEASED || state == LeaseState.LOST) {
            transitionTo(LeaseState.SEEKING, TransitionCause.NONE);
            observed.invalidate();
            acquireRequestId = requests.lastRequestId();
            actions.setQueued(true);
        }
        runDue(nowNanos);
    }

    /** Nobody waits ahead. Only the load on the store depends on this being true, never safety. */
    public void onHeadOfQueue(long nowNanos) {
        headOfQueue = state.isAcquiring();
        runDue(nowNanos);
    }

    /** The record may have changed: a read is due, nothing more is concluded. */
    public void onRecordChanged(long nowNanos) {
        observed.invalidate();
        runDue(nowNanos);
    }

    /**
     * Answers a read.
     *
     * @param recordOrNull the record as it was at some time after the request; null if there was
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

    /** Answers a write that was done and made this version. */
    public void onWritten(long nowNanos, long requestId, long version) {
        StoreRequests.StoreRequest write = requests.open();
        if (requests.close(requestId)) {
            observed.confirm();
            observe(nowNanos, write.next().withVersion(version));
        }
        runDue(nowNanos);
    }

    /**
     * Answers a write that found another version. That proves no other holder: if the request was
     * sent twice, its first copy may have made that version.
     */
    public void onConflict(long nowNanos, long requestId) {
        if (requests.close(requestId)) {
            markUnconfirmed(TransitionCause.OUTCOME_UNKNOWN);
        }
        runDue(nowNanos);
    }

    /** Answers a request of which it is unknown whether the store processed it. */
    public void onOutcomeUnknown(long nowNanos, long requestId) {
        StoreRequests.StoreRequest request = requests.open();
        if (requests.close(requestId)) {
            // A store that fails at once would be asked in a loop without this pause.
            requestAtNanos = request.sentAtNanos() + parameters.renewalIntervalNanos() / 4;
            markUnconfirmed(TransitionCause.OUTCOME_UNKNOWN);
        }
        runDue(nowNanos);
    }

    /** No request can be sent until {@link #onConnected}; the open one may be done or not. */
    public void onDisconnected(long nowNanos) {
        connected = false;
        requests.abandon();
        markUnconfirmed(TransitionCause.DISCONNECTED);
        runDue(nowNanos);
    }

    /** Requests can be sent again. That proves nothing about who holds the lease. */
    public void onConnected(long nowNanos) {
        connected = true;
        observed.invalidate();
        runDue(nowNanos);
    }

    /** The time asked for by {@link LeaseActions#setTimer}, or any other time. */
    public void onTimer(long nowNanos) {
        runDue(nowNanos);
    }

    /** The holder has ended all its operations and starts none: the next one may start at once. */
    public void release(long nowNanos) {
        release(nowNanos, nowNanos, TransitionCause.RELEASED);
    }

    /** The holder starts nothing more; the record is released once its operations have ended. */
    public void releaseAfterGracePeriod(long nowNanos) {
        release(nowNanos, nowNanos + parameters.gracePeriodNanos(), TransitionCause.RELEASED);
    }

    /** Releases after that time, unless an operation starts before; without effect if not held. */
    public void releaseWhenIdle(long nowNanos, long idleNanos) {
        idleAtNanos = grant == null ? NEVER : nowNanos + idleNanos;
        runDue(nowNanos);
    }

    /**
     * Whether an operation may start now that ends within that time. The answer holds for this
     * moment: ask right before the operation starts.
     */
    public boolean mayStart(long nowNanos, long durationNanos) {
        return grant != null
                && grant.covers(nowNanos, durationNanos)
                && (parameters.fenced() || durationNanos <= parameters.maxOperationNanos());
    }

    /**
     * Permits an operation that starts at once and ends within that time; it also ends an idle
     * time.
     *
     * @return null if it may not start
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

    /** What the last change of state came from. */
    public TransitionCause cause() {
        return cause;
    }

    /** The current grant; null if not held. */
    public Grant grant() {
        return grant;
    }

    /** The newest record seen, for operators; null for none. */
    public VersionedLease latestRecord() {
        return observed.record();
    }

    /** Whether the store has yet to learn that the lease was released. */
    public boolean isReleasePending() {
        return releasePending;
    }

    private void transitionTo(LeaseState next, TransitionCause why) {
        assert state.canBecome(next) : state + " to " + next;
        state = next;
        cause = why;
    }

    private void observe(long nowNanos, VersionedLease record) {
        observed.observe(nowNanos, record);
        if (state == LeaseState.STORE_DISTRUSTED) {
            transitionTo(LeaseState.SEEKING, TransitionCause.NONE);
        }
        // A write from before the lease was lost must not bring back a grant that had ended.
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

    /** Counts from before the request of the last write, which the store has. */
    private void extendGrant(long nowNanos) {
        StoreRequests.StoreRequest lastWrite = requests.lastWrite();
        long expiresAtNanos = lastWrite.sentAtNanos() + parameters.grantNanos();
        boolean isKnown =
                grant != null
                        && expiresAtNanos <= grant.expiresAtNanos()
                        && state == LeaseState.HELD;
        if (expiresAtNanos <= nowNanos || isKnown) {
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
            // The next holder waits for no operations after a release, so those of the holder
            // before this one must have ended as well.
            releaseAtNanos = Math.max(notBeforeNanos, earliestStartNanos);
        }
        runDue(nowNanos);
    }

    /** Does what is due now and sets the timer for what is due next. */
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
        if (requests.open() != null && nowNanos >= requests.answerDueNanos()) {
            requests.abandon();
            markUnconfirmed(TransitionCause.OUTCOME_UNKNOWN);
        }
        long dueNanos = connected && requests.open() == null ? requestDueNanos() : NEVER;
        if (nowNanos >= dueNanos) {
            sendRequest(nowNanos);
        }
        long nextNanos =
                Math.min(
                        requests.open() == null ? dueNanos : requests.answerDueNanos(),
                        idleAtNanos);
        nextNanos = grant == null ? nextNanos : Math.min(nextNanos, grant.expiresAtNanos());
        if (nextNanos != timerAtNanos) {
            timerAtNanos = nextNanos;
            actions.setTimer(nextNanos);
        }
    }

    /** When the next request is due; {@link #NEVER} for none. */
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

    /** Renews, releases or takes over; a take-over alone raises the fencing token. */
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
