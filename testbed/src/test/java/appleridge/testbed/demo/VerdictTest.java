package appleridge.testbed.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.standin.LoopbackRegistry.State;
import appleridge.testbed.standin.RequestKind;
import appleridge.testbed.standin.StandInListener.Arrival;
import appleridge.testbed.standin.StandInListener.Ask;
import appleridge.testbed.standin.StandInListener.Ending;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests each rule kept and broken on constructed logs. Times are in milliseconds. */
class VerdictTest {
    private static final int CHECK = 0;
    private static final int HOLD = 1;
    private static final int CONFIRM = 2;
    private static final int INVOICE = 3;

    private final SiteLog log = new SiteLog();

    @BeforeEach
    void threeServers() {
        log.started("s1", false, 0);
        log.started("s2", false, 0);
        log.started("s3", true, 0);
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private void asks(String id, int kind, long at) {
        RequestKind asked = RequestKind.ALL.get(kind);
        log.asks(
                new Ask(
                        id,
                        id,
                        asked,
                        "roue-dor",
                        asked.repeats().keyed() ? "key-" + id : null,
                        0,
                        millis(at),
                        asked.patience()));
        log.taken(id, millis(at));
    }

    /** Servers s1 and s3 are in zone a, s2 in zone b. */
    private void arrives(String id, String server, long at, boolean turnedAway) {
        Ask ask = log.tries.get(id).ask;
        log.arrived(
                new Arrival(
                        server,
                        server.equals("s2") ? "b" : "a",
                        id,
                        ask.kind(),
                        ask.key(),
                        millis(at),
                        millis(at),
                        ask.kind().work(),
                        turnedAway));
    }

    private void runs(String id, String server, long at) {
        arrives(id, server, at, false);
        log.made(server, id, id + " by " + server);
    }

    private void answered(String id, int status, String body, long at) {
        log.answered(id, status, body, millis(at));
    }

    private void assertKept() {
        new Verdict(log).findings().forEach(each -> assertTrue(each.kept(), each.toString()));
    }

    /** Asserts that only this rule is broken, with this text in its violations. */
    private void assertBroken(String rule, String words) {
        List<Finding> broken = new ArrayList<>(new Verdict(log).findings());
        broken.removeIf(Finding::kept);
        assertEquals(1, broken.size(), broken.toString());
        assertEquals(rule, broken.get(0).rule());
        assertTrue(broken.get(0).broken().toString().contains(words), broken.toString());
    }

    private void assertLost(String words) {
        assertBroken("no request is lost", words);
    }

    private void assertTwice(String words) {
        assertBroken("no effect happens twice", words);
    }

    private void assertDrainBroken(String words) {
        assertBroken("drains are kept", words);
    }

    @Test
    void emptyLogBreaksNoRule() {
        assertKept();
    }

    @Test
    void requestWithAnyAnswerIsNotLost() {
        asks("served", CHECK, 0);
        runs("served", "s1", 5);
        answered("served", 200, "served by s1", 50);
        asks("refused", CONFIRM, 0);
        answered("refused", 503, "", 50);
        asks("failed", INVOICE, 0);
        arrives("failed", "s1", 5, false);
        answered("failed", 502, "", 50);
        assertKept();
    }

    @Test
    void requestOpenAtTheEndIsLost() {
        asks("r", CHECK, 0);
        assertLost("still open");
    }

    @Test
    void requestWithoutAnswerIsLost() {
        asks("r", CHECK, 0);
        log.ended("r", Ending.SILENT, millis(1400));
        assertLost("no answer");
    }

    @Test
    void requestIsLostIfItsConnectionClosesAfterForwarding() {
        asks("r", CHECK, 0);
        runs("r", "s1", 5);
        log.ended("r", Ending.CLOSED_FIRST, millis(50));
        assertLost("closed without an answer");
    }

    @Test
    void unforwardedCutAndAbandonedRequestsAreNotLost() {
        asks("closed", CHECK, 0);
        log.ended("closed", Ending.CLOSED_FIRST, millis(50));
        asks("cut", CHECK, 0);
        runs("cut", "s1", 5);
        log.ended("cut", Ending.CUT, millis(50));
        asks("left", INVOICE, 0);
        log.ended("left", Ending.GAVE_UP, millis(50));
        runs("left", "s1", 1500);
        log.asks(new Ask("never", "never", RequestKind.ALL.get(CHECK), "roue-dor", null, 0, 0, 0));
        assertKept();
    }

    @Test
    void reusedConnectionMayCloseOnlyBeforeItsRequestIsForwarded() {
        asks("crossed", CHECK, 0);
        log.sentAgain("crossed", millis(10));
        runs("crossed", "s1", 20);
        answered("crossed", 200, "crossed by s1", 50);
        assertKept();
        asks("dropped", CHECK, 0);
        runs("dropped", "s1", 5);
        log.sentAgain("dropped", millis(10));
        answered("dropped", 503, "", 50);
        assertLost("closed though it had been forwarded");
    }

    @Test
    void secondAnswerIsAViolation() {
        asks("r", CHECK, 0);
        runs("r", "s1", 5);
        answered("r", 200, "r by s1", 50);
        answered("r", 200, "r by s1", 60);
        assertLost("more than once");
    }

    @Test
    void unsolicitedAnswerIsAViolation() {
        log.unasked("/127.0.0.1:1", millis(5));
        assertLost("no request waited");
    }

    @Test
    void answerOfAnotherRequestIsAViolation() {
        asks("mine", CHECK, 0);
        runs("mine", "s1", 5);
        asks("other", CHECK, 0);
        runs("other", "s1", 5);
        answered("mine", 200, "other by s1", 50);
        answered("other", 200, "other by s1", 50);
        assertLost("no server produced for it");
    }

    @Test
    void forwardingAfterTheFinalAnswerIsAViolation() {
        asks("r", CHECK, 0);
        answered("r", 503, "", 50);
        arrives("r", "s1", 1049, true);
        assertKept();
        arrives("r", "s1", 1051, true);
        assertLost("forwarded after its final answer");
    }

    @Test
    void servedBadClientIsAViolation() {
        log.badClient("noise", "turned away", false);
        assertKept();
        log.badClient("no id", "served", true);
        assertLost("no id");
    }

    @Test
    void unsafeRequestIsRetriedOnlyIfNotExecuted() {
        asks("r", INVOICE, 0);
        arrives("r", "s1", 5, true);
        runs("r", "s2", 10);
        answered("r", 200, "r by s2", 50);
        assertKept();
        arrives("r", "s3", 40, false);
        assertTwice("at s2 in b, and again at s3 in a");
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsZone() {
        asks("r", HOLD, 0);
        arrives("r", "s1", 5, false);
        runs("r", "s3", 900);
        answered("r", 200, "r by s3", 950);
        assertKept();
        arrives("r", "s2", 940, false);
        assertTwice("again at s2 in b");
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsWindow() {
        asks("r", CONFIRM, 0);
        arrives("r", "s1", 5, false);
        arrives("r", "s2", 8500, false);
        log.ended("r", Ending.GAVE_UP, millis(9000));
        assertKept();
        arrives("r", "s2", 8600, false);
        assertTwice("8.60 s later");
    }

    @Test
    void safeRequestMayRunTwice() {
        asks("r", CHECK, 0);
        arrives("r", "s1", 5, false);
        runs("r", "s2", 100);
        answered("r", 200, "r by s2", 150);
        assertKept();
    }

    @Test
    void refusedRequestMustNotHaveRun() {
        asks("all", CONFIRM, 0);
        arrives("all", "s1", 5, false);
        answered("all", 503, "", 50);
        asks("away", INVOICE, 0);
        arrives("away", "s1", 5, true);
        answered("away", 503, "", 50);
        assertKept();
        asks("hold", HOLD, 0);
        arrives("hold", "s1", 5, false);
        answered("hold", 429, "", 50);
        assertTwice("hold: refused");
    }

    @Test
    void clientRetryCountsAsASecondEffect() {
        asks("first", INVOICE, 0);
        arrives("first", "s1", 5, false);
        answered("first", 502, "", 50);
        log.asks(
                new Ask(
                        "again",
                        "first",
                        RequestKind.ALL.get(INVOICE),
                        "roue-dor",
                        null,
                        1,
                        millis(100),
                        millis(1000)));
        runs("again", "s2", 105);
        answered("again", 200, "again by s2", 150);
        assertTwice("raise-invoice first");
    }

    @Test
    void unknownRequestAtAServerIsAViolation() {
        log.arrived(
                new Arrival(
                        "s1", "a", "bad-client", RequestKind.ALL.get(CHECK), null, 0, 0, 0, false));
        assertTwice("which no client requested");
    }

    @Test
    void drainingServerReceivesNothingAfterTheGracePeriod() {
        log.changed("s2", State.TERMINATING, 0);
        log.told("s2", State.TERMINATING, millis(1000));
        asks("r", CHECK, 3000);
        answered("r", 503, "", 3100);
        arrives("r", "s2", 3050, true);
        assertKept();
        arrives("r", "s2", 3051, true);
        assertDrainBroken("s2 was sent r 2.05 s after");
    }

    @Test
    void goneServerReceivesNothingAfterTheGracePeriod() {
        log.changed("s2", State.GONE, 0);
        log.told("s2", State.GONE, millis(1000));
        asks("r", CHECK, 3000);
        answered("r", 503, "", 5000);
        arrives("r", "s2", 4000, true);
        assertDrainBroken("3.00 s after");
    }

    @Test
    void unreportedDrainCountsAsReportedAfterALimit() {
        log.changed("s2", State.TERMINATING, 0);
        asks("r", CHECK, 7000);
        answered("r", 503, "", 9000);
        arrives("r", "s2", 8000, true);
        assertKept();
        arrives("r", "s2", 8100, true);
        assertDrainBroken("2.10 s after");
    }

    @Test
    void overloadOfAColdServerIsAViolation() {
        // After one second, its capacity is 47 % of three cores; four times that for 1.5 s is 8.5 s
        // of work.
        for (int i = 0; i < 100; i++) {
            asks("r" + i, INVOICE, 0);
            arrives("r" + i, "s3", 10L * i, true);
            arrives("r" + i, "s1", 10L * i, true);
            answered("r" + i, 503, "", 1000);
        }
        assertKept();
        for (int i = 0; i < 60; i++) {
            arrives("r" + i, "s3", 1000, true);
            arrives("r" + i, "s1", 1000, true);
            arrives("r" + i, "s1", 1000, true);
        }
        assertBroken("no cold server is pushed over", "s3 fell over");
    }

    @Test
    void coldServerThatFellOverIsAViolation() {
        log.fellOver("s3", millis(5));
        assertBroken("no cold server is pushed over", "s3 fell over");
    }
}
