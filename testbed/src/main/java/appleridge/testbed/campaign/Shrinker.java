package appleridge.testbed.campaign;

import appleridge.testbed.simulation.Plan;
import appleridge.testbed.simulation.ScenarioParameter;
import appleridge.testbed.simulation.SimplerPlans;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Cuts a plan that breaks a rule down to what matters: first the faults, by delta debugging, then
 * the sizes that need not be unusual, at last the numbers that may be rounder. What is left breaks
 * the rule yet.
 */
final class Shrinker {
    private final Predicate<Plan> breaks;
    private final int most;
    private Plan plan;
    private int plays;

    /**
     * With a test whether a plan still breaks the rule.
     *
     * @param most how many plans are tried at most
     */
    Shrinker(Predicate<Plan> breaks, int most) {
        this.breaks = breaks;
        this.most = most;
    }

    /** What is left of a plan that breaks the rule. */
    Plan shrink(Plan failing) {
        plan = failing;
        Plan before;
        do {
            before = plan;
            cutFaults();
            resetSizes();
            simplify();
            // With fewer things unusual another fault may have become idle.
        } while (!plan.equals(before) && plays < most);
        return plan;
    }

    /** How many plans have been tried. */
    int plays() {
        return plays;
    }

    /**
     * Goes on with that plan if it breaks the rule too; a plan that is none is as one that doesn't.
     */
    private boolean take(Plan candidate) {
        if (plays >= most || !isPlan(candidate)) {
            return false;
        }
        plays++;
        if (!breaks.test(candidate)) {
            return false;
        }
        plan = candidate;
        return true;
    }

    /** Names that a fault has may be unknown with other sizes. */
    private static boolean isPlan(Plan candidate) {
        try {
            return Plan.parse(candidate.text()).equals(candidate);
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Takes ever smaller shares of the faults out, down to single ones. */
    private void cutFaults() {
        int shares = 1;
        while (!plan.faults().isEmpty() && plays < most) {
            int all = plan.faults().size();
            int size = (all + shares - 1) / shares;
            if (withoutAShare(size)) {
                shares = Math.max(1, Math.min(shares - 1, plan.faults().size()));
            } else if (size == 1) {
                return;
            } else {
                shares = Math.min(all, shares * 2);
            }
        }
    }

    private boolean withoutAShare(int size) {
        int all = plan.faults().size();
        for (int from = 0; from < all; from += size) {
            Set<Integer> share = new HashSet<>();
            for (int i = from; i < Math.min(all, from + size); i++) {
                share.add(i);
            }
            if (take(plan.without(share))) {
                return true;
            }
        }
        return false;
    }

    private void resetSizes() {
        Plan usual = plan;
        for (ScenarioParameter each : plan.nonDefaultParameters()) {
            usual = usual.withDefault(each);
        }
        if (!take(usual)) {
            for (ScenarioParameter each : new ArrayList<>(plan.nonDefaultParameters())) {
                take(plan.withDefault(each));
            }
        }
    }

    private void simplify() {
        for (int place = 0; place < SimplerPlans.places(plan); place++) {
            List<Plan> simpler = SimplerPlans.at(plan, place);
            for (Plan each : simpler) {
                if (take(each)) {
                    break;
                }
            }
        }
    }
}
