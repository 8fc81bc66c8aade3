package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.RequestState;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class PlanTest {
    private static final int SEEDS = 500;

    @Test
    void aFormattedPlanParsesToAnEqualPlan() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Plan plan = Plan.draw(seed);
            Plan read = Plan.parse(plan.text());
            assertEquals(plan, read);
            assertEquals(plan.text(), read.text());
        }
    }

    @Test
    void aSeedAlwaysDrawsTheSamePlanAndDifferentSeedsDifferentPlans() {
        assertEquals(Plan.draw(7), Plan.draw(7));
        Set<String> texts = new HashSet<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            assertTrue(texts.add(Plan.draw(seed).text()));
        }
    }

    @Test
    void drawnDaysHaveAMinimumLengthAndRate() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Plan plan = Plan.draw(seed);
            assertTrue(plan.end() >= 20 * Site.SECOND);
            assertTrue(
                    plan.part(ScenarioParameter.RATE) * plan.quietFrom() / Site.SECOND >= 399.9,
                    "seed " + seed);
            for (Fault each : plan.faults()) {
                assertTrue(
                        each.trigger().waitsForRequest() || each.trigger().at() < plan.faultsEnd());
            }
        }
    }

    @Test
    void everyFaultKindAndStyleIsDrawnForEveryApplicableState() {
        Set<FaultKind> timed = EnumSet.noneOf(FaultKind.class);
        Set<String> stateTriggered = new TreeSet<>();
        Set<String> styles = new TreeSet<>();
        for (long seed = 0; seed < 4000; seed++) {
            for (Fault each : Plan.draw(seed).faults()) {
                if (each.trigger().waitsForRequest()) {
                    stateTriggered.add(each.kind() + " " + each.trigger().state());
                } else {
                    timed.add(each.kind());
                }
                styles.add(each.kind() + " " + each.style());
            }
        }

        // Faults of ephemeral nodes are never drawn; only scenarios name them.
        for (FaultKind kind :
                EnumSet.complementOf(
                        EnumSet.copyOf(
                                Arrays.stream(FaultKind.values())
                                        .filter(FaultKind::affectsCoordination)
                                        .toList()))) {
            assertTrue(kind.requiresRequest() || timed.contains(kind), "never timed: " + kind);
            for (RequestState state : RequestState.values()) {
                assertEquals(
                        kind.isWorthInjecting(state),
                        stateTriggered.contains(kind + " " + state),
                        kind + " " + state);
            }
            for (String style : kind.styles()) {
                assertTrue(styles.contains(kind + " " + style), kind + " " + style);
            }
        }
    }

    @Test
    void aScenarioOverridesDefaults() {
        Plan plan =
                Plan.parse(
                        """
                        # a day written by hand
                        seed -3

                        set servers 2      # only
                        set loss 0.25
                        set call-cost 0.000000001
                        at 3.25 kill who=n1 down=0.8
                        on RESEND_CONNECTING 3 after 0.002 drain down=1
                        """
                                .replace("RESEND_CONNECTING", "resend-connecting"));
        assertEquals(-3, plan.seed());
        assertEquals(2, plan.size(ScenarioParameter.SERVERS));
        assertEquals(0.25, plan.part(ScenarioParameter.LOSS));
        assertEquals(1, plan.size(ScenarioParameter.CALL_COST));
        assertEquals(
                ScenarioParameter.SIDECARS.defaultValue(), plan.size(ScenarioParameter.SIDECARS));
        Fault kill = plan.faults().get(0);
        assertEquals(3250 * Site.MS, kill.trigger().at());
        assertEquals("n1", kill.who());
        Fault drain = plan.faults().get(1);
        assertEquals(
                new FaultTrigger(2 * Site.MS, RequestState.RESEND_CONNECTING, 3), drain.trigger());
        assertEquals(Site.SECOND, drain.value(FaultParameter.DOWN));
        assertEquals("on resend-connecting 3 after 0.002 drain down=1", drain.text());
    }

    @Test
    void faultsAreRemovedByIndex() {
        Plan plan =
                Plan.parse("seed 1\nat 1 close-idle who=s0\nat 2 close-idle who=s1\nat 3 move\n");
        Plan less = plan.without(Set.of(0, 2));
        assertEquals("at 2 close-idle who=s1", less.faults().get(0).text());
        assertEquals(1, less.faults().size());
        assertNotEquals(plan, less);
        assertEquals(3, plan.with(ScenarioParameter.SERVERS, 3).size(ScenarioParameter.SERVERS));
    }

    private static void assertRejected(String expected, String scenario) {
        String message =
                assertThrows(IllegalArgumentException.class, () -> Plan.parse(scenario))
                        .getMessage();
        assertTrue(message.contains(expected), message);
    }

    @Test
    void parseErrorsNameTheLine() {
        assertRejected("no line with the seed", "set servers 3");
        assertRejected("line 2: a line begins with", "seed 1\nfault kill");
        assertRejected("line 1: not a whole number: x", "seed x");
        assertRejected("line 2: the seed is given twice", "seed 1\nseed 2");
        assertRejected("line 3: no such size: sevrers", "seed 1\n\nset sevrers 3");
        assertRejected("line 2: servers 0 is not between 1 and 24", "seed 1\nset servers 0");
        assertRejected(
                "line 2: not a number of at most 0 decimals: 1.5", "seed 1\nset servers 1.5");
        assertRejected("line 2: not a number of at most 6 decimals: 1e3", "seed 1\nset rate 1e3");
        assertRejected("line 3: servers is set twice", "seed 1\nset servers 3\nset servers 4");
        assertRejected(
                "line 2: no such fault: kil; known: kill, ", "seed 1\nat 1 kil who=n0 down=1");
        assertRejected("line 2: kill needs down", "seed 1\nat 1 kill who=n0");
        assertRejected("line 2: kill needs who", "seed 1\nat 1 kill down=1");
        assertRejected("line 2: kill takes no for", "seed 1\nat 1 kill who=n0 down=1 for=1");
        assertRejected("line 2: down is given twice", "seed 1\nat 1 kill who=n0 down=1 down=2");
        assertRejected("line 2: down=-1 is not between", "seed 1\nat 1 kill who=n0 down=-1");
        assertRejected("line 2: not NAME=VALUE: n0", "seed 1\nat 1 kill n0");
        assertRejected(
                "line 2: no such figure: dwn; known: down, ", "seed 1\nat 1 kill who=n0 dwn=1");
        assertRejected("line 2: negative time: -1", "seed 1\nat -1 kill who=n0 down=1");
        assertRejected("line 2: up-reset needs a request", "seed 1\nat 1 up-reset");
        assertRejected(
                "line 2: up-reset can't be injected in state held", "seed 1\non held 1 up-reset");
        assertRejected("line 2: move takes no who", "seed 1\nat 1 move who=n0");
        assertRejected(
                "line 2: no such style of bad: odd; known: ",
                "seed 1\nat 1 bad style=odd who=n0 count=1");
        assertRejected("line 2: bad needs a style", "seed 1\nat 1 bad who=n0 count=1");
        assertRejected("line 2: no such state: sleeping; known: ", "seed 1\non sleeping 1 move");
        assertRejected("line 2: NTH is not between 1 and 1000000: 0", "seed 1\non held 0 move");
        assertRejected("line 2: after SECONDS KIND", "seed 1\non held 1 after 3");
        assertRejected(
                "line 2: no such who: n3; known: n0, n1, n2", "seed 1\nat 1 kill who=n3 down=1");
        assertRejected(
                "line 3: no such who: s9; known: s0, ",
                "seed 1\nset servers 9\nat 1 close-idle who=s9");
        assertRejected(
                "line 4: the fault is too late: faults end at 5 s",
                "seed 1\nset faults-end 5\nat 4.9 move\nat 5 move");
        assertRejected(
                "line 2: the fault is too late: faults end at 8 s",
                "seed 1\non held 1 after 8 move");
        assertRejected("line 2: no such size: rats; known: rate, ", "seed 1\nset rats 3");
        assertRejected("line 2: move takes no for", "seed 1\nat 1 move for=1");
        assertRejected(
                "line 2: kill takes no for; it takes down", "seed 1\nat 1 kill who=n0 for=1");
        assertRejected(
                "line 2: no such who: paris; known: ebene, ",
                "seed 1\nat 1 zone-cut who=paris for=1");
    }
}
