package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Message;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorldTest {
    private static final String CALM = "seed 1\nset errors 0\nset impatient 0\nset bursts 0\n";

    @Test
    void aCalmDayIsServed() {
        Played day = Played.whole(CALM);
        assertTrue(day.told.asks.size() >= 300, "asked " + day.told.asks.size());
        assertTrue(day.told.served() >= 0.95 * day.told.asks.size(), day.told.answers.toString());
        day.told.bodies.forEach(
                (id, body) -> {
                    if (day.told.answers.get(id) == 200) {
                        assertEquals(id, day.told.made.get(body));
                    }
                });
        assertTrue(day.told.ended);
        assertEquals(List.of("start n0 0", "start n1 0", "start n2 0"), day.log);
    }

    @Test
    void clientsTellWhatTheyWriteAndServersWhatTheyRead() {
        Recorded told = Played.whole("seed 3\nset large-bodies 0.3\n").told;
        assertEquals(told.asks.keySet(), told.written.keySet());
        assertFalse(told.read.isEmpty());
        told.read.forEach((id, message) -> assertEquals(told.written.get(id), message));
        told.deadlines.forEach(
                (id, deadline) -> assertEquals(told.asks.get(id).deadlineNanos(), deadline));
        assertTrue(told.written.values().stream().anyMatch(each -> each.uri().contains("?")));
        assertTrue(told.written.values().stream().map(Message::hash).distinct().count() > 100);
    }

    @Test
    void aKilledSidecarComesAgainAndItsClientsUseOthersMeanwhile() {
        Played day = Played.whole(CALM + "at 3 kill who=n0 down=1");
        assertTrue(day.told.sidecars.contains("n0 0 killed"));
        assertTrue(day.told.sidecars.contains("n0 1 ready"));
        assertTrue(day.told.served() >= 0.9 * day.told.asks.size());
    }

    @Test
    void aSidecarThatIsToldToEndEndsByItselfAndComesAgain() {
        Played day = Played.whole(CALM + "at 3 term who=n1 down=0.5");
        assertTrue(day.told.sidecars.contains("n1 0 exited 0"));
        assertTrue(day.told.sidecars.contains("n1 1 ready"));
    }

    @Test
    void whetherOneIsReadyIsAskedAgainAndAgainAndOftenAfterSigterm() {
        long usual = Played.whole(CALM).told.readiness.stream().filter("n1 200"::equals).count();
        assertTrue(usual > 15, "asked " + usual);
        Recorded told = Played.whole(CALM + "at 5 term who=n1 down=0").told;
        long more = told.readiness.stream().filter("n1 200"::equals).count();
        assertTrue(more >= usual + 2, "asked " + more);
        assertTrue(told.refused.isEmpty(), told.refused.toString());
    }

    @Test
    void whatOpensToDiscoveryIsCounted() {
        assertEquals(List.of(1), Played.whole(CALM).told.listConnects.stream().distinct().toList());
    }

    @Test
    void aProcessMayBeGivenNoList() {
        Played usual = new Played(Plan.parse(CALM));
        usual.world.begin();
        assertFalse(usual.told.told.isEmpty());
        Played without = new Played(Plan.parse(CALM + "set known 0"));
        without.world.begin();
        assertEquals(List.of(), without.told.told);
    }

    @Test
    void discoveryMovesAndAllAreTold() {
        Played day = Played.whole(CALM + "at 3 move\nat 5 crash who=s0 down=1");
        assertTrue(day.told.sidecars.containsAll(List.of("n0 0 hup", "n1 0 hup", "n2 0 hup")));
        assertTrue(day.told.told.contains("n2 s0.1 Ready"), day.told.told.toString());
    }

    @Test
    void aServerThatDrainsIsFollowedByAnotherUnderANewId() {
        Played day = Played.whole(CALM + "at 3 drain who=s1 down=0.5");
        List<String> own =
                day.told.servers.stream().filter(line -> line.startsWith("s1.")).toList();
        assertEquals(
                List.of("s1.0 0 Ready", "s1.0 0 Terminating", "s1.0 0 Gone", "s1.1 0 Ready born"),
                own);
        assertTrue(day.told.told.contains("n0 s1.0 Terminating"));
        assertTrue(day.told.told.contains("n0 s1.1 Ready"));
    }

    @Test
    void aServerThatRestartsKeepsItsId() {
        Played day = Played.whole(CALM + "at 3 restart who=s1 down=0.5");
        List<String> own =
                day.told.servers.stream().filter(line -> line.startsWith("s1.")).toList();
        assertEquals(List.of("s1.0 0 Ready", "s1.0 0 Gone", "s1.0 1 Ready born"), own);
    }

    @Test
    void aTrapStrikesTheRequestThatSprangIt() {
        Played day =
                Played.whole(CALM + "on arriving 20 client-reset\non answered 30 client-close");
        assertEquals(1, day.told.faults.get("client-reset"));
        assertEquals(1, day.told.faults.get("client-close"));
        assertTrue(day.told.gaveUp.size() >= 2);
    }

    @Test
    void nothingStrikesWhenTheFaultsHaveEnded() {
        Played day =
                Played.whole(
                        CALM + "on arriving 250 kill who=n0 down=1\non arriving 250 client-reset");
        assertTrue(day.told.faults.isEmpty());
    }

    @Test
    void allThatWasDoneToServersIsUndoneWhenTheFaultsEnd() {
        StringBuilder worst = new StringBuilder(CALM);
        for (int i = 0; i < 8; i++) {
            worst.append("at 7.")
                    .append(i)
                    .append(i % 2 == 0 ? " crash" : " drain")
                    .append(" who=s")
                    .append(i)
                    .append(" down=60\nat 7.9 vanish for=60 who=s")
                    .append(i)
                    .append('\n');
        }
        worst.append(
                        "at 7 list-down for=60\n"
                                + "at 7.5 kill who=n0 down=60\n"
                                + "at 7.5 zone-cut who=ebene for=60\n")
                .append(
                        "at 7 link-late who=n1 for=60 by=1\n"
                                + "at 7 no-descriptors who=n2 for=60 count=0\n");
        Played day = Played.whole(worst.toString());
        int asked = 0;
        int served = 0;
        for (var each : day.told.asks.values()) {
            if (each.askedAt() > day.world.plan().calmFrom()) {
                asked++;
                served += Integer.valueOf(200).equals(day.told.answers.get(each.id())) ? 1 : 0;
            }
        }
        assertTrue(asked > 20 && served >= 0.9 * asked, served + " of " + asked);
    }

    @Test
    void whatIsDrawnKeepsClientsBusyInTheCalmToo() {
        for (long seed = 1; seed <= 20; seed++) {
            Played day = Played.whole(Plan.draw(seed));
            assertTrue(day.told.asks.size() >= 300, "seed " + seed + ": " + day.told.asks.size());
            assertFalse(day.told.served() == 0, "seed " + seed);
        }
    }
}
