package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the rules on Retry-After, readiness, shutdown and calls of discovery. */
class ProcessRulesTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void assertViolations(Rule... rules) {
        assertEquals(List.of(rules), fixture.rules());
    }

    // ---- Retry-After

    private void answered(int status, long retryAfter) {
        fixture.at(S).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.answered("r", status, "", retryAfter, fixture.now);
    }

    @Test
    void refusalMayCarryRetryAfter() {
        answered(503, S);
        answered(429, -1);
        assertViolations();
    }

    @Test
    void retryAfterLongerThanAllowedIsReported() {
        answered(503, S + 1);
        assertViolations(Rule.RETRY_AFTER);
    }

    @Test
    void retryAfterOnAnotherAnswerIsReported() {
        answered(504, 0);
        assertViolations(Rule.RETRY_AFTER);
    }

    // ---- readiness

    private void ready(int status) {
        fixture.checker.readinessAnswered(CheckerFixture.SIDECAR, status, fixture.now);
    }

    @Test
    void sidecarWithAReadyServerMayReportReady() {
        fixture.at(S).delivered("a-1", "Ready", 0);
        ready(200);
        assertViolations();
    }

    @Test
    void sidecarWithoutAServerMustNotReportReady() {
        fixture.at(S);
        ready(503);
        assertViolations();
        ready(200);
        assertViolations(Rule.READY);
    }

    @Test
    void sidecarWithDrainingServersOnlyIsNotReadyAfterTheGracePeriod() {
        fixture.at(S).delivered("a-1", "Ready", 0).at(2 * S).delivered("a-1", "Terminating", 0);
        fixture.after(fixture.bounds.drainGrace() + fixture.bounds.socketSlack() - 1);
        ready(200);
        assertViolations();
        fixture.after(1);
        ready(200);
        assertViolations(Rule.READY);
    }

    @Test
    void readyAfterSigtermIsReported() {
        fixture.at(S).delivered("a-1", "Ready", 0);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.after(60 * MS);
        ready(200);
        assertViolations();
        fixture.after(1);
        ready(200);
        assertViolations(Rule.READY);
    }

    @Test
    void pausedSidecarMayReportReadyAfterSigterm() {
        fixture.at(S).delivered("a-1", "Ready", 0);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, S, 2 * S);
        fixture.at(2 * S);
        ready(200);
        assertViolations();
    }

    // ---- shutdown

    @Test
    void connectionRefusedSoonAfterSigtermIsReported() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.after(400 * MS);
        fixture.checker.connectRefused(CheckerFixture.SIDECAR, fixture.now);
        assertViolations(Rule.ENDING);
    }

    @Test
    void connectionRefusedLaterMayHaveArrivedLater() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.after(400 * MS + 1);
        fixture.checker.connectRefused(CheckerFixture.SIDECAR, S + MS);
        assertViolations();
    }

    @Test
    void refusalByAnExitedProcessIsReported() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDECAR, 1, 0);
        fixture.checker.connectRefused(CheckerFixture.SIDECAR, fixture.now);
        assertViolations(Rule.ENDING);
    }

    @Test
    void refusalByARunningReadyProcessIsReported() {
        fixture.at(S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.checker.connectRefused(CheckerFixture.SIDECAR, fixture.now);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.checker.connectRefused(CheckerFixture.SIDECAR, fixture.now);
        fixture.at(2 * S).checker.sidecarReady(CheckerFixture.SIDECAR, 2);
        assertViolations();
        fixture.checker.connectRefused(CheckerFixture.SIDECAR, fixture.now);
        assertViolations(Rule.ENDING);
    }

    @Test
    void earlySigkillIsNotAShutdownViolation() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.at(S + 2250 * MS - 1);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        assertViolations();
    }

    @Test
    void processStillRunningAtSigkillIsReported() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.at(S + 2250 * MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        assertViolations(Rule.ENDING);
    }

    @Test
    void pauseDuringShutdownIsExcused() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, 2 * S, 3 * S);
        fixture.at(S + 2200 * MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        assertViolations();
    }

    @Test
    void linkTroubleDuringShutdownIsExcused() {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDECAR, null, 2 * S, 3 * S);
        fixture.at(S + 2200 * MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        assertViolations();
    }

    // ---- discovery

    @Test
    void thirdConnectionToDiscoveryIsReported() {
        fixture.checker.discoveryConnecting(CheckerFixture.SIDECAR, 2);
        assertViolations();
        fixture.checker.discoveryConnecting(CheckerFixture.SIDECAR, 3);
        assertViolations(Rule.DISCOVERY);
    }

    @Test
    void tooManyDiscoveryCallsWithinASecondAreReported() {
        for (int i = 0; i < 100; i++) {
            fixture.at(S + i * 50 * MS).checker.discoveryCall(CheckerFixture.SIDECAR, i, true, 0);
        }
        assertViolations();
        fixture.after(MS).checker.discoveryCall(CheckerFixture.SIDECAR, 100, true, 0);
        assertViolations(Rule.DISCOVERY);
    }
}
