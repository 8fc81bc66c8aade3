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
        fixture.at(CheckerFixture.S).taken("r", CheckerFixture.STOCK_HOLD, DEADLINE);
        fixture.checker.requestMessage("r", OWN);
        fixture.after(10 * MS);
    }

    private void reads(String id, Message message, long deadline) {
        fixture.checker.serverReadMessage(
                "a-1", CheckerFixture.SIDE, id, message, deadline, fixture.now - MS);
    }

    private void assertFound(String what) {
        assertEquals(List.of(Rule.WRONG_REQUEST), fixture.rules());
        assertTrue(
                fixture.checker.violations().get(0).what().contains(what),
                fixture.checker.violations().toString());
    }

    @Test
    void whatComesAsItWasWrittenIsFine() {
        reads("r", Message.of("POST", "/api/x?a=1", "k", new byte[] {1, 2, 3, 4}, 3), 390 * MS);
        reads("bad-1", OWN, 0);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void noneOfItMayChange() {
        reads("r", Message.of("GET", "/api/x?a=1", "k", new byte[] {1, 2, 3}, 3), 390 * MS);
        assertFound("method GET instead of POST");
    }

    @Test
    void theQueryBelongsToIt() {
        reads("r", Message.of("POST", "/api/x", null, new byte[] {1, 2}, 2), 390 * MS);
        assertFound(
                "path and query /api/x instead of /api/x?a=1, Idempotency-Key null instead of k, "
                        + "length 2 instead of 3");
    }

    @Test
    void theBodyByEachByte() {
        reads("r", Message.of("POST", "/api/x?a=1", "k", new byte[] {1, 2, 4}, 3), 390 * MS);
        assertFound("another body");
    }

    @Test
    void anIdThatNobodyHasUsedIsNoOnes() {
        reads("rr", OWN, 390 * MS);
        assertFound("an id that no client has used");
    }

    @Test
    void norMayItBeLeftOut() {
        reads("", OWN, 390 * MS);
        assertFound("without an id");
    }

    @Test
    void theModuleIsToldWhatTheClientSaid() {
        fixture.checker.moduleRequest(
                CheckerFixture.SIDE, fixture.key(), CheckerFixture.STOCK_HOLD, 0, false);
        fixture.checker.moduleRequest(CheckerFixture.SIDE, 99, CheckerFixture.STOCK_CHECK, 4, true);
        assertEquals(List.of(), fixture.rules());
        fixture.checker.moduleRequest(
                CheckerFixture.SIDE, fixture.key(), CheckerFixture.STOCK_HOLD, 1, false);
        assertFound("tenant 1, retry false instead of class 1, tenant 0");
    }

    @Test
    void noLongerDeadlineThanTheClients() {
        reads("r", OWN, 401 * MS);
        assertFound("a deadline of 0.401000000s");
    }

    @Test
    void norThanWhatIsLeft() {
        fixture.after(100 * MS);
        // Of the time that the loop and the link may take something is left to it.
        reads("r", OWN, 305 * MS);
        assertEquals(List.of(), fixture.rules());
        reads("r", OWN, 307 * MS);
        assertFound("a deadline of 0.307000000s");
    }

    @Test
    void noneIsNoDeadlineButInTheLastMoments() {
        fixture.after(375 * MS);
        reads("r", OWN, 0);
        assertEquals(List.of(), fixture.rules());
        fixture.at(fixture.now - 20 * MS);
        reads("r", OWN, 0);
        assertFound("a deadline of 0.000000000s");
    }
}
