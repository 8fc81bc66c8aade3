package appleridge.testbed.simulation;

import java.util.ArrayList;
import java.util.List;

/** A simulated day with stand-ins for the sidecars, and a recorder of its events. */
final class SimulatedDay {
    final DayRecorder recorder = new DayRecorder();
    final List<String> log = new ArrayList<>();
    final World world;

    SimulatedDay(Plan plan) {
        world =
                new World(
                        plan,
                        (name, world, evidence) -> new DumbSidecar(world.simulation(), log),
                        (world, states, zoneOf) -> recorder);
    }

    static SimulatedDay run(Plan plan) {
        SimulatedDay played = new SimulatedDay(plan);
        played.world.run();
        return played;
    }

    static SimulatedDay run(String scenario) {
        return run(Plan.parse(scenario));
    }
}
