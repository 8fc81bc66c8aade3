package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.simulation.Fault;
import appleridge.testbed.simulation.FaultKind;
import appleridge.testbed.simulation.Plan;
import appleridge.testbed.simulation.ScenarioParameter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ShrinkerTest {
    private static final int MANY = 10_000;
    private static final Plan LONG_DAY = Plan.draw(4632);

    private static Set<FaultKind> kinds(Plan plan) {
        return plan.faults().stream()
                .map(Fault::kind)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void theFaultsThatMatterAreLeftWhereverTheyStand() {
        List<FaultKind> kinds = List.copyOf(kinds(LONG_DAY));
        for (int i = 2; i < kinds.size(); i++) {
            Set<FaultKind> needed = Set.of(kinds.get(0), kinds.get(i - 1), kinds.get(i));
            Plan left =
                    new Shrinker(plan -> kinds(plan).containsAll(needed), MANY).shrink(LONG_DAY);
            assertEquals(needed.size(), left.faults().size(), left.text());
            assertEquals(List.of(), left.nonDefaultParameters());
        }
    }

    @Test
    void sizesThatMatterStayUnusualAndAreMadeRounder() {
        Plan failing = Plan.draw(1845);
        assertTrue(
                failing.size(ScenarioParameter.CLOCK_COST) > 30_000
                        && failing.size(ScenarioParameter.SIDECARS) == 2);
        Plan left =
                new Shrinker(
                                plan ->
                                        plan.size(ScenarioParameter.CLOCK_COST) > 30_000
                                                && plan.size(ScenarioParameter.SIDECARS) == 2,
                                MANY)
                        .shrink(failing);
        assertEquals(
                List.of(ScenarioParameter.SIDECARS, ScenarioParameter.CLOCK_COST),
                left.nonDefaultParameters());
        assertEquals(0, left.size(ScenarioParameter.CLOCK_COST) % 10_000);
        assertEquals(List.of(), left.faults());
    }

    @Test
    void whatIsLeftAlwaysBreaksTheRuleAndIsAPlan() {
        List<Plan> broken = new ArrayList<>();
        Plan left =
                new Shrinker(
                                plan -> {
                                    boolean breaks = plan.faults().size() % 3 != 1;
                                    if (breaks) {
                                        broken.add(plan);
                                    }
                                    return breaks;
                                },
                                MANY)
                        .shrink(LONG_DAY);
        assertEquals(broken.get(broken.size() - 1), left);
        for (Plan each : broken) {
            assertEquals(each, Plan.parse(each.text()));
        }
    }

    @Test
    void noMorePlansAreTriedThanAllowed() {
        int[] tried = new int[1];
        Shrinker shrinker =
                new Shrinker(
                        plan -> {
                            tried[0]++;
                            return plan.faults().size() > 30;
                        },
                        25);
        shrinker.shrink(LONG_DAY);
        assertEquals(25, tried[0]);
        assertEquals(25, shrinker.plays());
    }
}
