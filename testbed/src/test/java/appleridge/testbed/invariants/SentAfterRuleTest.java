package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SentAfterRuleTest {
    private static final long MS = CheckerFixture.MS;

    /** Time until a close is noticed: the link delay, the reaction time and the loop delay. */
    private static final long NOTICE_TIME = 15 * MS;

    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture accepted() {
        return fixture.at(CheckerFixture.S)
                .accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS)
                .after(10 * MS);
    }

    @Test
    void copySentAfterTheAnswerIsReported() {
        accepted();
        fixture.checker.answered("r", 504, "", -1, fixture.now - MS);
        fixture.after(MS).readId("a-1", "r", fixture.now - 2 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "r", fixture.now - 2 * MS + 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void copySentAfterTheAnswerIsReportedWhenTheClientReadsLater() {
        accepted().readId("a-1", "r", fixture.now - MS);
        fixture.checker.answered("r", 504, "", -1, fixture.now - MS - 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void copySentBeforeTheAnswerIsAccepted() {
        accepted().readId("a-1", "r", fixture.now - MS);
        fixture.checker.answered("r", 504, "", -1, fixture.now - MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void copySentAfterTheCloseWasNoticeableIsReported() {
        accepted();
        fixture.closeTimes.put("r", fixture.now);
        fixture.checker.clientGaveUp("r");
        long closedAt = fixture.now;
        fixture.after(50 * MS).readId("a-1", "r", closedAt + NOTICE_TIME);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "r", closedAt + NOTICE_TIME + 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void clientThatOnlyStopsWaitingIsNotNoticed() {
        accepted();
        fixture.checker.clientGaveUp("r");
        fixture.after(100 * MS).readId("a-1", "r");
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void pauseDelaysNoticingTheClose() {
        accepted();
        long closedAt = fixture.now;
        fixture.closeTimes.put("r", closedAt);
        fixture.checker.clientGaveUp("r");
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, closedAt, closedAt + 30 * MS);
        fixture.after(100 * MS).readId("a-1", "r", closedAt + NOTICE_TIME + 30 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "r", closedAt + NOTICE_TIME + 30 * MS + 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void lastByteSentAfterTheAnswerIsReported() {
        accepted().readId("a-1", "r", fixture.now - MS);
        fixture.checker.answered("r", 504, "", -1, fixture.now);
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDECAR, "r", fixture.now - MS, fixture.now, 0);
        assertEquals(List.of(), fixture.rules());
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDECAR, "r", fixture.now - MS, fixture.now + 1, 0);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }
}
