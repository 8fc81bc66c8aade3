package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.simnet.SeededRandom;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BadClientsTest {
    private static final Set<BadKind> UNSEEN =
            EnumSet.of(BadKind.HALF_CLOSE, BadKind.HALF_RESET, BadKind.NEVER_READS);

    private static SimulatedDay day(BadKind kind, int count) {
        return SimulatedDay.run(
                "seed 2\nat 2 bad style=" + FaultKind.word(kind) + " who=n0 count=" + count);
    }

    @Test
    void eachKindComesAndSaysWhatItIsOwed() {
        for (BadKind kind : BadKind.values()) {
            SimulatedDay day = day(kind, 2);
            assertEquals(1, day.recorder.faults.get("bad"), kind.name());
            assertEquals(UNSEEN.contains(kind), day.recorder.badConnected.isEmpty(), kind.name());
            day.recorder
                    .badEnded
                    .values()
                    .forEach(status -> assertTrue(status != 200, kind + " served"));
            assertTrue(
                    day.recorder.badConnected.keySet().containsAll(day.recorder.badEnded.keySet()));
        }
    }

    @Test
    void whatIsWrongIsTurnedAwayAndToldOnce() {
        SimulatedDay day = day(BadKind.UNKNOWN_CLASS, 3);
        assertEquals(3, day.recorder.badEnded.size());
        day.recorder.badEnded.values().forEach(status -> assertEquals(400, status));
    }

    @Test
    void someComeAgainAtOnce() {
        assertEquals(21, day(BadKind.AGAIN, 1).recorder.badConnected.size());
    }

    @Test
    void crowdsAreCrowds() {
        SimulatedDay day = day(BadKind.CROWD, 1);
        assertTrue(
                day.recorder.badConnected.size() >= 30, "came " + day.recorder.badConnected.size());
        assertTrue(
                day.recorder.badEnded.size() == day.recorder.badConnected.size(),
                "they leave in the end");
    }

    @Test
    void aHiddenRequestIsToldOfAndReachesServersThroughAProxyThatReadsOn() {
        SimulatedDay day = day(BadKind.HIDDEN, 1);
        String hidden = BadRequests.hiddenId(day.recorder.hidden.get(1));
        assertEquals(hidden, day.recorder.hidden.get(0));
        assertTrue(day.recorder.arrived.contains(hidden));
    }

    @Test
    void anothersIdIsUsedWhileItIsOpenAndNeverTakenForTheOther() {
        SimulatedDay day = day(BadKind.SAME_ID, 3);
        assertEquals(3, day.recorder.badConnected.size());
        List<String> usual =
                day.recorder.arrived.stream()
                        .filter(id -> !id.startsWith(Site.BAD_CLIENT_ID_PREFIX))
                        .toList();
        assertEquals(3, day.recorder.arrived.size() - usual.size(), "the proxy passes them on");
        assertEquals(usual.size(), usual.stream().distinct().count());
    }

    @Test
    void whatTheySendIsBadInItsOwnWay() {
        BadRequests requests = new BadRequests(new SeededRandom(1));
        assertTrue(text(requests, BadKind.HIDDEN).contains("Content-Length: "));
        assertTrue(text(requests, BadKind.HIDDEN).contains("Transfer-Encoding: chunked"));
        assertTrue(text(requests, BadKind.HIDDEN).contains(BadRequests.hiddenId("bad-1")));
        assertTrue(text(requests, BadKind.BIG_BODY).length() > 500_000);
        assertFalse(text(requests, BadKind.ENDLESS_HEAD).contains("\r\n\r\n"));
        assertFalse(text(requests, BadKind.SLOW_HEAD).contains("\r\n\r\n"));
        assertEquals(201, text(requests, BadKind.HUNDREDS).split("GET /api", -1).length);
        assertEquals(1001, text(requests, BadKind.NEVER_READS).split("GET /health", -1).length);
        assertTrue(requests.script(BadKind.CROWD, "bad-1").parts().isEmpty());
        assertEquals(Script.End.RESET, requests.script(BadKind.HALF_RESET, "bad-1").end());
        for (BadKind each : BadKind.values()) {
            if (each != BadKind.SAME_ID && each != BadKind.NO_ID && each != BadKind.HIDDEN) {
                assertTrue(
                        text(requests, each).split("X-Request-Id", -1).length <= 201, each.name());
            }
        }
        assertTrue(requests.same("a", "GET").parts().get(0).bytes()[0] == 'P');
        assertTrue(requests.same("a", "POST").parts().get(0).bytes()[0] == 'G');
    }

    private static String text(BadRequests requests, BadKind kind) {
        StringBuilder text = new StringBuilder();
        requests.script(kind, "bad-1")
                .parts()
                .forEach(
                        part -> text.append(new String(part.bytes(), StandardCharsets.ISO_8859_1)));
        return text.toString();
    }
}
