package appleridge.testbed.lease;

import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.LeaseActions;
import appleridge.lease.TransitionCause;
import appleridge.lease.VersionedLease;
import java.util.ArrayList;
import java.util.List;

/** A process with the product's own lease; not changed any more once its event is over. */
final class ModelHolder implements LeaseActions {
    static final int NONE = -1;

    final int index;
    final int rate;
    final Lease lease;
    private final ExplorationScope scope;

    /** What the event under way has sent. */
    final List<ModelMessage> sent = new ArrayList<>();

    boolean connected = true;

    /** Whether it stands still: it takes nothing in and does nothing. */
    boolean stopped;

    /** When an act was found to be allowed, and when it began; {@link #NONE} for not. */
    int permittedAtTick = NONE;

    int startedAtTick = NONE;

    /** The token of a fenced act on its way. */
    long tokenInFlight = NONE;

    long wakeAt = Long.MAX_VALUE;

    ModelHolder(ExplorationScope scope, int index) {
        this.scope = scope;
        this.index = index;
        this.rate = scope.rates().charAt(index) - '0';
        String name = name(index);
        this.lease = new Lease(scope.terms(), name, name, this);
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
        return startedAtTick != NONE && tick < startedAtTick + ExplorationScope.ACT;
    }

    boolean isIdle(int tick) {
        return permittedAtTick == NONE && tokenInFlight == NONE && !isOperating(tick);
    }

    @Override
    public void readRecord(long question) {
        sent.add(new ModelMessage(ModelMessage.Kind.READ, index, question, 0, null, false));
    }

    @Override
    public void writeRecord(long question, long expectedVersion, VersionedLease next) {
        sent.add(
                new ModelMessage(
                        ModelMessage.Kind.WRITE, index, question, expectedVersion, next, false));
    }

    @Override
    public void setTimer(long at) {
        wakeAt = at;
    }

    @Override
    public void onGranted(Grant grant) {}

    /** What has begun goes on to its end: the worst that a holder may do. */
    @Override
    public void stopOperations(TransitionCause why) {}

    @Override
    public void setQueued(boolean in) {}
}
