package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on what a process says of itself, how it ends, and how it asks discovery. */
class ProcessRulesTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void assertBroken(Rule... rules) {
        assertEquals(List.of(rules), fixture.rules());
    }

    // ---- come again

    private void answered(int status, long retryAfter) {
        fixture.at(S).taken("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.answered("r", status, "", retryAfter, fixture.now);
    }

    @Test
    void aRefusalSaysWhenToComeAgain() {
        answered(503, S);
        answered(429, -1);
        assertBroken();
    }

    @Test
    void notAfterLongerThanIsAllowed() {
        answered(503, S + 1);
        assertBroken(Rule.RETRY_AFTER);
    }

    @Test
    void norAnyOtherAnswer() {
        answered(504, 0);
        assertBroken(Rule.RETRY_AFTER);
    }

    // ---- ready

    private void ready(int status) {
        fixture.checker.readinessAnswered(CheckerFixture.SIDE, status, fixture.now);
    }

    @Test
    void whoHasAServerIsReady() {
        fixture.at(S).delivered("a-1", "Ready", 0);
        ready(200);
        assertBroken();
    }

    @Test
    void whoHasNoneIsNot() {
        fixture.at(S);
        ready(503);
        assertBroken();
        ready(200);
        assertBroken(Rule.READY);
    }

    @Test
    void whereAllDrainItIsNotReadyWhenTheGraceIsOver() {
        fixture.at(S).delivered("a-1", "Ready", 0).at(2 * S).delivered("a-1", "Terminating", 0);
        fixture.after(fixture.bounds.drainGrace() + fixture.bounds.socketSlack() - 1);
        ready(200);
        assertBroken();
        fixture.after(1);
        ready(200);
        assertBroken(Rule.READY);
    }

    @Test
    void norAfterSigterm() {
        fixture.at(S).delivered("a-1", "Ready", 0);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.after(60 * MS);
        ready(200);
        assertBroken();
        fixture.after(1);
        ready(200);
        assertBroken(Rule.READY);
    }

    @Test
    void whoStoodStillMayNotHaveHeard() {
        fixture.at(S).delivered("a-1", "Ready", 0);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, S, 2 * S);
        fixture.at(2 * S);
        ready(200);
        assertBroken();
    }

    // ---- ends

    @Test
    void connectionsAreTakenForAWhileAfterSigterm() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.after(400 * MS);
        fixture.checker.connectRefused(CheckerFixture.SIDE, fixture.now);
        assertBroken(Rule.ENDING);
    }

    @Test
    void whatIsRefusedLaterMayHaveComeLater() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.after(400 * MS + 1);
        fixture.checker.connectRefused(CheckerFixture.SIDE, S + MS);
        assertBroken();
    }

    @Test
    void alsoByAProcessThatHasEndedByItself() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDE, 1, 0);
        fixture.checker.connectRefused(CheckerFixture.SIDE, fixture.now);
        assertBroken(Rule.ENDING);
    }

    @Test
    void whoRunsRefusesNone() {
        fixture.at(S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.checker.connectRefused(CheckerFixture.SIDE, fixture.now);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.checker.connectRefused(CheckerFixture.SIDE, fixture.now);
        fixture.at(2 * S).checker.sidecarReady(CheckerFixture.SIDE, 2);
        assertBroken();
        fixture.checker.connectRefused(CheckerFixture.SIDE, fixture.now);
        assertBroken(Rule.ENDING);
    }

    @Test
    void aProcessEndsByItselfBeforeItIsKilled() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.at(S + 2250 * MS - 1);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        assertBroken();
    }

    @Test
    void killedLaterItHasNot() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.at(S + 2250 * MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        assertBroken(Rule.ENDING);
    }

    @Test
    void whoStoodStillMeanwhileIsExcused() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, 2 * S, 3 * S);
        fixture.at(S + 2200 * MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        assertBroken();
    }

    @Test
    void soIsWhoCouldNotReachItsClients() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, null, 2 * S, 3 * S);
        fixture.at(S + 2200 * MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        assertBroken();
    }

    // ---- discovery

    @Test
    void twoConnectionsToDiscoveryAreEnough() {
        fixture.checker.discoveryConnecting(CheckerFixture.SIDE, 2);
        assertBroken();
        fixture.checker.discoveryConnecting(CheckerFixture.SIDE, 3);
        assertBroken(Rule.DISCOVERY);
    }

    @Test
    void itIsNotAskedTooOften() {
        for (int i = 0; i < 100; i++) {
            fixture.at(S + i * 50 * MS).checker.discoveryCall(CheckerFixture.SIDE, i, true, 0);
        }
        assertBroken();
        fixture.after(MS).checker.discoveryCall(CheckerFixture.SIDE, 100, true, 0);
        assertBroken(Rule.DISCOVERY);
    }
}
