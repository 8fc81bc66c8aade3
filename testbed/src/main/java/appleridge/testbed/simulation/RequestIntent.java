package appleridge.testbed.simulation;

import appleridge.loadbalancing.Idempotency;
import appleridge.testbed.simnet.SeededRandom;
import java.util.List;

/**
 * One operation that a regular client wants done, in one attempt or several, and how that client
 * behaves.
 */
final class RequestIntent {
    private static final int SMALL_BODY_BYTES = 60;

    /** Maximum work of a request as a multiple of the mean. */
    private static final int MAX_WORK_FACTOR = 4;

    /** The same after the faults, when every request should be served. */
    private static final int MAX_WORK_FACTOR_AFTER_FAULTS = 2;

    /** Longer than what a sidecar holds whole. */
    private static final int MIN_LONG_BODY_BYTES = 66_000;

    private static final long MIN_STAY = 10 * Site.MS;
    private static final long MAX_STAY = 100 * Site.MS;
    private static final List<String> QUERIES =
            List.of(
                    "item=",
                    "q=a+b%20c%2Fd%3f",
                    "x=?&y=;",
                    "%00=~",
                    "empty=&n=",
                    "Item=%C3%A9",
                    "/../p=",
                    "a=1&a=");

    final String origin;
    final int requestClass;
    final int tenant;
    final RequestClasses.Definition kind;
    final long deadline;
    final SeededRandom chance;
    final long work;
    final String key;
    final String uri;
    final byte[] body;
    final boolean slowReader;
    final boolean slowWriter;
    final boolean asksOnce;
    final boolean impatient;

    /** Whether the client sends a long request and disconnects soon. */
    final boolean departing;

    /** When a departing client disconnects, from the start of its request. */
    final long departsAfter;

    final double share;

    /** Number of attempts so far. */
    int tries;

    int retriesLeft;

    /** Time at which the client gives up for good; 0 before the first attempt. */
    long endsAt;

    /** {@code works}: mean work in nanoseconds of each class on this day. */
    RequestIntent(Day day, String origin, SeededRandom chance, long[] works, int tenant) {
        Plan plan = day.plan;
        this.origin = origin;
        this.chance = chance;
        this.requestClass = drawClass(chance);
        this.tenant = tenant;
        this.kind = RequestClasses.of(requestClass);
        this.deadline = plan.deadline(kind);
        double meanWork = works[requestClass];
        double maxWork =
                meanWork * (day.faultsMayOccur() ? MAX_WORK_FACTOR : MAX_WORK_FACTOR_AFTER_FAULTS);
        this.work = (long) Math.min(maxWork, Math.max(meanWork / 10, chance.exponential(meanWork)));
        this.key =
                kind.keyed()
                        ? Long.toHexString(chance.nextLong()) + Long.toHexString(chance.nextLong())
                        : null;
        boolean large = chance.hits(plan.part(ScenarioParameter.LARGE_BODIES));
        SeededRandom departure = chance.stream("departure");
        this.departing =
                kind.semantics() != Idempotency.IDEMPOTENT
                        && departure.hits(plan.part(ScenarioParameter.DEPARTING));
        int usualLength =
                kind.semantics() == Idempotency.IDEMPOTENT
                        ? 0
                        : 1 + chance.nextInt(large ? plan.maxBodyBytes() : SMALL_BODY_BYTES);
        int length =
                departing
                        ? MIN_LONG_BODY_BYTES + departure.nextInt(MIN_LONG_BODY_BYTES)
                        : usualLength;
        this.departsAfter = departure.between(MIN_STAY, MAX_STAY);
        SeededRandom form = chance.stream("form");
        this.uri = "/api/" + kind.name() + query(form);
        this.body = body(form.nextLong(), length);
        this.slowReader = chance.hits(plan.part(ScenarioParameter.SLOW_READERS));
        this.slowWriter = chance.hits(plan.part(ScenarioParameter.SLOW_WRITERS));
        this.asksOnce = chance.hits(plan.part(ScenarioParameter.ASK_ONCE));
        this.impatient = chance.hits(plan.part(ScenarioParameter.IMPATIENT));
        this.share = 0.7 + 0.3 * chance.nextDouble();
        this.retriesLeft = plan.count(ScenarioParameter.RETRIES);
    }

    /** A query of up to three parts, with characters and escapes that a proxy might alter. */
    private static String query(SeededRandom form) {
        StringBuilder query = new StringBuilder(32);
        for (int i = form.nextInt(4); i > 0; i--) {
            query.append(query.length() == 0 ? '?' : '&')
                    .append(form.pick(QUERIES))
                    .append(form.nextInt(1000));
        }
        return query.toString();
    }

    /** Pseudorandom bytes of all values, from a linear congruential generator. */
    private static byte[] body(long seed, int length) {
        byte[] bytes = new byte[length];
        long state = seed;
        for (int i = 0; i < length; i++) {
            state = state * 6364136223846793005L + 1442695040888963407L;
            bytes[i] = (byte) (state >>> 56);
        }
        return bytes;
    }

    private static int drawClass(SeededRandom chance) {
        double drawn = chance.nextDouble();
        int index = 0;
        while (index < RequestClasses.ALL.size() - 1 && drawn >= RequestClasses.of(index).share()) {
            drawn -= RequestClasses.of(index).share();
            index++;
        }
        return index;
    }

    String method() {
        return kind.semantics() == Idempotency.IDEMPOTENT ? "GET" : "POST";
    }

    /** Whether the client may retry after a failure, because a second run does no harm. */
    boolean mayFollowFailure() {
        return kind.semantics() == Idempotency.IDEMPOTENT;
    }
}
