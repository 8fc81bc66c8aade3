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

    /** Drift of 1 %, guard of 100 ms, renewal every 3 s, pauses to 1 s, operations to 500 ms. */
    private static final LeaseParameters TIMED =
            LeaseParameters.timed(TERM, 10_000, 100 * MS, 3_000 * MS, 1_000 * MS, 500 * MS);

    private static final LeaseParameters FENCED =
            LeaseParameters.fenced(TERM, 10_000, 100 * MS, 3_000 * MS);
    private static final long GRANT = 9_800 * MS;
    private static final long TAKE_OVER_DELAY = 10_200 * MS;
    private static final long GRACE_PERIOD = 1_515 * MS;

    private final SimulatedHolder.Store store = new SimulatedHolder.Store();
    private final SimulatedHolder a = new SimulatedHolder(store, TIMED, "a", "a");
    private final SimulatedHolder b = new SimulatedHolder(store, TIMED, "b", "b");

    @Test
    void grantIsCountedFromBeforeItsRequestAndIsShorterThanTheTerm() {
        a.lease.acquire(0);
        assertFalse(a.hasOpenRequest(), "not at the head of the queue");
        a.lease.onHeadOfQueue(MS);
        a.applyForDelivery(2 * MS).run();
        a.applyForDelivery(700 * MS).run();
        assertEquals(new Grant(1, 2 * MS, 2 * MS + GRANT), a.lease.grant());
        assertEquals(LeaseState.HELD, a.lease.state());
        assertFalse(a.queued, "a holder stays in the queue");
    }

    @Test
    void operationIsRefusedWhenItCouldOutlastTheGrant() {
        a.acquire(0);
        assertTrue(a.lease.mayStart(GRANT - 500 * MS, 500 * MS));
        assertFalse(a.lease.mayStart(GRANT - 500 * MS + 1, 500 * MS));
        assertFalse(
                a.lease.mayStart(0, 501 * MS),
                "longer than the grace period of other holders allows for");
        assertFalse(a.lease.mayStart(0, -1));
        assertEquals(new Permission.TimedPermission(1, GRANT), a.lease.tryStart(MS, 0));
        assertNull(a.lease.tryStart(GRANT + 1, 0));
        SimulatedHolder fenced =
                new SimulatedHolder(new SimulatedHolder.Store(), FENCED, "f", "f").acquire(0);
        assertInstanceOf(Permission.FencedPermission.class, fenced.lease.tryStart(0, 8_000 * MS));
    }

    @Test
    void renewalExtendsTheGrantOnlyOnceItIsAnswered() {
        a.acquire(0);
        assertEquals(3_000 * MS, a.timerAt);
        a.lease.onTimer(3_000 * MS);
        Runnable result = a.applyForDelivery(3_100 * MS);
        assertEquals(GRANT, a.lease.grant().expiresAtNanos());
        result.run();
        assertEquals(3_000 * MS + GRANT, a.lease.grant().expiresAtNanos());
        assertEquals(1, a.lease.grant().token());
    }

    /**
     * Guards against a holder that operates on an expired grant after a pause: before its renewal,
     * and between the renewal's request and the delivery of its result.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.1, 4})
    void holderPausedBeyondItsGrantMayNotStartOperations(double terms) {
        long stop = (long) (terms * TERM);
        boolean grantLasts = stop < GRANT;
        a.acquire(0);
        assertEquals(grantLasts, a.lease.mayStart(stop, 0));
        a.lease.onTimer(stop);
        assertEquals(grantLasts ? LeaseState.HELD : LeaseState.LOST, a.lease.state());

        SimulatedHolder renewing =
                new SimulatedHolder(new SimulatedHolder.Store(), TIMED, "w", "w").acquire(0);
        renewing.lease.onTimer(3_000 * MS);
        renewing.applyForDelivery(3_000 * MS + stop).run();
        assertEquals(grantLasts, renewing.lease.mayStart(3_000 * MS + stop, 0));
        assertEquals(grantLasts ? LeaseState.HELD : LeaseState.LOST, renewing.lease.state());
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.1, 4})
    void leaseIsNotTakenOverWhileAPausedHolderMayOperate(double terms) {
        a.acquire(0);
        b.acquire(100 * MS);
        long stop = (long) (terms * TERM);
        b.settle(stop);
        boolean taken = stop >= 100 * MS + TAKE_OVER_DELAY;
        assertEquals(taken, b.lease.grant() != null);
        a.settle(stop);
        assertTrue(a.lease.grant() == null || b.lease.grant() == null);
    }

    @Test
    void takeOverWaitsForTheTermAndThenForTheGracePeriod() {
        a.acquire(0);
        b.acquire(100 * MS);
        assertEquals(100 * MS + TAKE_OVER_DELAY, b.timerAt);
        b.settle(b.timerAt - 1);
        assertNull(b.lease.grant());
        long at = b.timerAt;
        b.settle(at);
        assertEquals(new Grant(2, at + GRACE_PERIOD, at + GRANT), b.lease.grant());
        assertFalse(b.lease.mayStart(at + GRACE_PERIOD - 1, 0));
        assertTrue(b.lease.mayStart(at + GRACE_PERIOD, 0));
    }

    @Test
    void takeOverDelayIsCountedFromAfterTheResponse() {
        a.acquire(0);
        b.lease.acquire(0);
        b.lease.onHeadOfQueue(0);
        b.applyForDelivery(700 * MS).run();
        assertEquals(700 * MS + TAKE_OVER_DELAY, b.timerAt);
    }

    @Test
    void fencedTakeOverHasNoGracePeriod() {
        new SimulatedHolder(store, FENCED, "x", "x").acquire(0);
        SimulatedHolder next = new SimulatedHolder(store, FENCED, "y", "y").acquire(0);
        next.settle(next.timerAt);
        assertEquals(new Permission.FencedPermission(2), next.lease.tryStart(TAKE_OVER_DELAY, 0));
    }

    /** In true time, with the slowest allowed clock of a holder and the fastest of a waiter. */
    @Test
    void grantAndTakeOverDontOverlapWithClocksAtTheirDriftBounds() {
        double grantedTime = GRANT / 0.99;
        double takeOverTime = TAKE_OVER_DELAY / 1.01;
        assertTrue(grantedTime <= TERM && TERM <= takeOverTime, grantedTime + " " + takeOverTime);
        assertTrue(GRACE_PERIOD / 1.01 >= 1_500 * MS);
    }

    @Test
    void renewalRestartsTheTakeOverDelay() {
        a.acquire(0);
        b.acquire(0);
        a.settle(3_000 * MS);
        b.settle(TAKE_OVER_DELAY);
        assertNull(b.lease.grant());
        assertEquals(2 * TAKE_OVER_DELAY, b.timerAt);
    }

    @Test
    void releaseLetsTheNextHolderStartAtOnce() {
        a.acquire(0);
        b.acquire(0);
        a.lease.release(MS);
        assertFalse(a.lease.mayStart(MS, 0));
        a.settle(MS);
        b.lease.onRecordChanged(2 * MS);
        b.settle(2 * MS);
        assertEquals(new Grant(2, 2 * MS, 2 * MS + GRANT), b.lease.grant());
    }

    @Test
    void releaseRightAfterTakeOverStillWaitsForOperationsOfTheFormerHolder() {
        a.acquire(0);
        b.acquire(0);
        long at = b.timerAt;
        b.settle(at);
        b.lease.release(at + MS);
        b.settle(at + MS);
        assertFalse(store.record.released());
        b.settle(at + GRACE_PERIOD);
        assertTrue(store.record.released());
    }

    @Test
    void idleLeaseIsReleasedAfterTheGracePeriod() {
        a.acquire(0);
        a.lease.releaseWhenIdle(0, 100 * MS);
        assertInstanceOf(Permission.class, a.lease.tryStart(50 * MS, 0));
        a.settle(100 * MS);
        assertEquals(LeaseState.HELD, a.lease.state());
        a.lease.releaseWhenIdle(200 * MS, 100 * MS);
        a.settle(300 * MS);
        assertEquals(TransitionCause.IDLE, a.lease.cause());
        assertFalse(store.record.released());
        a.settle(300 * MS + GRACE_PERIOD);
        assertTrue(store.record.released());
    }

    @Test
    void writeOfUnknownOutcomeThatWasDoneGrantsFromBeforeItsRequest() {
        a.acquire(0);
        a.lease.onTimer(3_000 * MS);
        a.applyForDelivery(3_000 * MS);
        a.completeUnknown(3_100 * MS);
        assertEquals(LeaseState.UNCONFIRMED, a.lease.state());
        assertEquals(GRANT, a.lease.grant().expiresAtNanos());
        a.settle(a.timerAt);
        assertEquals(LeaseState.HELD, a.lease.state());
        assertEquals(3_000 * MS + GRANT, a.lease.grant().expiresAtNanos());
    }

    @Test
    void writeOfUnknownOutcomeThatWasNotDoneIsRetriedAfterABackoff() {
        a.acquire(0);
        a.lease.onTimer(3_000 * MS);
        a.completeUnknown(3_100 * MS);
        long at = a.timerAt;
        assertTrue(at > 3_100 * MS, "retried without a delay");
        a.settle(at);
        assertEquals(at + GRANT, a.lease.grant().expiresAtNanos());
    }

    @Test
    void createOfUnknownOutcomeIsRecognizedByItsNonce() {
        a.lease.acquire(0);
        a.lease.onHeadOfQueue(0);
        a.applyForDelivery(0).run();
        a.applyForDelivery(0);
        a.completeUnknown(MS);
        assertNull(a.lease.grant());
        a.settle(a.timerAt);
        assertEquals(new Grant(1, 0, GRANT), a.lease.grant());
        b.acquire(0);
        assertNull(b.lease.grant());
    }

    @Test
    void unansweredRenewalIsRetriedAndItsLateResultIgnored() {
        a.acquire(0);
        a.lease.onTimer(3_000 * MS);
        Runnable lateResult = a.applyForDelivery(6_100 * MS);
        a.lease.onTimer(6_000 * MS);
        assertEquals(LeaseState.UNCONFIRMED, a.lease.state());
        lateResult.run();
        assertEquals(
                GRANT,
                a.lease.grant().expiresAtNanos(),
                "the result of a request that was given up extended the grant");
        a.settle(6_200 * MS);
        assertEquals(LeaseState.HELD, a.lease.state());
    }

    @Test
    void disconnectedHolderMayOperateUntilItsGrantExpires() {
        a.acquire(0);
        a.lease.onDisconnected(1_000 * MS);
        assertEquals(LeaseState.UNCONFIRMED, a.lease.state());
        assertTrue(a.lease.mayStart(9_000 * MS, 0));
        a.lease.onTimer(4_000 * MS);
        assertFalse(a.hasOpenRequest());
        a.lease.onTimer(GRANT);
        assertEquals(List.of(TransitionCause.EXPIRED), a.stops);
        a.lease.onConnected(GRANT + MS);
        assertEquals(LeaseState.LOST, a.lease.state());
    }

    @Test
    void reconnectDoesNotExtendTheGrant() {
        a.acquire(0);
        a.lease.onDisconnected(MS);
        a.lease.onConnected(2 * MS);
        assertEquals(GRANT, a.lease.grant().expiresAtNanos());
        a.settle(3 * MS);
        assertEquals(LeaseState.HELD, a.lease.state());
        assertEquals(GRANT, a.lease.grant().expiresAtNanos());
    }

    @Test
    void renewalAnsweredAfterAReleaseDoesNotUndoIt() {
        a.acquire(0);
        a.lease.onTimer(3_000 * MS);
        Runnable renewed = a.applyForDelivery(3_010 * MS);
        a.lease.release(3_005 * MS);
        a.lease.acquire(3_006 * MS);
        renewed.run();
        assertNull(a.lease.grant());
        a.settle(3_020 * MS);
        assertTrue(store.record.released());
        a.lease.onHeadOfQueue(3_030 * MS);
        a.settle(3_030 * MS);
        assertEquals(2, a.lease.grant().token(), "acquired again after the release");
    }

    @Test
    void writeAnsweredAfterALossDoesNotRestoreTheGrant() {
        a.acquire(0);
        a.lease.onTimer(3_000 * MS);
        Runnable lateResult = a.applyForDelivery(12_000 * MS);
        a.lease.onTimer(GRANT);
        a.lease.acquire(11_900 * MS);
        lateResult.run();
        assertNull(a.lease.grant());
        a.lease.onHeadOfQueue(12_100 * MS);
        a.settle(12_100 * MS);
        assertEquals(
                new Grant(2, 12_100 * MS + GRACE_PERIOD, 12_100 * MS + GRANT), a.lease.grant());
    }

    @Test
    void incarnationsOfOneHolderNameAreDifferentHolders() {
        a.acquire(0);
        SimulatedHolder sameName = new SimulatedHolder(store, TIMED, "a", "another").acquire(0);
        assertNull(sameName.lease.grant());
        sameName.settle(sameName.timerAt);
        assertEquals(2, sameName.lease.grant().token());
        a.lease.onRecordChanged(GRANT - MS);
        a.settle(GRANT - MS);
        assertEquals(LeaseState.LOST, a.lease.state());
        assertEquals(TransitionCause.TAKEN_OVER, a.lease.cause());
    }

    @Test
    void missingRecordIsDistrustedUntilAnOperatorResetsIt() {
        a.acquire(0);
        store.record = null;
        a.settle(3_000 * MS);
        assertEquals(LeaseState.STORE_DISTRUSTED, a.lease.state());
        assertEquals(TransitionCause.RECORD_MISSING, a.lease.cause());
        assertEquals(List.of(TransitionCause.RECORD_MISSING), a.stops);
        a.settle(a.timerAt);
        assertEquals(LeaseState.STORE_DISTRUSTED, a.lease.state());
        store.record = new VersionedLease(0, 2, "operator", "", 0, true);
        a.settle(a.timerAt);
        a.lease.onHeadOfQueue(30_000 * MS);
        a.settle(30_000 * MS);
        assertEquals(3, a.lease.grant().token());
    }

    @Test
    void olderRecordIsDistrusted() {
        VersionedLease old = a.acquire(0).store.record;
        a.lease.release(MS);
        a.settle(MS);
        b.acquire(MS);
        store.record = old;
        b.settle(3_001 * MS);
        assertEquals(TransitionCause.RECORD_ROLLED_BACK, b.lease.cause());
        assertEquals(LeaseState.STORE_DISTRUSTED, b.lease.state());
        store.record = new VersionedLease(90, 2, "c", "c/1", TERM, false);
        b.settle(b.timerAt);
        assertEquals(
                LeaseState.STORE_DISTRUSTED, b.lease.state(), "the same token with another holder");
    }

    @Test
    void parametersThatCannotBeSafeAreRejected() {
        for (long renewalInterval : new long[] {0, GRANT}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> LeaseParameters.fenced(TERM, 10_000, 100 * MS, renewalInterval));
        }
        assertEquals(TAKE_OVER_DELAY, TIMED.takeOverDelayNanos(TERM));
        assertEquals(
                LeaseParameters.MAX_NANOS + LeaseParameters.MAX_NANOS / 100 + 100 * MS,
                TIMED.takeOverDelayNanos(Long.MAX_VALUE));
    }

    /** Guards against a token that overflows after the largest possible one. */
    @Test
    void recordWithTheLargestTokenIsDistrusted() {
        store.record = new VersionedLease(0, Long.MAX_VALUE, "operator", "operator/0", 1, true);
        a.acquire(0);
        assertNull(a.lease.grant());
        assertEquals(LeaseState.STORE_DISTRUSTED, a.lease.state());
    }
}
