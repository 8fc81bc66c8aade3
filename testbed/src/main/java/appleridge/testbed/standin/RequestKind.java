package appleridge.testbed.standin;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A request class; times in nanoseconds.
 *
 * @param share its share of the traffic
 * @param work the mean work of a request, in core nanoseconds
 * @param aim the latency objective: an answer within this time has full value
 * @param patience the deadline: how long a client waits, over all its attempts
 * @param worth the value of an answer in time
 * @param window for a class with keys: how long servers drop its repeats
 */
public record RequestKind(
        String name,
        double share,
        long work,
        long aim,
        long patience,
        double worth,
        Repeats repeats,
        long window) {
    /** Whether a request may be repeated, and which servers drop a repeat. */
    public enum Repeats {
        /** Idempotent. */
        SAFE,
        /** Idempotent by key; the servers of the same zone drop a repeat. */
        KEYED_BY_ZONE,
        /** Idempotent by key; all servers drop a repeat. */
        KEYED_BY_ALL,
        /** Not idempotent: must not run twice, and no server drops a repeat. */
        UNSAFE;

        /** Whether requests carry an idempotency key. */
        public boolean keyed() {
            return this == KEYED_BY_ZONE || this == KEYED_BY_ALL;
        }
    }

    /** The request classes of the ordering platform, and one that must not be repeated. */
    public static final List<RequestKind> ALL =
            List.of(
                    new RequestKind(
                            "stock-check",
                            0.42,
                            millis(35),
                            millis(200),
                            millis(400),
                            1,
                            Repeats.SAFE,
                            0),
                    new RequestKind(
                            "stock-hold",
                            0.30,
                            millis(63),
                            millis(400),
                            millis(1000),
                            3,
                            Repeats.KEYED_BY_ZONE,
                            millis(1000)),
                    new RequestKind(
                            "order-confirm",
                            0.20,
                            millis(93),
                            millis(500),
                            millis(1500),
                            10,
                            Repeats.KEYED_BY_ALL,
                            millis(7500)),
                    new RequestKind(
                            "raise-invoice",
                            0.08,
                            millis(60),
                            millis(500),
                            millis(1500),
                            10,
                            Repeats.UNSAFE,
                            0));

    private static final String PATH = "/api/";

    /**
     * The path of this class, by which servers recognize it: a path is always forwarded unchanged.
     */
    public String path() {
        return PATH + name;
    }

    /** The class with this path; null if there is none. */
    public static RequestKind ofPath(String path) {
        for (RequestKind kind : ALL) {
            if (path.equals(kind.path())) {
                return kind;
            }
        }
        return null;
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }
}
