package appleridge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaseTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TERM = 10_000 * MS;

    /** One in a hundred, 100 ms of guard, a pause of 1 s, acts of 500 ms. */
    private static final LeaseParameters TIMED =
            LeaseParameters.timed(TERM, 10_000, 100 * MS, 3_000 * MS, 1_000 * MS, 500 * MS);

    private static final LeaseParameters FENCED =
            LeaseParameters.fenced(TERM, 10_000, 100 * MS, 3_000 * MS);
    private static final long ACTS_FOR = 9_800 * MS;
    private static final long KEPT_OUT = 10_200 * MS;
    private static final long ACTS_OUT = 1_515 * MS;

    private final SimulatedHolder.Store store = new SimulatedHolder.Store();
    private final SimulatedHolder a = new SimulatedHolder(store, TIMED, "a", "a");
    private final SimulatedHolder b = new SimulatedHolder(store, TIMED, "b", "b");

    @Test
    void grantIsCountedFromBeforeItsRequestAndIsShorterThanTheTerm() {
        a.lease.acquire(0);
        assertFalse(a.asks(), "not its turn");
        a.lease.onHeadOfQueue(MS);
        a.reach(2 * MS).run();
        a.reach(700 * MS).run();
        assertEquals(new Grant(1, 2 * MS, 2 * MS + ACTS_FOR), a.lease.grant());
        assertEquals(LeaseState.HELD, a.lease.state());
        assertFalse(a.inLine, "the next one watches");
    }

    @Test
    void operationIsRefusedWhenItCouldOutlastTheGrant() {
        a.seek(0);
        assertTrue(a.lease.mayStart(ACTS_FOR - 500 * MS, 500 * MS));
        assertFalse(a.lease.mayStart(ACTS_FOR - 500 * MS + 1, 500 * MS));
        assertFalse(a.lease.mayStart(0, 501 * MS), "longer than others wait for");
        assertFalse(a.lease.mayStart(0, -1));
        assertEquals(new Permission.TimedPermission(1, ACTS_FOR), a.lease.tryStart(MS, 0));
        assertNull(a.lease.tryStart(ACTS_FOR + 1, 0));
        SimulatedHolder fenced =
                new SimulatedHolder(new SimulatedHolder.Store(), FENCED, "f", "f").seek(0);
        assertInstanceOf(Permission.FencedPermission.class, fenced.lease.tryStart(0, 8_000 * MS));
    }

    @Test
    void renewalExtendsTheGrantOnlyOnceItIsAnswered() {
        a.seek(0);
        assertEquals(3_000 * MS, a.wakeAt);
        a.lease.onTimer(3_000 * MS);
        Runnable answer = a.reach(3_100 * MS);
        assertEquals(ACTS_FOR, a.lease.grant().expiresAtNanos());
        answer.run();
        assertEquals(3_000 * MS + ACTS_FOR, a.lease.grant().expiresAtNanos());
        assertEquals(1, a.lease.grant().token());
    }

    /**
     * In a holder that stood still: before its renewal, within it, and before its answer was read.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.1, 4})
    void holderPausedBeyondItsGrantMayNotStartOperations(double terms) {
        long stop = (long) (terms * TERM);
        boolean stands = stop < ACTS_FOR;
        a.seek(0);
        assertEquals(stands, a.lease.mayStart(stop, 0));
        a.lease.onTimer(stop);
        assertEquals(stands ? LeaseState.HELD : LeaseState.LOST, a.lease.state());

        SimulatedHolder within =
                new SimulatedHolder(new SimulatedHolder.Store(), TIMED, "w", "w").seek(0);
        within.lease.onTimer(3_000 * MS);
        within.reach(3_000 * MS + stop).run();
        assertEquals(stands, within.lease.mayStart(3_000 * MS + stop, 0));
        assertEquals(stands ? LeaseState.HELD : LeaseState.LOST, within.lease.state());
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.1, 4})
    void leaseIsNotTakenOverWhileAPausedHolderMayOperate(double terms) {
        a.seek(0);
        b.seek(100 * MS);
        long stop = (long) (terms * TERM);
        b.settle(stop);
        boolean taken = stop >= 100 * MS + KEPT_OUT;
        assertEquals(taken, b.lease.grant() != null);
        a.settle(stop);
        assertTrue(a.lease.grant() == null || b.lease.grant() == null);
    }

    @Test
    void takeOverWaitsForTheTermAndThenForTheGracePeriod() {
        a.seek(0);
        b.seek(100 * MS);
        assertEquals(100 * MS + KEPT_OUT, b.wakeAt);
        b.settle(b.wakeAt - 1);
        assertNull(b.lease.grant());
        long at = b.wakeAt;
        b.settle(at);
        assertEquals(new Grant(2, at + ACTS_OUT, at + ACTS_FOR), b.lease.grant());
        assertFalse(b.lease.mayStart(at + ACTS_OUT - 1, 0));
        assertTrue(b.lease.mayStart(at + ACTS_OUT, 0));
    }

    @Test
    void takeOverDelayIsCountedFromAfterTheAnswer() {
        a.seek(0);
        b.lease.acquire(0);
        b.lease.onHeadOfQueue(0);
        b.reach(700 * MS).run();
        assertEquals(700 * MS + KEPT_OUT, b.wakeAt);
    }

    @Test
    void fencedTakeOverHasNoGracePeriod() {
        new SimulatedHolder(store, FENCED, "x", "x").seek(0);
        SimulatedHolder next = new SimulatedHolder(store, FENCED, "y", "y").seek(0);
        next.settle(next.wakeAt);
        assertEquals(new Permission.FencedPermission(2), next.lease.tryStart(KEPT_OUT, 0));
    }

    /** By true time: a holder whose clock is as slow as may be, a waiter whose clock is as fast. */
    @Test
    void grantAndTakeOverDontOverlapWithClocksAtTheirDriftBounds() {
        double heldFor = ACTS_FOR / 0.99;
        double waited = KEPT_OUT / 1.01;
        assertTrue(heldFor <= TERM && TERM <= waited, heldFor + " " + waited);
        assertTrue(ACTS_OUT / 1.01 >= 1_500 * MS);
    }

    @Test
    void renewalRestartsTheTakeOverDelay() {
        a.seek(0);
        b.seek(0);
        a.settle(3_000 * MS);
        b.settle(KEPT_OUT);
        assertNull(b.lease.grant());
        assertEquals(2 * KEPT_OUT, b.wakeAt);
    }

    @Test
    void releaseLetsTheNextHolderStartAtOnce() {
        a.seek(0);
        b.seek(0);
        a.lease.release(MS);
        assertFalse(a.lease.mayStart(MS, 0));
        a.settle(MS);
        b.lease.onRecordChanged(2 * MS);
        b.settle(2 * MS);
        assertEquals(new Grant(2, 2 * MS, 2 * MS + ACTS_FOR), b.lease.grant());
    }

    @Test
    void releaseRightAfterTakeOverStillWaitsForOperationsOfTheFormerHolder() {
        a.seek(0);
        b.seek(0);
        long at = b.wakeAt;
        b.settle(at);
        b.lease.release(at + MS);
        b.settle(at + MS);
        assertFalse(store.record.released());
        b.settle(at + ACTS_OUT);
        assertTrue(store.record.released());
    }

    @Test
    void idleLeaseIsReleasedAfterTheGracePeriod() {
        a.seek(0);
        a.lease.releaseWhenIdle(0, 100 * MS);
        assertInstanceOf(Permission.class, a.lease.tryStart(50 * MS, 0));
        a.settle(100 * MS);
        assertEquals(LeaseState.HELD, a.lease.state());
        a.lease.releaseWhenIdle(200 * MS, 100 * MS);
        a.settle(300 * MS);
        assertEquals(TransitionCause.IDLE, a.lease.cause());
        assertFalse(store.record.released());
        a.settle(300 * MS + ACTS_OUT);
        assertTrue(store.record.released());
    }

    @Test
    void writeOfUnknownOutcomeThatWasDoneGrantsFromBeforeItsRequest() {
        a.seek(0);
        a.lease.onTimer(3_000 * MS);
        a.reach(3_000 * MS);
        a.unknown(3_100 * MS);
        assertEquals(LeaseState.UNCONFIRMED, a.lease.state());
        assertEquals(ACTS_FOR, a.lease.grant().expiresAtNanos());
        a.settle(a.wakeAt);
        assertEquals(LeaseState.HELD, a.lease.state());
        assertEquals(3_000 * MS + ACTS_FOR, a.lease.grant().expiresAtNanos());
    }

    @Test
    void writeOfUnknownOutcomeThatWasNotDoneIsRetriedAfterABackoff() {
        a.seek(0);
        a.lease.onTimer(3_000 * MS);
        a.unknown(3_100 * MS);
        long at = a.wakeAt;
        assertTrue(at > 3_100 * MS, "not without a pause");
        a.settle(at);
        assertEquals(at + ACTS_FOR, a.lease.grant().expiresAtNanos());
    }

    @Test
    void createOfUnknownOutcomeIsRecognizedByItsNonce() {
        a.lease.acquire(0);
        a.lease.onHeadOfQueue(0);
        a.reach(0).run();
        a.reach(0);
        a.unknown(MS);
        assertNull(a.lease.grant());
        a.settle(a.wakeAt);
        assertEquals(new Grant(1, 0, ACTS_FOR), a.lease.grant());
        b.seek(0);
        assertNull(b.lease.grant());
    }

    @Test
    void unansweredRenewalIsRetriedAndItsLateAnswerIgnored() {
        a.seek(0);
        a.lease.onTimer(3_000 * MS);
        Runnable late = a.reach(6_100 * MS);
        a.lease.onTimer(6_000 * MS);
        assertEquals(LeaseState.UNCONFIRMED, a.lease.state());
        late.run();
        assertEquals(
                ACTS_FOR,
                a.lease.grant().expiresAtNanos(),
                "an answer to a question that was given up");
        a.settle(6_200 * MS);
        assertEquals(LeaseState.HELD, a.lease.state());
    }

    @Test
    void disconnectedHolderMayOperateUntilItsGrantExpires() {
        a.seek(0);
        a.lease.onDisconnected(1_000 * MS);
        assertEquals(LeaseState.UNCONFIRMED, a.lease.state());
        assertTrue(a.lease.mayStart(9_000 * MS, 0));
        a.lease.onTimer(4_000 * MS);
        assertFalse(a.asks());
        a.lease.onTimer(ACTS_FOR);
        assertEquals(List.of(TransitionCause.EXPIRED), a.stops);
        a.lease.onConnected(ACTS_FOR + MS);
        assertEquals(LeaseState.LOST, a.lease.state());
    }

    @Test
    void reconnectDoesNotExtendTheGrant() {
        a.seek(0);
        a.lease.onDisconnected(MS);
        a.lease.onConnected(2 * MS);
        assertEquals(ACTS_FOR, a.lease.grant().expiresAtNanos());
        a.settle(3 * MS);
        assertEquals(LeaseState.HELD, a.lease.state());
        assertEquals(ACTS_FOR, a.lease.grant().expiresAtNanos());
    }

    @Test
    void renewalAnsweredAfterAReleaseDoesNotUndoIt() {
        a.seek(0);
        a.lease.onTimer(3_000 * MS);
        Runnable renewed = a.reach(3_010 * MS);
        a.lease.release(3_005 * MS);
        a.lease.acquire(3_006 * MS);
        renewed.run();
        assertNull(a.lease.grant());
        a.settle(3_020 * MS);
        assertTrue(store.record.released());
        a.lease.onHeadOfQueue(3_030 * MS);
        a.settle(3_030 * MS);
        assertEquals(2, a.lease.grant().token(), "asked again at once");
    }

    @Test
    void writeAnsweredAfterALossDoesNotRestoreTheGrant() {
        a.seek(0);
        a.lease.onTimer(3_000 * MS);
        Runnable late = a.reach(12_000 * MS);
        a.lease.onTimer(ACTS_FOR);
        a.lease.acquire(11_900 * MS);
        late.run();
        assertNull(a.lease.grant());
        a.lease.onHeadOfQueue(12_100 * MS);
        a.settle(12_100 * MS);
        assertEquals(new Grant(2, 12_100 * MS + ACTS_OUT, 12_100 * MS + ACTS_FOR), a.lease.grant());
    }

    @Test
    void incarnationsOfOneHolderNameAreDifferentHolders() {
        a.seek(0);
        SimulatedHolder twin = new SimulatedHolder(store, TIMED, "a", "another").seek(0);
        assertNull(twin.lease.grant());
        twin.settle(twin.wakeAt);
        assertEquals(2, twin.lease.grant().token());
        a.lease.onRecordChanged(ACTS_FOR - MS);
        a.settle(ACTS_FOR - MS);
        assertEquals(LeaseState.LOST, a.lease.state());
        assertEquals(TransitionCause.TAKEN_OVER, a.lease.cause());
    }

    @Test
    void missingRecordIsDistrustedUntilAnOperatorResetsIt() {
        a.seek(0);
        store.record = null;
        a.settle(3_000 * MS);
        assertEquals(LeaseState.STORE_DISTRUSTED, a.lease.state());
        assertEquals(TransitionCause.RECORD_MISSING, a.lease.cause());
        assertEquals(List.of(TransitionCause.RECORD_MISSING), a.stops);
        a.settle(a.wakeAt);
        assertEquals(LeaseState.STORE_DISTRUSTED, a.lease.state());
        store.record = new VersionedLease(0, 2, "operator", "", 0, true);
        a.settle(a.wakeAt);
        a.lease.onHeadOfQueue(30_000 * MS);
        a.settle(30_000 * MS);
        assertEquals(3, a.lease.grant().token());
    }

    @Test
    void olderRecordIsDistrusted() {
        VersionedLease old = a.seek(0).store.record;
        a.lease.release(MS);
        a.settle(MS);
        b.seek(MS);
        store.record = old;
        b.settle(3_001 * MS);
        assertEquals(TransitionCause.RECORD_ROLLED_BACK, b.lease.cause());
        assertEquals(LeaseState.STORE_DISTRUSTED, b.lease.state());
        store.record = new VersionedLease(90, 2, "c", "c/1", TERM, false);
        b.settle(b.wakeAt);
        assertEquals(LeaseState.STORE_DISTRUSTED, b.lease.state(), "the same token in other hands");
    }

    @Test
    void parametersThatCannotBeSafeAreRejected() {
        for (long renewEvery : new long[] {0, ACTS_FOR}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> LeaseParameters.fenced(TERM, 10_000, 100 * MS, renewEvery));
        }
        assertEquals(KEPT_OUT, TIMED.takeOverDelayNanos(TERM));
        assertEquals(
                LeaseParameters.MAX_NANOS + LeaseParameters.MAX_NANOS / 100 + 100 * MS,
                TIMED.takeOverDelayNanos(Long.MAX_VALUE));
    }

    /** Guards against a token that runs back after the largest there is. */
    @Test
    void recordWithTheLargestTokenIsDistrusted() {
        store.record = new VersionedLease(0, Long.MAX_VALUE, "operator", "operator/0", 1, true);
        a.seek(0);
        assertNull(a.lease.grant());
        assertEquals(LeaseState.STORE_DISTRUSTED, a.lease.state());
    }
}
