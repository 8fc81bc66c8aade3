package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.simnet.Chance;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class StagingTest {
    private static Plan plan(Staging staging, long seed) {
        Map<Knob, Long> sizes = new EnumMap<>(Knob.class);
        for (Knob each : Knob.values()) {
            sizes.put(each, each.usual());
        }
        Chance chance = new Chance(seed);
        staging.length(chance, sizes);
        staging.sizes(chance, sizes);
        return new Plan(seed, sizes, staging.faults(chance, sizes));
    }

    private static List<Fault> of(Plan plan, FaultKind kind) {
        return plan.faults().stream().filter(each -> each.kind() == kind).toList();
    }

    @Test
    void mostDaysHaveNoneAndEachIsDrawn() {
        Map<Staging, Integer> drawn = new EnumMap<>(Staging.class);
        for (int i = 0; i < 10_000; i++) {
            drawn.merge(Staging.draw(new Chance(i)), 1, Integer::sum);
        }
        assertEquals(Staging.values().length, drawn.size(), drawn.toString());
        assertTrue(drawn.get(Staging.NONE) > 6000, drawn.toString());
    }

    @Test
    void whatIsDrawnIsAScenario() {
        for (Staging each : Staging.values()) {
            for (int seed = 0; seed < 50; seed++) {
                Plan plan = plan(each, seed);
                assertEquals(plan, Plan.parse(plan.text()));
            }
        }
    }

    @Test
    void sidecarsStandStillForMinutesAndForAnHour() {
        assertEquals(
                3600 * Site.SECOND,
                of(plan(Staging.HOUR, 1), FaultKind.PAUSE).get(0).value(Param.FOR));
        List<Long> all = new ArrayList<>();
        for (int seed = 0; seed < 50; seed++) {
            all.add(
                    of(plan(Staging.MINUTES, seed), FaultKind.PAUSE).get(0).value(Param.FOR)
                            / Site.SECOND);
        }
        assertTrue(all.stream().allMatch(each -> each >= 20 && each <= 120), all.toString());
        assertTrue(all.stream().anyMatch(each -> each > 100), all.toString());
    }

    @Test
    void drainsComeWhileConnectsTakeLongerThanTheirGrace() {
        Plan plan = plan(Staging.DRAINS, 1);
        Fault slow = of(plan, FaultKind.CONNECT_SLOW).get(0);
        Fault drain = of(plan, FaultKind.DRAIN).get(0);
        assertEquals(slow.who(), drain.who());
        assertTrue(drain.trigger().at() > slow.trigger().at());
        assertTrue(slow.value(Param.BY) > Site.DRAIN_GRACE);
        assertTrue(plan.size(Knob.CONNECT_TIMEOUT) > slow.value(Param.BY) - 300 * Site.MS);
        assertTrue(plan.deadline(Classes.of(2)) > Site.DRAIN_GRACE);
        assertEquals(Classes.of(0).deadline(), plan.deadline(Classes.of(0)));
    }

    @Test
    void standStillsCoverWindowDeadlineAndGrace() {
        Plan plan = plan(Staging.STILL, 1);
        assertTrue(plan.size(Knob.KEY_WINDOW) <= 400 * Site.MS);
        for (Fault each : of(plan, FaultKind.PAUSE)) {
            assertTrue(each.trigger().state().isResend());
            assertTrue(each.value(Param.FOR) > Site.DRAIN_GRACE + plan.size(Knob.NOTICE));
            assertTrue(
                    of(plan, FaultKind.DRAIN).stream()
                            .anyMatch(drain -> drain.trigger().equals(each.trigger())));
        }
    }

    @Test
    void windowsAreShortAndBuffersSmall() {
        Plan plan = plan(Staging.WINDOWS, 1);
        assertTrue(plan.size(Knob.KEY_WINDOW) < plan.deadline(Classes.of(1)));
        assertTrue(plan.size(Knob.SEND_BUFFER) <= 120);
        assertEquals(24, of(plan, FaultKind.UP_RESET).size());
    }
}
