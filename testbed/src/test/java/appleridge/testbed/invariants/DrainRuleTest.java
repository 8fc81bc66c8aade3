package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class DrainRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private static final long GRACE = 2050 * MS;
    private final CheckerFixture fixture = new CheckerFixture();

    /** Sends up to the grace after a moment are fine, and the next one isn't. */
    private void assertToldAt(long moment) {
        fixture.at(Math.max(fixture.now, moment + GRACE + 100 * MS))
                .readId("a-1", "in time", moment + GRACE);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "late", moment + GRACE + 1);
        assertEquals(List.of(Rule.DRAIN), fixture.rules());
    }

    private void assertNotToldBy(long moment) {
        fixture.at(moment).readId("a-1", "r", moment);
        assertEquals(List.of(), fixture.rules());
    }

    private void called(long id, boolean whole, long wait) {
        fixture.checker.discoveryCall(CheckerFixture.SIDE, id, whole, wait);
    }

    @Test
    void aDrainIsTold() {
        fixture.at(S).delivered("a-1", "Terminating", 0);
        assertToldAt(S);
    }

    @Test
    void anEndIsTold() {
        fixture.at(S).delivered("a-1", "Gone", 0);
        assertToldAt(S);
    }

    @Test
    void toldAgainItIsNoLater() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(2 * S).delivered("a-1", "Gone", 0);
        assertToldAt(S);
    }

    @Test
    void anotherServersOrSidecarsIsNot() {
        fixture.at(S).delivered("a-2", "Terminating", 0);
        fixture.checker.listDelivered("side-1", "a-1", "Terminating", 0);
        assertNotToldBy(8 * S);
    }

    @Test
    void readyAgainItMayBeSentTo() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(2 * S).delivered("a-1", "Ready", S);
        assertNotToldBy(9 * S);
        fixture.delivered("a-1", "Gone", S);
        assertToldAt(9 * S);
    }

    @Test
    void whatCountsIsWhenTheFirstByteWasSent() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(4 * S).delivered("a-1", "Ready", 0);
        fixture.readId("a-1", "r", S + GRACE + 1);
        assertEquals(List.of(Rule.DRAIN), fixture.rules());
    }

    @Test
    void aNewProcessBeginsAnew() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(2 * S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        assertNotToldBy(8 * S);
        fixture.delivered("a-1", "Terminating", 0);
        assertToldAt(8 * S);
    }

    @Test
    void whatTheOldProcessSentIsJudgedByWhatItKnew() {
        fixture.at(S).delivered("a-1", "Terminating", 0).at(4 * S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.readId("a-1", "r", 4 * S - MS);
        assertEquals(List.of(Rule.DRAIN), fixture.rules());
    }

    @Test
    void aLostWatchCountsTwoSecondsAfterItsWait() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        assertToldAt(S + 4500 * MS);
    }

    @Test
    void whatDiscoveryLearnsAfterItsWaitDoesNot() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(S + 2500 * MS + 1).discoveryKnows("a-1", "Terminating", 0);
        assertNotToldBy(9 * S);
    }

    @Test
    void aLostWholeListCountsAfterSixSeconds() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        called(1, true, 0);
        assertToldAt(7 * S);
    }

    @Test
    void anAnsweredCallSaysWhatItSays() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.at(3 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDE, 1, true);
        assertNotToldBy(9 * S);
    }

    @Test
    void aFailedCallSaysNothing() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        called(1, true, 0);
        fixture.at(2 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDE, 1, false);
        assertNotToldBy(11 * S);
    }

    @Test
    void readyAgainSinceOutweighsALostWatch() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.at(3 * S).discoveryKnows("a-1", "Ready", 0).delivered("a-1", "Ready", 0);
        assertNotToldBy(9 * S);
    }

    @Test
    void aStaleListDoesNotOutweighIt() {
        fixture.discoveryKnows("a-1", "Ready", 0).at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S)
                .discoveryKnows("a-1", "Terminating", 0)
                .at(3 * S)
                .delivered("a-1", "Ready", 0);
        assertToldAt(S + 4500 * MS);
    }

    /** Who was told of a later version knows better than a list that is older. */
    @Test
    void aStaleDrainObligesToNothing() {
        fixture.at(S)
                .discoveryKnows("a-1", "Terminating", 0)
                .at(2 * S)
                .discoveryKnows("a-1", "Ready", 0)
                .delivered("a-1", "Ready", 0);
        fixture.at(3 * S).delivered("a-1", "Terminating", 0);
        called(1, false, MS);
        assertNotToldBy(6 * S);
        fixture.at(7 * S)
                .discoveryKnows("a-1", "Terminating", 0)
                .delivered("a-1", "Terminating", 0);
        assertToldAt(7 * S);
    }

    @Test
    void whatDidNotArriveWasNotTold() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0).delivered("a-1", "Terminating", 0);
        fixture.at(2 * S).checker.listNotDelivered(CheckerFixture.SIDE, S);
        assertNotToldBy(4 * S);
        fixture.at(5 * S).delivered("a-1", "Terminating", 0);
        assertToldAt(5 * S);
    }

    @Test
    void whoStoodStillHasTheTimeOfACallToAskAgain() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, 3 * S, 7 * S);
        assertToldAt(9 * S);
    }

    @Test
    void whatALaterCallIsToTellIsDueWithThat() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0).at(4 * S);
        called(2, true, 0);
        assertToldAt(10 * S);
    }

    @Test
    void whileDiscoveryCannotBeReachedItDoesNotCount() {
        fixture.at(S);
        called(1, false, 2500 * MS);
        fixture.at(2 * S).discoveryKnows("a-1", "Terminating", 0);
        fixture.checker.discoveryUnreachable(CheckerFixture.SIDE, 3 * S, 5 * S);
        assertToldAt(11 * S);
    }

    @Test
    void sighupTellsWhatIsKnownAfterFourSeconds() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0).at(2 * S);
        fixture.checker.sidecarSighup(CheckerFixture.SIDE, 1);
        assertToldAt(6 * S);
    }

    @Test
    void aCallOfTheOldDiscoveryEndsWithIt() {
        fixture.at(S);
        called(1, false, 9 * S);
        fixture.at(2 * S);
        fixture.checker.sidecarSighup(CheckerFixture.SIDE, 1);
        fixture.at(3 * S).discoveryKnows("a-1", "Terminating", 0);
        called(2, false, 60 * S);
        assertNotToldBy(30 * S);
    }

    @Test
    void whatWasLostOnTheWayCountsAsToldWithWhatDidNotArrive() {
        fixture.at(S);
        called(1, true, 2 * S);
        fixture.discoveryKnows("a-1", "Terminating", 0)
                .at(2 * S)
                .delivered("a-1", "Terminating", 0);
        fixture.checker.listNotDelivered(CheckerFixture.SIDE, 2 * S);
        assertToldAt(5 * S);
    }

    @Test
    void whoDoesNotAskCountsAsToldWhatWasKnownThen() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        assertToldAt(11 * S);
    }

    @Test
    void alsoOfWhatComesLater() {
        fixture.at(20 * S).discoveryKnows("a-1", "Terminating", 0);
        assertToldAt(30 * S);
    }

    @Test
    void aFailedCallIsNoWord() {
        fixture.at(S);
        called(1, true, 0);
        fixture.discoveryKnows("a-1", "Terminating", 0).at(2 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDE, 1, false);
        assertNotToldBy(12 * S);
        assertToldAt(12 * S);
    }

    @Test
    void whereNobodyCouldBeAskedItTakesLonger() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0);
        fixture.checker.discoveryUnreachable(CheckerFixture.SIDE, 2 * S, 9 * S);
        assertNotToldBy(15 * S);
        assertToldAt(15 * S);
    }

    @Test
    void whoAsksIsNotSilent() {
        fixture.at(S).discoveryKnows("a-1", "Terminating", 0).at(8 * S);
        called(1, false, 20 * S);
        fixture.at(27 * S);
        fixture.checker.discoveryCallEnded(CheckerFixture.SIDE, 1, true);
        assertNotToldBy(36 * S);
    }
}
