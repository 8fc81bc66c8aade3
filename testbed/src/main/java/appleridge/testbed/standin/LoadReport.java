package appleridge.testbed.standin;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** The load that a server reports in its responses, updated at most every {@link #PERIOD}. */
final class LoadReport {
    /** The names of the reported figures, in order. */
    static final List<String> FIELDS = List.of("qps", "latency_ms", "eps", "queue");

    private static final long PERIOD = TimeUnit.MILLISECONDS.toNanos(100);

    private String text = "qps=0,latency_ms=0,eps=0,queue=0";
    private long since;
    private int answers;
    private int errors;
    private double work;

    void answered(double workNanos, boolean error) {
        answers++;
        errors += error ? 1 : 0;
        work += workNanos;
    }

    String text(long now, int queue) {
        long passed = now - since;
        if (passed >= PERIOD) {
            double seconds = passed / (double) TimeUnit.SECONDS.toNanos(1);
            long latency =
                    answers == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis((long) (work / answers));
            text =
                    "qps="
                            + Math.round(answers / seconds)
                            + ",latency_ms="
                            + latency
                            + ",eps="
                            + Math.round(errors / seconds)
                            + ",queue="
                            + queue;
            since = now;
            answers = 0;
            errors = 0;
            work = 0;
        }
        return text;
    }
}
