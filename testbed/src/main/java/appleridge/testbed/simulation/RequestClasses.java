package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import appleridge.loadbalancing.Idempotency;
import java.util.List;

/** The request classes of the simulated world, in the order of a sidecar's settings. */
public final class RequestClasses {
    /**
     * One request class; all times in nanoseconds.
     *
     * @param scope null unless idempotent by key
     * @param keyTtl how long servers deduplicate requests with the same key; 0 unless idempotent by
     *     key
     * @param leastWork lower bound of the mean work per request, which is drawn anew for each day
     * @param mostWork upper bound of the mean work
     * @param share fraction of all requests
     */
    public record Definition(
            String name,
            Idempotency semantics,
            DeduplicationScope scope,
            long keyTtl,
            long latencyObjective,
            long deadline,
            long leastWork,
            long mostWork,
            double share,
            double worth) {
        /** Whether its requests carry an idempotency key. */
        public boolean keyed() {
            return semantics == Idempotency.IDEMPOTENT_BY_KEY;
        }
    }

    private static final long MS = 1_000_000;

    /** The longest deadline in nanoseconds; some days replace it by another value. */
    static final long LONGEST = 1500 * MS;

    /** All request classes; the index of a class is its number. */
    public static final List<Definition> ALL =
            List.of(
                    new Definition(
                            "stock-check",
                            Idempotency.IDEMPOTENT,
                            null,
                            0,
                            200 * MS,
                            400 * MS,
                            25 * MS,
                            45 * MS,
                            0.4,
                            1),
                    new Definition(
                            "stock-hold",
                            Idempotency.IDEMPOTENT_BY_KEY,
                            DeduplicationScope.ZONE,
                            1000 * MS,
                            400 * MS,
                            1000 * MS,
                            45 * MS,
                            81 * MS,
                            0.28,
                            3),
                    new Definition(
                            "order-confirm",
                            Idempotency.IDEMPOTENT_BY_KEY,
                            DeduplicationScope.ALL,
                            7500 * MS,
                            500 * MS,
                            LONGEST,
                            67 * MS,
                            120 * MS,
                            0.22,
                            10),
                    new Definition(
                            "raise-invoice",
                            Idempotency.NON_IDEMPOTENT,
                            null,
                            0,
                            500 * MS,
                            LONGEST,
                            60 * MS,
                            110 * MS,
                            0.1,
                            5));

    private RequestClasses() {}

    /** Returns the class with this index. */
    public static Definition of(int index) {
        return ALL.get(index);
    }
}
