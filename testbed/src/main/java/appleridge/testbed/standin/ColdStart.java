package appleridge.testbed.standin;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * What a fresh server can do while it warms up, and how near the work sent to it comes to tipping
 * it.
 */
public final class ColdStart {
    /**
     * A kind of machine; times in nanoseconds.
     *
     * @param coldShare the part of its capacity that a server starts with
     * @param ramp the time until it has all of it
     * @param factor times what it can do at that moment: sent more, a cold server falls over
     * @param tipAfter how long it stands that
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

    /** The part of its capacity that it has at this moment. */
    public double share(long now) {
        double passed = (now - startedAt) / (double) figures.ramp();
        return !cold || passed >= 1 ? 1 : figures.coldShare() + (1 - figures.coldShare()) * passed;
    }

    /**
     * Takes a request's work in; returns all that came lately as a part of what tips it, 0 once
     * warm.
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
