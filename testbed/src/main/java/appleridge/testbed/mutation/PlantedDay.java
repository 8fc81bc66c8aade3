package appleridge.testbed.mutation;

import appleridge.testbed.campaign.DayPlayer;
import appleridge.testbed.invariants.InvariantViolation;
import appleridge.testbed.invariants.Verdict;
import appleridge.testbed.simulation.Plan;
import java.util.stream.Collectors;

/**
 * What {@link Days} asks of the classes of its loader: to play a day, and what was broken on it.
 */
final class PlantedDay {
    private PlantedDay() {}

    /** The rules broken on a seed's day, a line each, in the order of finding. */
    static String ofSeed(long seed) {
        return told(DayPlayer.play(Plan.draw(seed)));
    }

    /** The same of a scenario. */
    static String ofPlan(String text) {
        return told(DayPlayer.play(Plan.parse(text)));
    }

    /** The scenario of a seed's day. */
    static String planOf(long seed) {
        return Plan.draw(seed).text();
    }

    private static String told(Verdict verdict) {
        return verdict.violations().stream()
                .map(InvariantViolation::toString)
                .collect(Collectors.joining("\n"));
    }
}
