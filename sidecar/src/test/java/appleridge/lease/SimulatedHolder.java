package appleridge.lease;

import java.util.ArrayList;
import java.util.List;

/** A holder with a store of its own making: what it asks waits until the test lets it happen. */
final class SimulatedHolder implements LeaseActions {
    /** The one record, for all who share it. */
    static final class Store {
        VersionedLease record;
        long versions;
    }

    private record Asked(long question, long expected, VersionedLease next) {}

    final Store store;
    final Lease lease;
    final List<Grant> grants = new ArrayList<>();
    final List<TransitionCause> stops = new ArrayList<>();
    boolean inLine;
    long wakeAt = Long.MAX_VALUE;
    private Asked asked;

    SimulatedHolder(Store store, LeaseParameters terms, String name, String nonce) {
        this.store = store;
        this.lease = new Lease(terms, name, nonce, this);
    }

    /** Does all that is asked at that time, until nothing more is. */
    void settle(long now) {
        if (wakeAt <= now) {
            lease.onTimer(now);
        }
        while (asked != null) {
            answer(now, reach());
        }
    }

    /** Asks, is in front, and has what it asks answered. */
    SimulatedHolder seek(long now) {
        lease.acquire(now);
        lease.onHeadOfQueue(now);
        settle(now);
        return this;
    }

    boolean asks() {
        return asked != null;
    }

    /**
     * What was asked last happens in the store; whether it did, and the record, are kept for the
     * answer.
     */
    Runnable reach(long now) {
        Asked its = asked;
        Object done = reach();
        asked = its;
        return () -> answer(now, its, done);
    }

    /**
     * It happens in the store; the answer is the record, or the version made, or null for a
     * conflict.
     */
    private Object reach() {
        Asked its = asked;
        if (its.next == null) {
            return store.record;
        }
        if (its.expected != (store.record == null ? -1 : store.record.version())) {
            return null;
        }
        VersionedLease next = its.next;
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

    private void answer(long now, Object done) {
        answer(now, asked, done);
    }

    private void answer(long now, Asked its, Object done) {
        asked = asked == its ? null : asked;
        if (its.next == null) {
            lease.onRead(now, its.question, (VersionedLease) done);
        } else if (done == null) {
            lease.onConflict(now, its.question);
        } else {
            lease.onWritten(now, its.question, (Long) done);
        }
    }

    void unknown(long now) {
        Asked its = asked;
        asked = null;
        lease.onOutcomeUnknown(now, its.question);
    }

    @Override
    public void readRecord(long question) {
        asked = new Asked(question, 0, null);
    }

    @Override
    public void writeRecord(long question, long expectedVersion, VersionedLease next) {
        asked = new Asked(question, expectedVersion, next);
    }

    @Override
    public void setTimer(long at) {
        wakeAt = at;
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
    public void setQueued(boolean in) {
        inLine = in;
    }
}
