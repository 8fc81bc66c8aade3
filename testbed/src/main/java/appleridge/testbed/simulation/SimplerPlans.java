package appleridge.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Plans that differ from a given one in a single number, which is easier to read: rounder, or
 * nothing at all.
 */
public final class SimplerPlans {
    /** Significant digits that a rounder number has. */
    private static final int MOST_DIGITS = 2;

    private SimplerPlans() {}

    /**
     * How many numbers there are that may be simpler; it doesn't change when one of them is made
     * so.
     */
    public static int places(Plan plan) {
        int places = ScenarioParameter.values().length;
        for (Fault each : plan.faults()) {
            places += numbers(each);
        }
        return places;
    }

    /**
     * The plans with another number at a place, the simplest first; none if it can't be simpler.
     */
    public static List<Plan> at(Plan plan, int place) {
        int left = place;
        for (int i = 0; i < plan.faults().size(); i++) {
            Fault fault = plan.faults().get(i);
            if (left < numbers(fault)) {
                int at = i;
                return ofFault(fault, left).stream().map(each -> plan.with(at, each)).toList();
            }
            left -= numbers(fault);
        }
        ScenarioParameter knob = ScenarioParameter.values()[left];
        return plan.size(knob) == knob.usual()
                ? List.of()
                : rounder(plan.size(knob), value -> plan.with(knob, value));
    }

    /** Its trigger has two, of which a time's second never changes. */
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

    /** What comes of the number rounded to few digits; those that make no sense are left out. */
    private static <T> List<T> rounder(long value, LongFunction<T> with) {
        List<T> simpler = new ArrayList<>();
        long unit = 1;
        while (Math.abs(value / unit) >= 10) {
            unit *= 10;
        }
        for (int digits = 1; digits <= MOST_DIGITS && unit > 1; digits++, unit /= 10) {
            long rounded = Math.round(value / (double) unit) * unit;
            if (rounded == value) {
                break;
            }
            try {
                simpler.add(with.apply(rounded));
            } catch (IllegalArgumentException e) {
                // Out of its bounds: not a plan.
                continue;
            }
        }
        return simpler;
    }
}
