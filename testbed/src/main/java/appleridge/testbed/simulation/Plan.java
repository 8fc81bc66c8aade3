package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The parameters and faults of one simulated day. Everything else is drawn from the seed, from
 * random streams that do not depend on the faults, so that removing a fault leaves the rest of the
 * day as it was. A plan is drawn from a seed or parsed from a scenario, a text with one fault per
 * line. Immutable.
 */
public final class Plan {

    /** Minimum size in bytes of a socket buffer between processes on one machine. */
    static final int MIN_LOCAL_BUFFER_BYTES = 4096;

    private static final int MAX_BODY_BYTES = 30_000;

    /** A body fills the smaller socket buffer at most this often: each fill costs a round trip. */
    private static final int MAX_BUFFERS_PER_BODY = 20;

    private final long seed;
    private final Map<ScenarioParameter, Long> sizes;
    private final List<Fault> faults;

    Plan(long seed, Map<ScenarioParameter, Long> sizes, List<Fault> faults) {
        this.seed = seed;
        EnumMap<ScenarioParameter, Long> all = new EnumMap<>(ScenarioParameter.class);
        for (ScenarioParameter each : ScenarioParameter.values()) {
            all.put(each, each.checkRange(sizes.getOrDefault(each, each.defaultValue())));
        }
        this.sizes = Collections.unmodifiableMap(all);
        this.faults = List.copyOf(faults);
    }

    /** Draws the plan of a seed; the same seed always gives the same plan. */
    public static Plan draw(long seed) {
        return new PlanDraw(seed).draw();
    }

    /**
     * Parses a scenario.
     *
     * @throws IllegalArgumentException with the line number, if a line is malformed or names an
     *     unknown parameter, fault or target
     */
    public static Plan parse(String text) {
        return new PlanText().parse(text);
    }

    /** Returns the scenario that {@link #parse} reads as this plan. */
    public String text() {
        return PlanText.text(this);
    }

    /** Returns this plan without the faults at these indices. */
    public Plan without(Set<Integer> indices) {
        List<Fault> kept = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            if (!indices.contains(i)) {
                kept.add(faults.get(i));
            }
        }
        return new Plan(seed, sizes, kept);
    }

    /** Returns this plan with another value of one parameter. */
    public Plan with(ScenarioParameter parameter, long value) {
        EnumMap<ScenarioParameter, Long> changed = new EnumMap<>(sizes);
        changed.put(parameter, value);
        return new Plan(seed, changed, faults);
    }

    /** Returns this plan with another fault at an index. */
    Plan with(int index, Fault fault) {
        List<Fault> changed = new ArrayList<>(faults);
        changed.set(index, fault);
        return new Plan(seed, sizes, changed);
    }

    /** The parameters whose values differ from their defaults. */
    public List<ScenarioParameter> nonDefaultParameters() {
        List<ScenarioParameter> unusual = new ArrayList<>();
        sizes.forEach(
                (parameter, value) -> {
                    if (value != parameter.defaultValue()) {
                        unusual.add(parameter);
                    }
                });
        return unusual;
    }

    /** Returns this plan with one parameter at its default. */
    public Plan withDefault(ScenarioParameter parameter) {
        return with(parameter, parameter.defaultValue());
    }

    /** The seed of all random streams of the day. */
    public long seed() {
        return seed;
    }

    /** The value of a parameter in its stored unit: nanoseconds, millionths or a count. */
    public long size(ScenarioParameter parameter) {
        return sizes.get(parameter);
    }

    /** The value of a parameter of unit {@code PART}, as a fraction. */
    double part(ScenarioParameter parameter) {
        return sizes.get(parameter) / 1e6;
    }

    /** The value of a parameter as an int. */
    int count(ScenarioParameter parameter) {
        return Math.toIntExact(sizes.get(parameter));
    }

    /** The faults in the order of the scenario; their indices identify them. */
    public List<Fault> faults() {
        return faults;
    }

    /** Time at which faults, bursts and corrupted responses end. */
    public long faultsEnd() {
        return size(ScenarioParameter.FAULTS_END);
    }

    /** Time from which the invariants measure how many requests are served. */
    public long calmFrom() {
        return faultsEnd() + size(ScenarioParameter.RECOVERY);
    }

    /** Time after which clients send no new requests. */
    public long quietFrom() {
        return calmFrom() + size(ScenarioParameter.CALM);
    }

    /** Time at which the day ends. */
    public long end() {
        return quietFrom() + size(ScenarioParameter.QUIET);
    }

    /** The maximum length in bytes of a request or response body. */
    int maxBodyBytes() {
        return (int)
                Math.min(
                        MAX_BODY_BYTES,
                        MAX_BUFFERS_PER_BODY
                                * Math.min(
                                        size(ScenarioParameter.SEND_BUFFER),
                                        size(ScenarioParameter.RECEIVE_BUFFER)));
    }

    /** The deadline in nanoseconds of requests of a class. */
    long deadline(RequestClasses.Definition kind) {
        return kind.deadline() < RequestClasses.LONGEST
                ? kind.deadline()
                : size(ScenarioParameter.LONGEST_DEADLINE);
    }

    /** For how many nanoseconds servers drop duplicates of a request with an idempotency key. */
    long window(RequestClasses.Definition kind) {
        return kind.scope() == DeduplicationScope.ALL
                ? kind.keyTtl()
                : size(ScenarioParameter.KEY_WINDOW);
    }

    /**
     * An upper bound in nanoseconds for transferring a whole message between a client and its
     * sidecar while no fault affects their link.
     */
    public long maxClientTransferNanos() {
        double oneWayNanos =
                1.2 * size(ScenarioParameter.CLIENT_DELAY) * (1 + part(ScenarioParameter.JITTER));
        return (long) (oneWayNanos * (1 + 2.0 * MAX_BUFFERS_PER_BODY)) + 5 * Site.MS;
    }

    /** An upper bound in nanoseconds for the delay by queued work in a sidecar's event loop. */
    public long maxLoopBacklogNanos() {
        return 50 * (size(ScenarioParameter.TASK_COST) + size(ScenarioParameter.READ_COST))
                + 300 * size(ScenarioParameter.CLOCK_COST)
                + 5 * Site.MS;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Plan plan
                && plan.seed == seed
                && plan.sizes.equals(sizes)
                && plan.faults.equals(faults);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(seed);
    }
}
