package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class StagedCombinationTest {
    private static Plan plan(StagedCombination combination, long seed) {
        Map<ScenarioParameter, Long> sizes = new EnumMap<>(ScenarioParameter.class);
        for (ScenarioParameter each : ScenarioParameter.values()) {
            sizes.put(each, each.defaultValue());
        }
        SeededRandom random = new SeededRandom(seed);
        combination.length(random, sizes);
        combination.sizes(random, sizes);
        return new Plan(seed, sizes, combination.faults(random, sizes));
    }

    private static List<Fault> faultsOf(Plan plan, FaultKind kind) {
        return plan.faults().stream().filter(each -> each.kind() == kind).toList();
    }

    @Test
    void mostDaysHaveNoCombinationAndEachIsDrawn() {
        Map<StagedCombination, Integer> drawn = new EnumMap<>(StagedCombination.class);
        for (int i = 0; i < 10_000; i++) {
            drawn.merge(StagedCombination.draw(new SeededRandom(i)), 1, Integer::sum);
        }
        assertEquals(StagedCombination.values().length, drawn.size(), drawn.toString());
        assertTrue(drawn.get(StagedCombination.NONE) > 6000, drawn.toString());
    }

    @Test
    void everyDrawnPlanIsAValidScenario() {
        for (StagedCombination each : StagedCombination.values()) {
            for (int seed = 0; seed < 50; seed++) {
                Plan plan = plan(each, seed);
                assertEquals(plan, Plan.parse(plan.text()));
            }
        }
    }

    @Test
    void sidecarsArePausedForMinutesAndForAnHour() {
        assertEquals(
                3600 * Site.SECOND,
                faultsOf(plan(StagedCombination.HOUR, 1), FaultKind.PAUSE)
                        .get(0)
                        .value(FaultParameter.FOR));
        List<Long> all = new ArrayList<>();
        for (int seed = 0; seed < 50; seed++) {
            all.add(
                    faultsOf(plan(StagedCombination.MINUTES, seed), FaultKind.PAUSE)
                                    .get(0)
                                    .value(FaultParameter.FOR)
                            / Site.SECOND);
        }
        assertTrue(all.stream().allMatch(each -> each >= 20 && each <= 120), all.toString());
        assertTrue(all.stream().anyMatch(each -> each > 100), all.toString());
    }

    @Test
    void drainsStartWhileConnectsTakeLongerThanTheGracePeriod() {
        Plan plan = plan(StagedCombination.DRAINS, 1);
        Fault slow = faultsOf(plan, FaultKind.CONNECT_SLOW).get(0);
        Fault drain = faultsOf(plan, FaultKind.DRAIN).get(0);
        assertEquals(slow.who(), drain.who());
        assertTrue(drain.trigger().at() > slow.trigger().at());
        assertTrue(slow.value(FaultParameter.BY) > Site.DRAIN_GRACE);
        assertTrue(
                plan.size(ScenarioParameter.CONNECT_TIMEOUT)
                        > slow.value(FaultParameter.BY) - 300 * Site.MS);
        assertTrue(plan.deadline(RequestClasses.of(2)) > Site.DRAIN_GRACE);
        assertEquals(RequestClasses.of(0).deadline(), plan.deadline(RequestClasses.of(0)));
    }

    @Test
    void pausesExceedWindowDeadlineAndGracePeriod() {
        Plan plan = plan(StagedCombination.STILL, 1);
        assertTrue(plan.size(ScenarioParameter.KEY_WINDOW) <= 400 * Site.MS);
        for (Fault each : faultsOf(plan, FaultKind.PAUSE)) {
            assertTrue(each.trigger().state().isResend());
            assertTrue(
                    each.value(FaultParameter.FOR)
                            > Site.DRAIN_GRACE + plan.size(ScenarioParameter.NOTICE));
            assertTrue(
                    faultsOf(plan, FaultKind.DRAIN).stream()
                            .anyMatch(drain -> drain.trigger().equals(each.trigger())));
        }
    }

    @Test
    void windowsAreShortAndBuffersSmall() {
        Plan plan = plan(StagedCombination.WINDOWS, 1);
        assertTrue(plan.size(ScenarioParameter.KEY_WINDOW) < plan.deadline(RequestClasses.of(1)));
        assertTrue(plan.size(ScenarioParameter.SEND_BUFFER) <= 120);
        assertEquals(24, faultsOf(plan, FaultKind.UP_RESET).size());
    }
}
