package appleridge.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/** Whether a cold server has been sent more, within the rule's time, than it can bear. */
final class ColdServerOverloadWatch {
    /**
     * Beyond the rule's limit, in nanoseconds of work, so that a judge's sums are not closer than
     * the server's.
     */
    private static final long SLACK = 50 * Site.MS;

    private record Sent(long at, long work, String sidecar) {}

    private final ArrayDeque<Sent> window = new ArrayDeque<>();
    private long sum;

    /**
     * Counts what has arrived; true if it was too much. {@code capacity}: cores' worth of work at
     * present.
     */
    boolean recordArrival(long now, long work, String sidecar, double capacity) {
        window.add(new Sent(now, work, sidecar));
        sum += work;
        while (window.peek().at() <= now - Site.TIP_AFTER) {
            sum -= window.poll().work();
        }
        return sum > Site.OVERLOAD_FACTOR * capacity * Site.TIP_AFTER + SLACK;
    }

    /** Seconds of work in the window, by who sent them. */
    Map<String, Double> bySidecar() {
        Map<String, Double> work = new TreeMap<>();
        window.forEach(sent -> work.merge(sent.sidecar(), sent.work() / 1e9, Double::sum));
        return work;
    }
}
