package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long DEADLINE = 400 * MS;
    private static final Message OWN =
            Message.of("POST", "/api/x?a=1", "k", new byte[] {1, 2, 3}, 3);
    private final CheckerFixture fixture = new CheckerFixture();

    @BeforeEach
    void begin() {
        fixture.at(CheckerFixture.S).accepted("r", CheckerFixture.STOCK_HOLD, DEADLINE);
        fixture.checker.requestMessage("r", OWN);
        fixture.after(10 * MS);
    }

    private void serverReads(String id, Message message, long deadline) {
        fixture.checker.serverReadMessage(
                "a-1", CheckerFixture.SIDECAR, id, message, deadline, fixture.now - MS);
    }

    private void assertViolation(String what) {
        assertEquals(List.of(Rule.WRONG_REQUEST), fixture.rules());
        assertTrue(
                fixture.checker.violations().get(0).what().contains(what),
                fixture.checker.violations().toString());
    }

    @Test
    void unchangedRequestIsAccepted() {
        serverReads(
                "r", Message.of("POST", "/api/x?a=1", "k", new byte[] {1, 2, 3, 4}, 3), 390 * MS);
        serverReads("bad-1", OWN, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void changedMethodIsReported() {
        serverReads("r", Message.of("GET", "/api/x?a=1", "k", new byte[] {1, 2, 3}, 3), 390 * MS);
        assertViolation("method GET instead of POST");
    }

    @Test
    void changedQueryKeyAndLengthAreReported() {
        serverReads("r", Message.of("POST", "/api/x", null, new byte[] {1, 2}, 2), 390 * MS);
        assertViolation(
                "path and query /api/x instead of /api/x?a=1, Idempotency-Key null instead of k, "
                        + "length 2 instead of 3");
    }

    @Test
    void changedBodyIsReported() {
        serverReads("r", Message.of("POST", "/api/x?a=1", "k", new byte[] {1, 2, 4}, 3), 390 * MS);
        assertViolation("another body");
    }

    @Test
    void unknownIdIsReported() {
        serverReads("rr", OWN, 390 * MS);
        assertViolation("an id that no client has used");
    }

    @Test
    void missingIdIsReported() {
        serverReads("", OWN, 390 * MS);
        assertViolation("without an id");
    }

    @Test
    void moduleMustGetTheClientsAttributes() {
        fixture.checker.moduleRequest(
                CheckerFixture.SIDECAR, fixture.key(), CheckerFixture.STOCK_HOLD, 0, false);
        fixture.checker.moduleRequest(
                CheckerFixture.SIDECAR, 99, CheckerFixture.STOCK_CHECK, 4, true);
        assertEquals(List.of(), fixture.rules());
        fixture.checker.moduleRequest(
                CheckerFixture.SIDECAR, fixture.key(), CheckerFixture.STOCK_HOLD, 1, false);
        assertViolation("tenant 1, retry false instead of class 1, tenant 0");
    }

    @Test
    void deadlineLongerThanTheClientsIsReported() {
        serverReads("r", OWN, 401 * MS);
        assertViolation("a deadline of 0.401000000s");
    }

    @Test
    void deadlineLongerThanTheRemainingTimeIsReported() {
        fixture.after(100 * MS);
        // The delays of the loop and the link are granted on top of the remaining time.
        serverReads("r", OWN, 305 * MS);
        assertEquals(List.of(), fixture.rules());
        serverReads("r", OWN, 307 * MS);
        assertViolation("a deadline of 0.307000000s");
    }

    @Test
    void zeroDeadlineIsAcceptedOnlyInTheLastMoments() {
        fixture.after(375 * MS);
        serverReads("r", OWN, 0);
        assertEquals(List.of(), fixture.rules());
        fixture.at(fixture.now - 20 * MS);
        serverReads("r", OWN, 0);
        assertViolation("a deadline of 0.000000000s");
    }
}
