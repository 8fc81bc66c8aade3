package appleridge.testbed.lease;

import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.LeaseActions;
import appleridge.lease.TransitionCause;
import appleridge.lease.VersionedLease;
import java.util.ArrayList;
import java.util.List;

/** A process that runs the product's lease. Not modified after the event that created it. */
final class ModelHolder implements LeaseActions {
    static final int NONE = -1;

    final int index;
    final int unitsPerTick;
    final Lease lease;
    private final ExplorationScope scope;

    /** Messages sent by the current event. */
    final List<ModelMessage> sent = new ArrayList<>();

    boolean connected = true;

    /** Whether the process is suspended: it receives nothing and does nothing. */
    boolean stopped;

    /**
     * Tick at which an operation was permitted that has not begun; {@link #NONE} if there is none.
     */
    int permittedAtTick = NONE;

    /** Tick at which the last operation began; {@link #NONE} if there is none. */
    int startedAtTick = NONE;

    /** Token of a fenced operation in flight; {@link #NONE} if there is none. */
    long tokenInFlight = NONE;

    /** Reading of the clock at which the timer of the lease fires. */
    long wakeAt = Long.MAX_VALUE;

    ModelHolder(ExplorationScope scope, int index) {
        this.scope = scope;
        this.index = index;
        this.unitsPerTick = scope.rates().charAt(index) - '0';
        String name = name(index);
        this.lease = new Lease(scope.parameters(), name, name, this);
    }

    static String name(int index) {
        return String.valueOf((char) ('a' + index));
    }

    ModelHolder copy() {
        ModelHolder copy = new ModelHolder(scope, index);
        LeaseFields.copy(lease, copy.lease);
        copy.connected = connected;
        copy.stopped = stopped;
        copy.permittedAtTick = permittedAtTick;
        copy.startedAtTick = startedAtTick;
        copy.tokenInFlight = tokenInFlight;
        copy.wakeAt = wakeAt;
        return copy;
    }

    boolean isOperating(int tick) {
        return startedAtTick != NONE && tick < startedAtTick + ExplorationScope.OPERATION_TICKS;
    }

    boolean isIdle(int tick) {
        return permittedAtTick == NONE && tokenInFlight == NONE && !isOperating(tick);
    }

    @Override
    public void readRecord(long requestId) {
        sent.add(new ModelMessage(ModelMessage.Kind.READ, index, requestId, 0, null, false));
    }

    @Override
    public void writeRecord(long requestId, long expectedVersion, VersionedLease next) {
        sent.add(
                new ModelMessage(
                        ModelMessage.Kind.WRITE, index, requestId, expectedVersion, next, false));
    }

    @Override
    public void setTimer(long clockReading) {
        wakeAt = clockReading;
    }

    @Override
    public void onGranted(Grant grant) {}

    /** Lets an operation that has begun run to its end: the worst case that is permitted. */
    @Override
    public void stopOperations(TransitionCause cause) {}

    @Override
    public void setQueued(boolean queued) {}
}
