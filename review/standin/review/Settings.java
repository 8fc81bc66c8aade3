package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Settings of the two sites of the kit: as the wire page and a day of the bench give them. */
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

    /** The site asahikawa-permits, with one sidecar. */
    public static Map<String, Object> asahikawa() {
        Map<String, Object> settings = site();
        settings.put(
                "profiles",
                List.of(
                        profile("permit-lookup", 750, 2500, "repeatable", "all", 5000),
                        profile("plate-reserve", 200, 1000, "by_key", "cell", 2000),
                        profile("permit-issue", 300, 750, "by_key", "all", 500)));
        settings.put(
                "parties",
                List.of(
                        map("name", "kamikawa-motors", "portion", 0.6, "quotaRps", 500.0),
                        map("name", "ishikari-auto", "portion", 0.4, "quotaRps", 300.0)));
        settings.put("zones", List.of("asahikawa-mr1"));
        settings.put("kinds", List.of("fast-2c", "wide-4c"));
        settings.put("quantum", 2_000_000);
        settings.put("weights", "rough");
        settings.put("report", map("how", "piggyback", "fields", List.of("busy", "rate")));
        settings.put(
                "rules",
                map(
                        "answerSlack", 8_000_000,
                        "askWithin", 10_000_000_000L,
                        "stopSendingWithin", 250_000_000,
                        "coldShare", 0.12,
                        "rampTime", 24_000_000_000L,
                        "overloadFactor", 2.5,
                        "tipAfter", 3_000_000_000L));
        return settings;
    }
}
