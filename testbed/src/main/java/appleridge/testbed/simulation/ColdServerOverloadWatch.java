package appleridge.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/** Detects whether a warming-up server has received more work than the invariant allows. */
final class ColdServerOverloadWatch {

    /**
     * Nanoseconds of work above the invariant's limit, so that the server fails only where the
     * invariant checker's own sum is over the limit too.
     */
    private static final long TOLERANCE = 50 * Site.MS;

    private record Arrival(long at, long work, String sidecar) {}

    private final ArrayDeque<Arrival> window = new ArrayDeque<>();
    private long totalWork;

    /**
     * Records a request and returns whether the server is overloaded by it.
     *
     * @param work nanoseconds of one core
     * @param capacity number of cores' worth of work that the server does at present
     */
    boolean recordArrival(long now, long work, String sidecar, double capacity) {
        window.add(new Arrival(now, work, sidecar));
        totalWork += work;
        while (window.peek().at() <= now - Site.COLLAPSE_AFTER) {
            totalWork -= window.poll().work();
        }
        return totalWork > Site.OVERLOAD_FACTOR * capacity * Site.COLLAPSE_AFTER + TOLERANCE;
    }

    /** Returns the seconds of work in the window by sidecar. */
    Map<String, Double> bySidecar() {
        Map<String, Double> work = new TreeMap<>();
        window.forEach(arrival -> work.merge(arrival.sidecar(), arrival.work() / 1e9, Double::sum));
        return work;
    }
}
