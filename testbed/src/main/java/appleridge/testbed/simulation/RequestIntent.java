package appleridge.testbed.simulation;

import appleridge.loadbalancing.Idempotency;
import appleridge.testbed.simnet.SeededRandom;
import java.util.List;

/** What a usual client wants done, in one try or several, and how that client is. */
final class RequestIntent {
    private static final int SMALL_BODY = 60;

    /**
     * A request takes at most so many times the mean work; fewer in the calm, where all are to be
     * served.
     */
    private static final int MOST_WORK = 4;

    private static final int MOST_WORK_IN_CALM = 2;

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
    final double share;

    /** How many tries there were. */
    int tries;

    int retriesLeft;

    /** When the client waits no longer, whatever it tries; 0 before the first try. */
    long endsAt;

    /**
     * @param works mean work of each class on this day
     */
    RequestIntent(Day day, String origin, SeededRandom chance, long[] works, int tenant) {
        Plan plan = day.plan;
        this.origin = origin;
        this.chance = chance;
        this.requestClass = drawClass(chance);
        this.tenant = tenant;
        this.kind = RequestClasses.of(requestClass);
        this.deadline = plan.deadline(kind);
        double meanWork = works[requestClass];
        double mostWork = meanWork * (day.faultsMayOccur() ? MOST_WORK : MOST_WORK_IN_CALM);
        this.work =
                (long) Math.min(mostWork, Math.max(meanWork / 10, chance.exponential(meanWork)));
        this.key =
                kind.keyed()
                        ? Long.toHexString(chance.nextLong()) + Long.toHexString(chance.nextLong())
                        : null;
        boolean large = chance.hits(plan.part(ScenarioParameter.LARGE_BODIES));
        int length =
                kind.semantics() == Idempotency.IDEMPOTENT
                        ? 0
                        : 1 + chance.nextInt(large ? plan.largestBody() : SMALL_BODY);
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

    /** Now and then none, else with what a careless hand would change: signs, marks, escapes. */
    private static String query(SeededRandom form) {
        StringBuilder query = new StringBuilder(32);
        for (int i = form.nextInt(4); i > 0; i--) {
            query.append(query.length() == 0 ? '?' : '&')
                    .append(form.pick(QUERIES))
                    .append(form.nextInt(1000));
        }
        return query.toString();
    }

    /** All kinds of bytes, other ones in each body. */
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
        int place = 0;
        while (place < RequestClasses.ALL.size() - 1 && drawn >= RequestClasses.of(place).share()) {
            drawn -= RequestClasses.of(place).share();
            place++;
        }
        return place;
    }

    String method() {
        return kind.semantics() == Idempotency.IDEMPOTENT ? "GET" : "POST";
    }

    /** Whether its client may ask again after a failure: one more run does no harm. */
    boolean mayFollowFailure() {
        return kind.semantics() == Idempotency.IDEMPOTENT;
    }
}
