package appleridge.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Variants of a plan in which a single number is simpler, that is rounder or zero. Used to shrink
 * failing plans.
 */
public final class SimplerPlans {
    /** Maximum number of significant digits of a rounded number. */
    private static final int MAX_DIGITS = 2;

    private SimplerPlans() {}

    /**
     * Counts the numbers of a plan, each of which has an index below the result. The count is the
     * same for the variants of a plan.
     */
    public static int places(Plan plan) {
        int count = ScenarioParameter.values().length;
        for (Fault each : plan.faults()) {
            count += numbers(each);
        }
        return count;
    }

    /**
     * Returns the variants with a simpler number at an index, the simplest first; empty if it can't
     * be simpler.
     */
    public static List<Plan> at(Plan plan, int index) {
        int remaining = index;
        for (int i = 0; i < plan.faults().size(); i++) {
            Fault fault = plan.faults().get(i);
            if (remaining < numbers(fault)) {
                int faultIndex = i;
                return ofFault(fault, remaining).stream()
                        .map(each -> plan.with(faultIndex, each))
                        .toList();
            }
            remaining -= numbers(fault);
        }
        ScenarioParameter parameter = ScenarioParameter.values()[remaining];
        return plan.size(parameter) == parameter.defaultValue()
                ? List.of()
                : rounder(plan.size(parameter), value -> plan.with(parameter, value));
    }

    /** A trigger has two numbers, its time and its visit; the visit is unused without a state. */
    private static int numbers(Fault fault) {
        return 2 + fault.values().size();
    }

    private static List<Fault> ofFault(Fault fault, int number) {
        FaultTrigger trigger = fault.trigger();
        if (number == 0) {
            List<Fault> simpler = new ArrayList<>();
            if (trigger.waitsForRequest() && trigger.at() > 0) {
                simpler.add(with(fault, new FaultTrigger(0, trigger.state(), trigger.nth())));
            }
            simpler.addAll(
                    rounder(
                            trigger.at(),
                            value ->
                                    with(
                                            fault,
                                            new FaultTrigger(
                                                    value, trigger.state(), trigger.nth()))));
            return simpler;
        }
        if (number == 1) {
            return trigger.nth() > 1
                    ? List.of(with(fault, new FaultTrigger(trigger.at(), trigger.state(), 1)))
                    : List.of();
        }
        FaultParameter param = new ArrayList<>(fault.values().keySet()).get(number - 2);
        return rounder(
                fault.value(param),
                value -> {
                    TreeMap<FaultParameter, Long> values = new TreeMap<>(fault.values());
                    values.put(param, value);
                    return new Fault(trigger, fault.kind(), fault.who(), fault.style(), values);
                });
    }

    private static Fault with(Fault fault, FaultTrigger trigger) {
        return new Fault(trigger, fault.kind(), fault.who(), fault.style(), fault.values());
    }

    /** Builds variants with the number rounded to few digits, leaving out those out of bounds. */
    private static <T> List<T> rounder(long value, LongFunction<T> with) {
        List<T> simpler = new ArrayList<>();
        long unit = 1;
        while (Math.abs(value / unit) >= 10) {
            unit *= 10;
        }
        for (int digits = 1; digits <= MAX_DIGITS && unit > 1; digits++, unit /= 10) {
            long rounded = Math.round(value / (double) unit) * unit;
            if (rounded == value) {
                break;
            }
            try {
                simpler.add(with.apply(rounded));
            } catch (IllegalArgumentException e) {
                // The rounded number is out of the parameter's bounds.
                continue;
            }
        }
        return simpler;
    }
}
