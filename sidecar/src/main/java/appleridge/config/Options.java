package appleridge.config;

import appleridge.loadbalancing.Balancer.Allowed;
import appleridge.loadbalancing.Balancer.Discovery;
import appleridge.loadbalancing.Balancer.Limits;
import appleridge.loadbalancing.Balancer.RequestClass;
import appleridge.loadbalancing.Balancer.Scope;
import appleridge.loadbalancing.Balancer.Semantics;
import appleridge.loadbalancing.Balancer.Settings;
import appleridge.loadbalancing.Balancer.Tenant;
import appleridge.loadbalancing.Balancer.Weights;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Turns the path=value lines of a provision event into {@link Settings}; keys it does not know are
 * skipped. The real sidecar flattens its configuration to the same lines, so there is one mapping.
 */
public final class Options {
    private static final Map<String, Discovery> DISCOVERY_WORDS =
            Map.of("AUTOMATIC", Discovery.AUTOMATIC, "SUBSCRIBE", Discovery.SUBSCRIBE);
    private static final Map<String, Weights> WEIGHTS_WORDS =
            Map.of(
                    "SILENT", Weights.SILENT,
                    "NOMINAL", Weights.NOMINAL,
                    "ROUGH", Weights.ROUGH,
                    "LIVE", Weights.LIVE);
    private static final Map<String, Semantics> SEMANTICS_WORDS =
            Map.of(
                    "REPEATABLE", Semantics.REPEATABLE,
                    "BY_KEY", Semantics.BY_KEY,
                    "ONCE", Semantics.ONCE);
    private static final Map<String, Scope> SCOPE_WORDS =
            Map.of("ALL", Scope.ALL, "ZONE", Scope.ZONE, "CELL", Scope.CELL);

    private final Map<String, String> values = new HashMap<>();

    private Options(String text) {
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
    public static Settings parse(String text) {
        return new Options(text).settings();
    }

    private Settings settings() {
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
        return new Settings(
                (int) number("rank", -1),
                (int) number("replicasOfMe", 1),
                (int) number("zone", 0),
                (long) number("quantum", 0),
                choice(DISCOVERY_WORDS, "discovery", Discovery.AUTOMATIC),
                choice(WEIGHTS_WORDS, "weights", Weights.SILENT),
                classes,
                tenants,
                allowed(),
                limits(),
                fields.isEmpty() ? List.of() : List.of(fields.split(",")),
                "work".equals(values.get("valueBy")),
                number("overShareWorth", 1));
    }

    private RequestClass requestClass(String path) {
        Semantics semantics = choice(SEMANTICS_WORDS, path + "semantics", null);
        long deadline = (long) required(path + "deadline");
        // Danger: where a day's deadlines are short, an aim may lie beyond one. Nothing is earned
        // after the
        // deadline, so such an aim is the deadline; turned down, no sidecar would start on that
        // day.
        long aim = Math.min((long) required(path + "slo"), deadline);
        // Danger: these say nothing of other classes, and a start must not fail for what stands
        // there.
        boolean byKey = semantics == Semantics.BY_KEY;
        Scope scope = byKey ? choice(SCOPE_WORDS, path + "keyScope", Scope.CELL) : Scope.CELL;
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

    private Allowed allowed() {
        return new Allowed(
                flag("caps.mayCancel"),
                flag("caps.mayProbe"),
                flag("caps.peers"),
                flag("caps.parallelTries"),
                flag("caps.retryAfter"),
                (int) number("caps.tryLimit", 1),
                (long) number("caps.maxRetryAfter", 0),
                (long) number("caps.connectTimeout", 0));
    }

    private Limits limits() {
        return new Limits(
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
