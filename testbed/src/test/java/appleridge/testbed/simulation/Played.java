package appleridge.testbed.simulation;

import java.util.ArrayList;
import java.util.List;

/** A day played with stand-ins for the sidecars. */
final class Played {
    final Recorded told = new Recorded();
    final List<String> log = new ArrayList<>();
    final World world;

    Played(Plan plan) {
        world =
                new World(
                        plan,
                        (name, world, evidence) -> new DumbSidecar(world.simulation(), log),
                        (world, states, zoneOf) -> told);
    }

    static Played whole(Plan plan) {
        Played played = new Played(plan);
        played.world.run();
        return played;
    }

    static Played whole(String scenario) {
        return whole(Plan.parse(scenario));
    }
}
