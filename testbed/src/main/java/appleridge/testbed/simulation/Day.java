package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.Simulation;

/** The objects that all stand-ins of one simulated day share. */
final class Day {
    final Plan plan;
    final Simulation simulation;
    final Network network;

    /** Receives every event that the invariant checker evaluates. */
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

    /**
     * Returns the random stream for the regular work of one stand-in. Faults and other stand-ins do
     * not shift it.
     */
    SeededRandom work(String name) {
        return chance.stream("work." + name);
    }

    /** Returns the random stream for what faults draw when they are injected. */
    SeededRandom faults(String name) {
        return chance.stream("faults." + name);
    }

    /** Returns the random stream for the event loop of one process. */
    SeededRandom loops(String name) {
        return chance.stream("loops." + name);
    }

    long now() {
        return simulation.now();
    }

    /** Whether faults and unusual traffic may still occur. */
    boolean faultsMayOccur() {
        return now() < plan.faultsEnd();
    }

    /** Shortens a duration so that it ends no later than the time for faults. */
    long bounded(long duration) {
        return Math.max(0, Math.min(duration, plan.faultsEnd() - now()));
    }

    Simulation.Event after(long delay, Runnable task) {
        return simulation.after(delay, task);
    }
}
