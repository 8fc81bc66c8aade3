package appleridge.testbed.standin;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The capacity of a server while it warms up, and how close the work sent to it comes to making it
 * fall over.
 */
public final class ColdStart {
    /**
     * The figures of a machine model; times in nanoseconds.
     *
     * @param coldShare the share of its capacity that a server starts with
     * @param ramp the time from the start until full capacity
     * @param factor a cold server falls over if it is sent more than this multiple of its current
     *     capacity over {@code tipAfter}
     * @param tipAfter the length of the window over which work is summed
     */
    public record Figures(int cores, double coldShare, long ramp, double factor, long tipAfter) {
        /** The ordering platform's machines. */
        public static final Figures USUAL =
                new Figures(
                        3,
                        0.39,
                        TimeUnit.MILLISECONDS.toNanos(7400),
                        4,
                        TimeUnit.MILLISECONDS.toNanos(1500));
    }

    private record Sent(long at, double work) {}

    private final Figures figures;
    private final boolean cold;
    private final long startedAt;
    private final ArrayDeque<Sent> window = new ArrayDeque<>();
    private double sum;

    public ColdStart(Figures figures, boolean cold, long startedAt) {
        this.figures = figures;
        this.cold = cold;
        this.startedAt = startedAt;
    }

    /** The share of its capacity, from 0 to 1, that the server has at time `now`. */
    public double share(long now) {
        double passed = (now - startedAt) / (double) figures.ramp();
        return !cold || passed >= 1 ? 1 : figures.coldShare() + (1 - figures.coldShare()) * passed;
    }

    /**
     * Adds the work of a request, in core nanoseconds. Returns the work of the current window
     * relative to the limit: above 1 the server falls over. Always 0 once the server is warm.
     */
    public double sent(long now, double work) {
        if (share(now) >= 1) {
            return 0;
        }
        window.add(new Sent(now, work));
        sum += work;
        while (window.peek().at() < now - figures.tipAfter()) {
            sum -= window.poll().work();
        }
        return sum / (figures.factor() * share(now) * figures.cores() * figures.tipAfter());
    }
}
