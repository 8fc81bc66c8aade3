package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings of the site velo-trade-mu, as the wire page prints them, with four tenants. */
public final class Settings {
    private Settings() {}

    public static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    public static Map<String, Object> profile(
            String name, long aimMs, long deadlineMs, String semantics, String scope, long ttlMs) {
        return map(
                "name", name,
                "slo", aimMs * 1_000_000,
                "deadline", deadlineMs * 1_000_000,
                "semantics", semantics,
                "keyScope", scope,
                "keyTtl", ttlMs * 1_000_000,
                "lateShare", 0.0,
                "stream", false,
                "worth", 1.0);
    }

    public static Map<String, Object> site() {
        List<Object> parties = new ArrayList<>();
        String[] names = {"cycles-moris", "roue-dor", "piece-velo-nord", "bois-cheri-cycles"};
        double[] portions = {0.3, 0.26, 0.24, 0.2};
        for (int i = 0; i < names.length; i++) {
            parties.add(
                    map("name", names[i], "portion", portions[i], "quotaRps", 400 * portions[i]));
        }
        return map(
                "profiles",
                new ArrayList<>(
                        List.of(
                                profile("stock-check", 200, 400, "repeatable", "all", 5000),
                                profile("stock-hold", 400, 1000, "by_key", "zone", 1000),
                                profile("order-confirm", 500, 1500, "by_key", "all", 7500))),
                "parties", parties,
                "zones", List.of("ebene", "port-louis", "rose-belle"),
                "kinds", List.of("std-3c"),
                "zone", 0,
                "rank", 0,
                "replicasOfMe", 1,
                "quantum", 5_000_000,
                "discovery", "subscribe",
                "weights", "silent",
                "valueBy", "request",
                "overShareWorth", 0.1,
                "report", map("how", "piggyback", "fields", List.of("rate", "lat_ms", "fail_rate", "q")),
                "caps",
                map(
                        "mayCancel", true,
                        "mayProbe", true,
                        "parallelTries", true,
                        "peers", false,
                        "retryAfter", false,
                        "tryLimit", 6,
                        "connIdle", 10_000_000_000L,
                        "connectTimeout", 100_000_000,
                        "maxOpen", 23821,
                        "maxRetryAfter", 750_000_000,
                        "streamsPerConn", 1),
                "rules",
                map(
                        "answerSlack", 20_000_000,
                        "askWithin", 10_000_000_000L,
                        "stopSendingWithin", 2_000_000_000L,
                        "coldShare", 0.39,
                        "rampTime", 7_400_000_000L,
                        "overloadFactor", 4.0,
                        "tipAfter", 1_500_000_000));
    }
}
