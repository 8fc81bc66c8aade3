package appleridge.testbed.campaign;

import appleridge.http1.BufferLimits;
import appleridge.testbed.invariants.BufferCounts;
import appleridge.testbed.invariants.Counts;
import appleridge.testbed.invariants.Coverage;
import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.invariants.DayListenerFanOut;
import appleridge.testbed.invariants.FaultHitCounter;
import appleridge.testbed.invariants.InvariantBounds;
import appleridge.testbed.invariants.InvariantChecker;
import appleridge.testbed.invariants.InvariantViolation;
import appleridge.testbed.invariants.RequestCounts;
import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.invariants.ResourceCounts;
import appleridge.testbed.invariants.ResourceProbe;
import appleridge.testbed.invariants.Rule;
import appleridge.testbed.invariants.Verdict;
import appleridge.testbed.invariants.WriteBacklogCounts;
import appleridge.testbed.simnet.Simulation;
import appleridge.testbed.simulation.Plan;
import appleridge.testbed.simulation.ScenarioParameter;
import appleridge.testbed.simulation.World;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** Plays one day from its plan: everything in it is made for it and ends with it. */
public final class DayPlayer {
    /**
     * Timers that a sidecar with nothing open has, as measured: the sweeps of clients and of
     * servers, the watch of discovery, the module's alarms, of which each is for an earlier time
     * than the one before.
     */
    private static final int STANDING_TIMERS = 6;

    /** And those of one that follows nodes: their membership's tick. */
    private static final int NODE_TIMERS = 2;

    /** Limit of the responses that clients do not read: those that stall are reset beyond it. */
    private static final long UNREAD_LIMIT = 8 << 20;

    private static final long QUIET = 500_000_000;
    private static final int LOOKS = 100;

    private final Plan plan;
    private final Map<String, SimSidecar> sidecars = new LinkedHashMap<>();
    private final RequestCounts tally = new RequestCounts();
    private final Coverage coverage = new Coverage();
    private InvariantChecker judge;

    private DayPlayer(Plan plan) {
        this.plan = plan;
    }

    /** Plays a day to its end. */
    public static Verdict play(Plan plan) {
        return play(plan, null);
    }

    /** The same, with a line for everything that happens; null for none. */
    public static Verdict play(Plan plan, Consumer<String> trace) {
        return new DayPlayer(plan).play(trace);
    }

    /** The same; where the testbed itself fails, that is what the day comes to. */
    static Verdict playOrCrash(Plan plan) {
        try {
            return play(plan);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            return new Verdict(
                    plan.seed(),
                    0,
                    List.of(
                            new InvariantViolation(
                                    Rule.CRASH,
                                    0,
                                    "the testbed",
                                    e + (trace.length == 0 ? "" : " at " + trace[0]))),
                    Counts.NONE,
                    new Coverage(),
                    0);
        }
    }

    /** The first broken rule of a seed's day, its name ahead of a colon; empty if none broke. */
    static String runSeed(long seed) {
        Verdict verdict = play(Plan.draw(seed));
        return verdict.passed() ? "" : verdict.violations().get(0).toString();
    }

    private Verdict play(Consumer<String> trace) {
        World world = new World(plan, this::sidecar, this::watch);
        if (trace != null) {
            world.simulation().trace(trace);
        }
        world.simulation().afterEachStep(() -> judge.check(world.simulation().now()));
        try {
            world.run();
            books(world);
        } finally {
            sidecars.values().forEach(SimSidecar::close);
        }
        return new Verdict(
                plan.seed(),
                world.simulation().digest(),
                judge.violations(),
                tally.counts(),
                coverage,
                world.simulation().now());
    }

    private SimSidecar sidecar(String name, World world, DayListener evidence) {
        SimSidecar sidecar =
                new SimSidecar(world.simulation(), evidence, world::ensemble, bufferLimits());
        sidecars.put(name, sidecar);
        return sidecar;
    }

    /** The limits of each sidecar, which the plan's budget is divided into. */
    private BufferLimits bufferLimits() {
        long budget = plan.size(ScenarioParameter.BUFFER_BUDGET);
        return new BufferLimits(budget, budget / 2, UNREAD_LIMIT, budget / 4);
    }

    private DayListener watch(World world, RequestStates states, UnaryOperator<String> zoneOf) {
        judge =
                InvariantChecker.ofDay(
                        figures(),
                        world.simulation()::now,
                        zoneOf,
                        states,
                        name -> sidecars.get(name).busy(),
                        ledger(world));
        DayListener listed =
                new DayListener() {
                    @Override
                    public void discoveryChanged(
                            long revision, String uid, int life, String state, long bornAt) {
                        sidecars.values().forEach(each -> each.listed(uid));
                    }

                    @Override
                    public void serverState(String uid, int life, String state, long bornAt) {
                        sidecars.values().forEach(each -> each.listed(uid));
                    }
                };
        List<DayListener> watchers =
                new ArrayList<>(
                        List.of(listed, new FaultHitCounter(states, coverage), tally, judge));
        return new DayListenerFanOut(watchers);
    }

    private ResourceProbe ledger(World world) {
        return new ResourceProbe() {
            @Override
            public ResourceCounts resources(String sidecar) {
                SimSidecar process = sidecars.get(sidecar);
                return process.isRunning() ? process.books() : null;
            }

            @Override
            public boolean isRunning(String sidecar) {
                return sidecars.get(sidecar).isRunning();
            }

            @Override
            public BufferCounts buffers(String sidecar) {
                return sidecars.get(sidecar).buffers();
            }

            @Override
            public WriteBacklogCounts writeBacklogs(String sidecar) {
                return sidecars.get(sidecar).writeBacklogs();
            }

            @Override
            public int clientConnections(String sidecar) {
                return world.openClientConnections(sidecar);
            }

            @Override
            public int upstreamConnections(String sidecar) {
                return world.openUpstreamConnections(sidecar);
            }
        };
    }

    private InvariantBounds figures() {
        return InvariantBounds.defaults()
                .withDelays(plan.maxClientTransferNanos(), plan.maxLoopBacklogNanos())
                .withAskWithin(plan.size(ScenarioParameter.ASK_WITHIN))
                .withDrainGrace(plan.size(ScenarioParameter.DRAIN_GRACE))
                .withWindowOfZones(plan.size(ScenarioParameter.KEY_WINDOW))
                .withLongestDeadline(plan.size(ScenarioParameter.LONGEST_DEADLINE))
                .withMaxRetryAfter(plan.size(ScenarioParameter.RETRY_AFTER));
    }

    /**
     * At a quiet moment: buffers may hold half of an answer of discovery's, which is always asking,
     * so they are looked at again until that is read.
     */
    private void books(World world) {
        Simulation simulation = world.simulation();
        long end = simulation.now() + QUIET;
        while (simulation.now() < end
                && sidecars.values().stream().anyMatch(each -> each.books().bufferBytes() > 0)) {
            simulation.runUntil(simulation.now() + QUIET / LOOKS);
        }
        // What stands idle for as long as servers are said to allow has been closed, and no client
        // is there.
        boolean allIdle =
                plan.size(ScenarioParameter.QUIET)
                        > plan.size(ScenarioParameter.CONN_IDLE)
                                + plan.size(ScenarioParameter.CONNECT_TIMEOUT);
        ResourceProbe ledger = ledger(world);
        sidecars.forEach(
                (name, sidecar) -> {
                    ResourceCounts baseline =
                            new ResourceCounts(
                                    0,
                                    0,
                                    ledger.clientConnections(name),
                                    allIdle ? 0 : ledger.upstreamConnections(name),
                                    STANDING_TIMERS
                                            + (plan.size(ScenarioParameter.MEMBERSHIP) > 0
                                                    ? NODE_TIMERS
                                                    : 0),
                                    0,
                                    List.of());
                    judge.checkResources(name, sidecar.books(), baseline);
                });
    }
}
