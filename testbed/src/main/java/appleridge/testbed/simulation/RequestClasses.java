package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import appleridge.loadbalancing.Idempotency;
import java.util.List;

/** The classes of request in the world, by their place in a sidecar's settings. */
public final class RequestClasses {
    /**
     * One class; times in nanoseconds.
     *
     * @param scope null unless keyed
     * @param keyTtl how long a keyed one's repeats are dropped
     * @param leastWork the mean work of a day is drawn between this and {@code mostWork}
     * @param share part of the requests
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
        /** Whether its requests carry a key by which a repeat is known. */
        public boolean keyed() {
            return semantics == Idempotency.IDEMPOTENT_BY_KEY;
        }
    }

    private static final long MS = 1_000_000;

    /** The longest deadline, which is another one on some days. */
    static final long LONGEST = 1500 * MS;

    /** All of them, in order. */
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

    /** The class at a place. */
    public static Definition of(int place) {
        return ALL.get(place);
    }
}
