package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.Simulation;

/** What all stand-ins of one day share. */
final class Day {
    final Plan plan;
    final Simulation simulation;
    final Network network;
    final DayListener evidence;
    final SentRequestRegistry sentRequests = new SentRequestRegistry();
    private final SeededRandom chance;

    Day(
            Plan plan,
            Simulation simulation,
            Network network,
            DayListener evidence,
            SeededRandom chance) {
        this.plan = plan;
        this.simulation = simulation;
        this.network = network;
        this.evidence = evidence;
        this.chance = chance;
    }

    /** Chance for one stand-in's work, which no fault and no other stand-in shifts. */
    SeededRandom work(String name) {
        return chance.stream("work." + name);
    }

    /** Chance for what faults draw when they strike. */
    SeededRandom faults(String name) {
        return chance.stream("faults." + name);
    }

    /** Chance for one process's loop. */
    SeededRandom loops(String name) {
        return chance.stream("loops." + name);
    }

    long now() {
        return simulation.now();
    }

    /** Whether faults and unusual traffic may still come. */
    boolean faultsMayOccur() {
        return now() < plan.faultsEnd();
    }

    /** A duration, cut so that what lasts for it is over when the faults end. */
    long bounded(long duration) {
        return Math.max(0, Math.min(duration, plan.faultsEnd() - now()));
    }

    Simulation.Event after(long delay, Runnable what) {
        return simulation.after(delay, what);
    }
}
