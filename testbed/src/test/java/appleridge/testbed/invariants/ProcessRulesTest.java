package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on what a process says of itself, how it ends, and how it asks discovery. */
class ProcessRulesTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private final Scene scene = new Scene();

    private void assertBroken(Rule... rules) {
        assertEquals(List.of(rules), scene.rules());
    }

    // ---- come again

    private void answered(int status, long retryAfter) {
        scene.at(S).taken("r", Scene.STOCK_CHECK, 400 * MS);
        scene.judge.answered("r", status, "", retryAfter, scene.now);
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
        scene.judge.readinessAnswered(Scene.SIDE, status, scene.now);
    }

    @Test
    void whoHasAServerIsReady() {
        scene.at(S).told("a-1", "Ready", 0);
        ready(200);
        assertBroken();
    }

    @Test
    void whoHasNoneIsNot() {
        scene.at(S);
        ready(503);
        assertBroken();
        ready(200);
        assertBroken(Rule.READY);
    }

    @Test
    void whereAllDrainItIsNotReadyWhenTheGraceIsOver() {
        scene.at(S).told("a-1", "Ready", 0).at(2 * S).told("a-1", "Terminating", 0);
        scene.after(scene.figures.drainGrace() + scene.figures.socketSlack() - 1);
        ready(200);
        assertBroken();
        scene.after(1);
        ready(200);
        assertBroken(Rule.READY);
    }

    @Test
    void norAfterSigterm() {
        scene.at(S).told("a-1", "Ready", 0);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.after(60 * MS);
        ready(200);
        assertBroken();
        scene.after(1);
        ready(200);
        assertBroken(Rule.READY);
    }

    @Test
    void whoStoodStillMayNotHaveHeard() {
        scene.at(S).told("a-1", "Ready", 0);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.sidecarPaused(Scene.SIDE, S, 2 * S);
        scene.at(2 * S);
        ready(200);
        assertBroken();
    }

    // ---- ends

    @Test
    void connectionsAreTakenForAWhileAfterSigterm() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.after(400 * MS);
        scene.judge.connectRefused(Scene.SIDE, scene.now);
        assertBroken(Rule.ENDING);
    }

    @Test
    void whatIsRefusedLaterMayHaveComeLater() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.after(400 * MS + 1);
        scene.judge.connectRefused(Scene.SIDE, S + MS);
        assertBroken();
    }

    @Test
    void alsoByAProcessThatHasEndedByItself() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.sidecarExited(Scene.SIDE, 1, 0);
        scene.judge.connectRefused(Scene.SIDE, scene.now);
        assertBroken(Rule.ENDING);
    }

    @Test
    void whoRunsRefusesNone() {
        scene.at(S);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.judge.connectRefused(Scene.SIDE, scene.now);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.judge.connectRefused(Scene.SIDE, scene.now);
        scene.at(2 * S).judge.sidecarReady(Scene.SIDE, 2);
        assertBroken();
        scene.judge.connectRefused(Scene.SIDE, scene.now);
        assertBroken(Rule.ENDING);
    }

    @Test
    void aProcessEndsByItselfBeforeItIsKilled() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.at(S + 2250 * MS - 1);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        assertBroken();
    }

    @Test
    void killedLaterItHasNot() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.at(S + 2250 * MS);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        assertBroken(Rule.ENDING);
    }

    @Test
    void whoStoodStillMeanwhileIsExcused() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.sidecarPaused(Scene.SIDE, 2 * S, 3 * S);
        scene.at(S + 2200 * MS);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        assertBroken();
    }

    @Test
    void soIsWhoCouldNotReachItsClients() {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.clientLinkTroubled(Scene.SIDE, null, 2 * S, 3 * S);
        scene.at(S + 2200 * MS);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        assertBroken();
    }

    // ---- discovery

    @Test
    void twoConnectionsToDiscoveryAreEnough() {
        scene.judge.discoveryConnecting(Scene.SIDE, 2);
        assertBroken();
        scene.judge.discoveryConnecting(Scene.SIDE, 3);
        assertBroken(Rule.DISCOVERY);
    }

    @Test
    void itIsNotAskedTooOften() {
        for (int i = 0; i < 100; i++) {
            scene.at(S + i * 50 * MS).judge.discoveryCall(Scene.SIDE, i, true, 0);
        }
        assertBroken();
        scene.after(MS).judge.discoveryCall(Scene.SIDE, 100, true, 0);
        assertBroken(Rule.DISCOVERY);
    }
}
