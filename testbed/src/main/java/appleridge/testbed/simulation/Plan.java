package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What happens on a day: its sizes and its faults. All else is drawn from the seed, from streams
 * that no fault shifts. A plan is drawn from a seed, or read from a scenario: a small text with one
 * fault a line.
 */
public final class Plan {
    /** On one machine sockets hold at least so many bytes. */
    static final int LEAST_BUFFER_AT_HOME = 4096;

    private static final int LARGEST_BODY = 30_000;

    /** Through a small buffer a body takes so many ways there and back at most. */
    private static final int BUFFERS_IN_A_BODY = 20;

    private final long seed;
    private final Map<ScenarioParameter, Long> sizes;
    private final List<Fault> faults;

    Plan(long seed, Map<ScenarioParameter, Long> sizes, List<Fault> faults) {
        this.seed = seed;
        EnumMap<ScenarioParameter, Long> all = new EnumMap<>(ScenarioParameter.class);
        for (ScenarioParameter each : ScenarioParameter.values()) {
            all.put(each, each.checked(sizes.getOrDefault(each, each.usual())));
        }
        this.sizes = Collections.unmodifiableMap(all);
        this.faults = List.copyOf(faults);
    }

    /** The plan of a seed. */
    public static Plan draw(long seed) {
        return new PlanDraw(seed).draw();
    }

    /**
     * Reads a scenario; what makes no sense is told by an exception's message, with the number of
     * the line.
     */
    public static Plan parse(String text) {
        return new PlanText().parse(text);
    }

    /** The scenario that {@link #parse} reads as this plan. */
    public String text() {
        return PlanText.text(this);
    }

    /** The same day without the faults at these places. */
    public Plan without(Set<Integer> places) {
        List<Fault> kept = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            if (!places.contains(i)) {
                kept.add(faults.get(i));
            }
        }
        return new Plan(seed, sizes, kept);
    }

    /** The same day with another size. */
    public Plan with(ScenarioParameter knob, long value) {
        EnumMap<ScenarioParameter, Long> changed = new EnumMap<>(sizes);
        changed.put(knob, value);
        return new Plan(seed, changed, faults);
    }

    /** The same day with another fault at that place. */
    Plan with(int place, Fault fault) {
        List<Fault> changed = new ArrayList<>(faults);
        changed.set(place, fault);
        return new Plan(seed, sizes, changed);
    }

    /** The sizes that are not as usual. */
    public List<ScenarioParameter> unusual() {
        List<ScenarioParameter> unusual = new ArrayList<>();
        sizes.forEach(
                (knob, value) -> {
                    if (value != knob.usual()) {
                        unusual.add(knob);
                    }
                });
        return unusual;
    }

    /** The same day with a size as usual. */
    public Plan withUsual(ScenarioParameter knob) {
        return with(knob, knob.usual());
    }

    /** From which all of the day's chance comes. */
    public long seed() {
        return seed;
    }

    /** A size, in the smallest unit that it is kept in: nanoseconds, millionths or ones. */
    public long size(ScenarioParameter knob) {
        return sizes.get(knob);
    }

    /** A part, as a fraction. */
    double part(ScenarioParameter knob) {
        return sizes.get(knob) / 1e6;
    }

    int count(ScenarioParameter knob) {
        return Math.toIntExact(sizes.get(knob));
    }

    /** The faults, in the order of their places. */
    public List<Fault> faults() {
        return faults;
    }

    /** When faults and unusual traffic have ended. */
    public long faultsEnd() {
        return size(ScenarioParameter.FAULTS_END);
    }

    /** When the judge begins to measure what is served. */
    public long calmFrom() {
        return faultsEnd() + size(ScenarioParameter.RECOVERY);
    }

    /** When the last request is asked. */
    public long quietFrom() {
        return calmFrom() + size(ScenarioParameter.CALM);
    }

    /** When the day ends. */
    public long end() {
        return quietFrom() + size(ScenarioParameter.QUIET);
    }

    /** What a client asks, or gets, has no longer body than this. */
    int largestBody() {
        return (int)
                Math.min(
                        LARGEST_BODY,
                        BUFFERS_IN_A_BODY
                                * Math.min(
                                        size(ScenarioParameter.SEND_BUFFER),
                                        size(ScenarioParameter.RECEIVE_BUFFER)));
    }

    /** The longest that clients of a class wait. */
    long deadline(RequestClasses.Definition kind) {
        return kind.deadline() < RequestClasses.LONGEST
                ? kind.deadline()
                : size(ScenarioParameter.LONGEST_DEADLINE);
    }

    /** How long a keyed class's repeats are dropped. */
    long window(RequestClasses.Definition kind) {
        return kind.scope() == DeduplicationScope.ALL
                ? kind.keyTtl()
                : size(ScenarioParameter.KEY_WINDOW);
    }

    /**
     * The longest that a whole message takes between a client and its sidecar, while no trouble is
     * told.
     */
    public long longestWay() {
        double way =
                1.2 * size(ScenarioParameter.CLIENT_DELAY) * (1 + part(ScenarioParameter.JITTER));
        return (long) (way * (1 + 2.0 * BUFFERS_IN_A_BODY)) + 5 * Site.MS;
    }

    /** What work that waits in a sidecar's loop may add to all it does, in a time of no trouble. */
    public long longestWork() {
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
