package appleridge.testbed.standin;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A class of request; times in nanoseconds.
 *
 * @param share its part of the traffic
 * @param work mean of the work that it is to a server
 * @param aim an answer within this time is worth all
 * @param patience the longest that a client waits, over all its tries
 * @param worth of an answer in time
 * @param window for a keyed one: how long servers drop its repeats
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
    /** What may happen to it again, and which servers drop a repeat. */
    public enum Repeats {
        /** Safe to repeat. */
        SAFE,
        /** Carries a key; the servers of one zone drop a repeat. */
        KEYED_BY_ZONE,
        /** Carries a key; all servers drop a repeat. */
        KEYED_BY_ALL,
        /** Must not run twice, and nothing drops a repeat. */
        UNSAFE;

        /** Whether requests carry a key. */
        public boolean keyed() {
            return this == KEYED_BY_ZONE || this == KEYED_BY_ALL;
        }
    }

    /** The ordering platform's classes, and one that must not be repeated. */
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

    /** Where requests of this class go: the one thing that surely reaches a server unchanged. */
    public String path() {
        return PATH + name;
    }

    /** The class of a request to this path; null if there is none. */
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
