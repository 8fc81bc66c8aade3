package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class DrainRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private static final long GRACE = 2050 * MS;
    private final CheckerFixture fixture = new CheckerFixture();

    /**
     * Expects that sends up to the grace period after this time are accepted and the next one is
     * not.
     */
    private void assertDeliveredAt(long moment) {
        fixture.at(Math.max(fixture.now, moment + GRACE + 100 * MS))
                .readId("a-1", "in time", moment + GRACE);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "late", moment + GRACE + 1);
        assertEquals(List.of(Rule.DRAIN), fixture.rules());
    }

    private void assertNotDeliveredBy(long moment) {
        fixture.at(moment).readId("a-1", "r", moment);
        assertEquals(List.of(), fixture.rules());
    }

    private void called(long id, boolean whole, long wait) {
        fixture.checker.discoveryCall(CheckerFixture.SIDECAR, id, whole, wait);
    }

    @Test
    void deliveredDrainStartsTheGracePeriod() {
        fixture.at(S).delivered("a-1", "Terminating", 0);
        assertDeliveredAt(S);
    }

    @Test
    void deliveredEndStartsTheGracePeriod() {
        fixture.at(S).delivered("a-1", "Gone", 0);
        assertDeliveredAt(S);
    }

    @Test
    void repeatedDeliveryDoesNotRestartTheGracePeriod() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(2 * S).delivered("a-1", "Gone", 0);
        assertDeliveredAt(S);
    }

    @Test
    void deliveryForAnotherServerOrSidecarDoesNotCount() {
        fixture.at(S).delivered("a-2", "Terminating", 0);
        fixture.checker.listDelivered("side-1", "a-1", "Terminating", 0);
        assertNotDeliveredBy(8 * S);
    }

    @Test
    void serverThatIsReadyAgainMayBeSentTo() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(2 * S).delivered("a-1", "Ready", S);
        assertNotDeliveredBy(9 * S);
        fixture.delivered("a-1", "Gone", S);
        assertDeliveredAt(9 * S);
    }

    @Test
    void sendTimeOfTheFirstByteDecides() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(4 * S).delivered("a-1", "Ready", 0);
        fixture.readId("a-1", "r", S + GRACE + 1);
        assertEquals(List.of(Rule.DRAIN), fixture.rules());
    }

    @Test
    void newSidecarProcessStartsWithNothingDelivered() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(2 * S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        assertNotDeliveredBy(8 * S);
        fixture.delivered("a-1", "Terminating", 0);
        assertDeliveredAt(8 * S);
    }

    @Test
    void requestOfTheOldProcessIsCheckedAgainstItsOwnDeliveries() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(4 * S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.readId("a-1", "r", 4 * S - MS);
        assertEquals(List.of(Rule.DRAIN), fixture.rules());
    }

    @Test
    void lostWatchCountsAsDeliveredTwoSecondsAfterItsWait() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        assertDeliveredAt(S + 4500 * MS);
    }

    @Test
    void entryLearnedAfterTheWaitDoesNotCount() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(S + 2500 * MS + 1).discoveryKnows("a-1", "Terminating", 0);
        assertNotDeliveredBy(9 * S);
    }

    @Test
    void lostWholeListCountsAsDeliveredAfterSixSeconds() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        called(1, true, 0);
        assertDeliveredAt(7 * S);
    }

    @Test
    void answeredCallDeliversOnlyItsContent() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.at(3 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDECAR, 1, true);
        assertNotDeliveredBy(9 * S);
    }

    @Test
    void failedCallDeliversNothing() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        called(1, true, 0);
        fixture.at(2 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDECAR, 1, false);
        assertNotDeliveredBy(11 * S);
    }

    @Test
    void laterReadyStateOverridesALostWatch() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.at(3 * S).discoveryKnows("a-1", "Ready", 0).delivered("a-1", "Ready", 0);
        assertNotDeliveredBy(9 * S);
    }

    @Test
    void staleReadyStateDoesNotOverrideALostWatch() {
        fixture.discoveryKnows("a-1", "Ready", 0).at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S)
                .discoveryKnows("a-1", "Terminating", 0)
                .at(3 * S)
                .delivered("a-1", "Ready", 0);
        assertDeliveredAt(S + 4500 * MS);
    }

    /** A sidecar that was told of a later version may ignore an older list. */
    @Test
    void staleDrainIsIgnored() {
        fixture.at(S)
                .discoveryKnows("a-1", "Terminating", 0)
                .at(2 * S)
                .discoveryKnows("a-1", "Ready", 0)
                .delivered("a-1", "Ready", 0);
        fixture.at(3 * S).delivered("a-1", "Terminating", 0);
        called(1, false, MS);
        assertNotDeliveredBy(6 * S);
        fixture.at(7 * S)
                .discoveryKnows("a-1", "Terminating", 0)
                .delivered("a-1", "Terminating", 0);
        assertDeliveredAt(7 * S);
    }

    @Test
    void undeliveredDrainDoesNotCount() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0).delivered("a-1", "Terminating", 0);
        fixture.at(2 * S).checker.listNotDelivered(CheckerFixture.SIDECAR, S);
        assertNotDeliveredBy(4 * S);
        fixture.at(5 * S).delivered("a-1", "Terminating", 0);
        assertDeliveredAt(5 * S);
    }

    @Test
    void pausedSidecarGetsTheTimeOfACallAfterThePause() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, 3 * S, 7 * S);
        assertDeliveredAt(9 * S);
    }

    @Test
    void missedEntryIsDueWithTheLaterCall() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0).at(4 * S);
        called(2, true, 0);
        assertDeliveredAt(10 * S);
    }

    @Test
    void unreachableDiscoveryPostponesTheDelivery() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.checker.discoveryUnreachable(CheckerFixture.SIDECAR, 3 * S, 5 * S);
        assertDeliveredAt(11 * S);
    }

    @Test
    void knownEntriesCountAsDeliveredFourSecondsAfterSighup() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0).at(2 * S);
        fixture.checker.sidecarSighup(CheckerFixture.SIDECAR, 1);
        assertDeliveredAt(6 * S);
    }

    @Test
    void sighupDropsPendingCallsThatAreDueLater() {
        fixture.at(S);
        called(1, false, 9 * S);
        fixture.at(2 * S);
        fixture.checker.sidecarSighup(CheckerFixture.SIDECAR, 1);
        fixture.at(3 * S).discoveryKnows("a-1", "Terminating", 0);
        called(2, false, 60 * S);
        assertNotDeliveredBy(30 * S);
    }

    @Test
    void undeliveredDrainCountsWhenItsCallIsDue() {
        fixture.at(S);
        called(1, true, 2 * S);
        fixture.discoveryKnows("a-1", "Terminating", 0)
                .at(2 * S)
                .delivered("a-1", "Terminating", 0);
        fixture.checker.listNotDelivered(CheckerFixture.SIDECAR, 2 * S);
        assertDeliveredAt(5 * S);
    }

    @Test
    void silentSidecarCountsAsToldAfterTheSilenceLimit() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        assertDeliveredAt(11 * S);
    }

    @Test
    void silenceLimitAppliesToLaterEntries() {
        fixture.at(20 * S).discoveryKnows("a-1", "Terminating", 0);
        assertDeliveredAt(30 * S);
    }

    @Test
    void failedCallStartsTheSilenceLimit() {
        fixture.at(S);
        called(1, true, 0);
        fixture.discoveryKnows("a-1", "Terminating", 0).at(2 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDECAR, 1, false);
        assertNotDeliveredBy(12 * S);
        assertDeliveredAt(12 * S);
    }

    @Test
    void unreachableDiscoveryExtendsTheSilenceLimit() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        fixture.checker.discoveryUnreachable(CheckerFixture.SIDECAR, 2 * S, 9 * S);
        assertNotDeliveredBy(15 * S);
        assertDeliveredAt(15 * S);
    }

    @Test
    void sidecarWithAPendingCallIsNotSilent() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0).at(8 * S);
        called(1, false, 20 * S);
        fixture.at(27 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDECAR, 1, true);
        assertNotDeliveredBy(36 * S);
    }
}
