package appleridge.rig.plant;

import appleridge.rig.judge.Broken;
import appleridge.rig.judge.Verdict;
import appleridge.rig.sim.DayPlayer;
import appleridge.rig.world.Plan;
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
        return verdict.broken().stream().map(Broken::toString).collect(Collectors.joining("\n"));
    }
}
