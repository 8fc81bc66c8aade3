package appleridge.config;

import appleridge.loadbalancing.Capabilities;
import appleridge.loadbalancing.DeduplicationScope;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.SafetyLimits;
import appleridge.loadbalancing.Tenant;
import appleridge.loadbalancing.WeightKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Turns the path=value lines of a provision event into {@link PolicySettings}; keys it does not
 * know are skipped. The real sidecar flattens its configuration to the same lines, so there is one
 * mapping.
 */
public final class PolicySettingsParser {
    private static final Map<String, DiscoveryMode> DISCOVERY_WORDS =
            Map.of("AUTOMATIC", DiscoveryMode.PUSHED, "SUBSCRIBE", DiscoveryMode.SUBSCRIBED);
    private static final Map<String, WeightKind> WEIGHTS_WORDS =
            Map.of(
                    "SILENT", WeightKind.SILENT,
                    "NOMINAL", WeightKind.NOMINAL,
                    "ROUGH", WeightKind.ROUGH,
                    "LIVE", WeightKind.LIVE);
    private static final Map<String, Idempotency> SEMANTICS_WORDS =
            Map.of(
                    "REPEATABLE", Idempotency.IDEMPOTENT,
                    "BY_KEY", Idempotency.IDEMPOTENT_BY_KEY,
                    "ONCE", Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPE_WORDS =
            Map.of(
                    "ALL",
                    DeduplicationScope.ALL,
                    "ZONE",
                    DeduplicationScope.ZONE,
                    "CELL",
                    DeduplicationScope.CELL);

    private final Map<String, String> values = new HashMap<>();

    private PolicySettingsParser(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    /**
     * Reads path=value lines; what makes no sense is told by an {@link IllegalArgumentException}.
     */
    public static PolicySettings parse(String text) {
        return new PolicySettingsParser(text).settings();
    }

    private PolicySettings settings() {
        List<RequestClass> classes = new ArrayList<>();
        int classCount = (int) required("profiles.count");
        for (int i = 0; i < classCount; i++) {
            classes.add(requestClass("profiles." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = (int) number("parties.count", 0);
        for (int i = 0; i < tenantCount; i++) {
            String path = "parties." + i + ".";
            tenants.add(new Tenant(number(path + "portion", 0), number(path + "quotaRps", 0)));
        }
        String fields = values.getOrDefault("report.fields", "");
        return new PolicySettings(
                (int) number("rank", -1),
                (int) number("replicasOfMe", 1),
                (int) number("zone", 0),
                (long) number("quantum", 0),
                choice(DISCOVERY_WORDS, "discovery", DiscoveryMode.PUSHED),
                choice(WEIGHTS_WORDS, "weights", WeightKind.SILENT),
                classes,
                tenants,
                allowed(),
                limits(),
                fields.isEmpty() ? List.of() : List.of(fields.split(",")),
                "work".equals(values.get("valueBy")),
                number("overShareWorth", 1));
    }

    private RequestClass requestClass(String path) {
        Idempotency semantics = choice(SEMANTICS_WORDS, path + "semantics", null);
        long deadline = (long) required(path + "deadline");
        // Danger: where a day's deadlines are short, an aim may lie beyond one. Nothing is earned
        // after the
        // deadline, so such an aim is the deadline; turned down, no sidecar would start on that
        // day.
        long aim = Math.min((long) required(path + "slo"), deadline);
        // Danger: these say nothing of other classes, and a start must not fail for what stands
        // there.
        boolean byKey = semantics == Idempotency.IDEMPOTENT_BY_KEY;
        DeduplicationScope scope =
                byKey
                        ? choice(SCOPE_WORDS, path + "keyScope", DeduplicationScope.CELL)
                        : DeduplicationScope.CELL;
        long keyTtl = byKey ? (long) number(path + "keyTtl", 0) : 0;
        return new RequestClass(
                aim,
                number(path + "aimStretch", 0),
                deadline,
                number(path + "worth", 1),
                number(path + "lateShare", 0),
                semantics,
                scope,
                keyTtl,
                flag(path + "stream"));
    }

    private Capabilities allowed() {
        return new Capabilities(
                flag("caps.mayCancel"),
                flag("caps.mayProbe"),
                flag("caps.peers"),
                flag("caps.parallelTries"),
                flag("caps.retryAfter"),
                (int) number("caps.tryLimit", 1),
                (long) number("caps.maxRetryAfter", 0),
                (long) number("caps.connectTimeout", 0));
    }

    private SafetyLimits limits() {
        return new SafetyLimits(
                (long) required("rules.answerSlack"),
                (long) number("rules.askWithin", 0),
                (long) required("rules.stopSendingWithin"),
                required("rules.coldShare"),
                (long) required("rules.rampTime"),
                required("rules.overloadFactor"),
                (long) required("rules.tipAfter"));
    }

    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    private double required(String key) {
        if (!values.containsKey(key)) {
            throw new IllegalArgumentException("setting missing: " + key);
        }
        return number(key, 0);
    }

    private double number(String key, double absent) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            return absent;
        }
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, together with what parses but is no number.
        }
        throw new IllegalArgumentException("setting is not a number: " + key + "=" + text);
    }

    /** An enum setting; {@code absent} null makes it required. */
    private <E> E choice(Map<String, E> words, String key, E absent) {
        String text = values.get(key);
        if (text == null) {
            if (absent == null) {
                throw new IllegalArgumentException("setting missing: " + key);
            }
            return absent;
        }
        E value = words.get(text.toUpperCase(Locale.ROOT));
        if (value == null) {
            throw new IllegalArgumentException("setting has an unknown value: " + key + "=" + text);
        }
        return value;
    }
}
