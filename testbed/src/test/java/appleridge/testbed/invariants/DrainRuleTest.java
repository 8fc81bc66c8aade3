package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class DrainRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private static final long GRACE = 2050 * MS;
    private final Scene scene = new Scene();

    /** Sends up to the grace after a moment are fine, and the next one isn't. */
    private void assertToldAt(long moment) {
        scene.at(Math.max(scene.now, moment + GRACE + 100 * MS))
                .begun("a-1", "in time", moment + GRACE);
        assertEquals(List.of(), scene.rules());
        scene.begun("a-1", "late", moment + GRACE + 1);
        assertEquals(List.of(Rule.DRAIN), scene.rules());
    }

    private void assertNotToldBy(long moment) {
        scene.at(moment).begun("a-1", "r", moment);
        assertEquals(List.of(), scene.rules());
    }

    private void called(long id, boolean whole, long wait) {
        scene.judge.discoveryCall(Scene.SIDE, id, whole, wait);
    }

    @Test
    void aDrainIsTold() {
        scene.at(S).told("a-1", "Terminating", 0);
        assertToldAt(S);
    }

    @Test
    void anEndIsTold() {
        scene.at(S).told("a-1", "Gone", 0);
        assertToldAt(S);
    }

    @Test
    void toldAgainItIsNoLater() {
        scene.at(S).told("a-1", "Terminating", 0).at(2 * S).told("a-1", "Gone", 0);
        assertToldAt(S);
    }

    @Test
    void anotherServersOrSidecarsIsNot() {
        scene.at(S).told("a-2", "Terminating", 0);
        scene.judge.listDelivered("side-1", "a-1", "Terminating", 0);
        assertNotToldBy(8 * S);
    }

    @Test
    void readyAgainItMayBeSentTo() {
        scene.at(S).told("a-1", "Terminating", 0).at(2 * S).told("a-1", "Ready", S);
        assertNotToldBy(9 * S);
        scene.told("a-1", "Gone", S);
        assertToldAt(9 * S);
    }

    @Test
    void whatCountsIsWhenTheFirstByteWasSent() {
        scene.at(S).told("a-1", "Terminating", 0).at(4 * S).told("a-1", "Ready", 0);
        scene.begun("a-1", "r", S + GRACE + 1);
        assertEquals(List.of(Rule.DRAIN), scene.rules());
    }

    @Test
    void aNewProcessBeginsAnew() {
        scene.at(S).told("a-1", "Terminating", 0).at(2 * S);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        assertNotToldBy(8 * S);
        scene.told("a-1", "Terminating", 0);
        assertToldAt(8 * S);
    }

    @Test
    void whatTheOldProcessSentIsJudgedByWhatItKnew() {
        scene.at(S).told("a-1", "Terminating", 0).at(4 * S);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.begun("a-1", "r", 4 * S - MS);
        assertEquals(List.of(Rule.DRAIN), scene.rules());
    }

    @Test
    void aLostWatchCountsTwoSecondsAfterItsWait() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0);
        assertToldAt(S + 4500 * MS);
    }

    @Test
    void whatDiscoveryLearnsAfterItsWaitDoesNot() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(S + 2500 * MS + 1).knows("a-1", "Terminating", 0);
        assertNotToldBy(9 * S);
    }

    @Test
    void aLostWholeListCountsAfterSixSeconds() {
        scene.at(S).knows("a-1", "Terminating", 0);
        called(1, true, 0);
        assertToldAt(7 * S);
    }

    @Test
    void anAnsweredCallSaysWhatItSays() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0);
        scene.at(3 * S);
        scene.judge.discoveryCallEnded(Scene.SIDE, 1, true);
        assertNotToldBy(9 * S);
    }

    @Test
    void aFailedCallSaysNothing() {
        scene.at(S).knows("a-1", "Terminating", 0);
        called(1, true, 0);
        scene.at(2 * S);
        scene.judge.discoveryCallEnded(Scene.SIDE, 1, false);
        assertNotToldBy(11 * S);
    }

    @Test
    void readyAgainSinceOutweighsALostWatch() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0);
        scene.at(3 * S).knows("a-1", "Ready", 0).told("a-1", "Ready", 0);
        assertNotToldBy(9 * S);
    }

    @Test
    void aStaleListDoesNotOutweighIt() {
        scene.knows("a-1", "Ready", 0).at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0).at(3 * S).told("a-1", "Ready", 0);
        assertToldAt(S + 4500 * MS);
    }

    /** Who was told of a later version knows better than a list that is older. */
    @Test
    void aStaleDrainObligesToNothing() {
        scene.at(S)
                .knows("a-1", "Terminating", 0)
                .at(2 * S)
                .knows("a-1", "Ready", 0)
                .told("a-1", "Ready", 0);
        scene.at(3 * S).told("a-1", "Terminating", 0);
        called(1, false, MS);
        assertNotToldBy(6 * S);
        scene.at(7 * S).knows("a-1", "Terminating", 0).told("a-1", "Terminating", 0);
        assertToldAt(7 * S);
    }

    @Test
    void whatDidNotArriveWasNotTold() {
        scene.at(S).knows("a-1", "Terminating", 0).told("a-1", "Terminating", 0);
        scene.at(2 * S).judge.listNotDelivered(Scene.SIDE, S);
        assertNotToldBy(4 * S);
        scene.at(5 * S).told("a-1", "Terminating", 0);
        assertToldAt(5 * S);
    }

    @Test
    void whoStoodStillHasTheTimeOfACallToAskAgain() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0);
        scene.judge.sidecarPaused(Scene.SIDE, 3 * S, 7 * S);
        assertToldAt(9 * S);
    }

    @Test
    void whatALaterCallIsToTellIsDueWithThat() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0).at(4 * S);
        called(2, true, 0);
        assertToldAt(10 * S);
    }

    @Test
    void whileDiscoveryCannotBeReachedItDoesNotCount() {
        scene.at(S);
        called(1, false, 2500 * MS);
        scene.at(2 * S).knows("a-1", "Terminating", 0);
        scene.judge.discoveryUnreachable(Scene.SIDE, 3 * S, 5 * S);
        assertToldAt(11 * S);
    }

    @Test
    void sighupTellsWhatIsKnownAfterFourSeconds() {
        scene.at(S).knows("a-1", "Terminating", 0).at(2 * S);
        scene.judge.sidecarSighup(Scene.SIDE, 1);
        assertToldAt(6 * S);
    }

    @Test
    void aCallOfTheOldDiscoveryEndsWithIt() {
        scene.at(S);
        called(1, false, 9 * S);
        scene.at(2 * S);
        scene.judge.sidecarSighup(Scene.SIDE, 1);
        scene.at(3 * S).knows("a-1", "Terminating", 0);
        called(2, false, 60 * S);
        assertNotToldBy(30 * S);
    }

    @Test
    void whatWasLostOnTheWayCountsAsToldWithWhatDidNotArrive() {
        scene.at(S);
        called(1, true, 2 * S);
        scene.knows("a-1", "Terminating", 0).at(2 * S).told("a-1", "Terminating", 0);
        scene.judge.listNotDelivered(Scene.SIDE, 2 * S);
        assertToldAt(5 * S);
    }

    @Test
    void whoDoesNotAskCountsAsToldWhatWasKnownThen() {
        scene.at(S).knows("a-1", "Terminating", 0);
        assertToldAt(11 * S);
    }

    @Test
    void alsoOfWhatComesLater() {
        scene.at(20 * S).knows("a-1", "Terminating", 0);
        assertToldAt(30 * S);
    }

    @Test
    void aFailedCallIsNoWord() {
        scene.at(S);
        called(1, true, 0);
        scene.knows("a-1", "Terminating", 0).at(2 * S);
        scene.judge.discoveryCallEnded(Scene.SIDE, 1, false);
        assertNotToldBy(12 * S);
        assertToldAt(12 * S);
    }

    @Test
    void whereNobodyCouldBeAskedItTakesLonger() {
        scene.at(S).knows("a-1", "Terminating", 0);
        scene.judge.discoveryUnreachable(Scene.SIDE, 2 * S, 9 * S);
        assertNotToldBy(15 * S);
        assertToldAt(15 * S);
    }

    @Test
    void whoAsksIsNotSilent() {
        scene.at(S).knows("a-1", "Terminating", 0).at(8 * S);
        called(1, false, 20 * S);
        scene.at(27 * S);
        scene.judge.discoveryCallEnded(Scene.SIDE, 1, true);
        assertNotToldBy(36 * S);
    }
}
