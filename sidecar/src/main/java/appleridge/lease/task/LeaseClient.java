package appleridge.lease.task;

import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.LeaseActions;
import appleridge.lease.LeaseParameters;
import appleridge.lease.TransitionCause;
import appleridge.lease.VersionedLease;
import appleridge.lease.store.LeaseClock;
import appleridge.lease.store.LeaseStore;
import java.util.concurrent.Executor;

/**
 * Connects a {@link Lease} with its {@link LeaseStore} and a clock. Confined to one thread, which
 * runs the executor's tasks. The owner has to call {@link Lease#onTimer} no later than at {@link
 * #timerAtNanos}.
 */
final class LeaseClient implements LeaseActions, LeaseStore.Events {
    /** Events that the owner of the lease has to act on. */
    interface Listener {
        /** The lease was granted, or its grant was extended. */
        void onGranted(Grant grant);

        /** No operation may start any more, and the running ones have to be stopped. */
        void onStopRequired();

        /** The record was deleted and created again; {@link #onStopRequired} follows. */
        void onRecordRecreated();
    }

    /** Creates the store of a client. */
    interface StoreFactory {
        LeaseStore create(LeaseStore.Events events, Executor executor);
    }

    private final LeaseClock clock;
    private final Listener listener;
    private final Lease lease;
    private final LeaseStore store;
    private long timerAtNanos = Long.MAX_VALUE;

    LeaseClient(
            LeaseParameters parameters,
            String holder,
            String incarnation,
            LeaseClock clock,
            StoreFactory stores,
            Executor executor,
            Listener listener) {
        this.clock = clock;
        this.listener = listener;
        this.lease = new Lease(parameters, holder, incarnation, this);
        this.store = stores.create(this, executor);
    }

    Lease lease() {
        return lease;
    }

    /** When {@link Lease#onTimer} has to be called; {@link Long#MAX_VALUE} for never. */
    long timerAtNanos() {
        return timerAtNanos;
    }

    void start() {
        store.start();
    }

    void close() {
        store.close();
    }

    @Override
    public void readRecord(long requestId) {
        store.read(requestId);
    }

    @Override
    public void writeRecord(long requestId, long expectedVersion, VersionedLease next) {
        store.write(requestId, expectedVersion, next);
    }

    @Override
    public void setTimer(long atNanos) {
        timerAtNanos = atNanos;
    }

    @Override
    public void onGranted(Grant grant) {
        listener.onGranted(grant);
    }

    @Override
    public void stopOperations(TransitionCause why) {
        listener.onStopRequired();
    }

    @Override
    public void setQueued(boolean queued) {
        store.setQueued(queued);
    }

    @Override
    public void onConnected() {
        lease.onConnected(clock.nanoTime());
    }

    @Override
    public void onDisconnected() {
        lease.onDisconnected(clock.nanoTime());
    }

    @Override
    public void onRead(long requestId, VersionedLease recordOrNull) {
        lease.onRead(clock.nanoTime(), requestId, recordOrNull);
    }

    @Override
    public void onWritten(long requestId, long version) {
        lease.onWritten(clock.nanoTime(), requestId, version);
    }

    @Override
    public void onConflict(long requestId) {
        lease.onConflict(clock.nanoTime(), requestId);
    }

    @Override
    public void onOutcomeUnknown(long requestId) {
        lease.onOutcomeUnknown(clock.nanoTime(), requestId);
    }

    @Override
    public void onRecordChanged() {
        lease.onRecordChanged(clock.nanoTime());
    }

    @Override
    public void onHeadOfQueue() {
        lease.onHeadOfQueue(clock.nanoTime());
    }

    @Override
    public void onRecordRecreated(String reason) {
        listener.onRecordRecreated();
        listener.onStopRequired();
    }
}
