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
 * Parses the path=value lines of a provision event into {@link PolicySettings}. Only this class
 * maps the platform's keys and words to the product's terms; the sidecar's configuration file is
 * flattened to the same lines. Unknown keys are ignored. Times are in nanoseconds, fractions range
 * from 0 to 1, and N counts from 0.
 *
 * <table>
 * <caption>Keys, their terms and defaults</caption>
 * <tr><th>key<th>term<th>default
 * <tr><td>{@code rank}, {@code replicasOfMe}<td>this sidecar's rank among its replicas<td>-1, 1
 * <tr><td>{@code zone}<td>the sidecar's zone<td>0
 * <tr><td>{@code quantum}<td>clock granularity<td>0
 * <tr><td>{@code discovery}<td>{@link DiscoveryMode}: {@code automatic}, {@code
 *     subscribe}<td>{@code automatic}
 * <tr><td>{@code weights}<td>{@link WeightKind}: {@code silent}, {@code nominal}, {@code rough},
 *     {@code live}<td>{@code silent}
 * <tr><td>{@code report.fields}<td>load report fields, separated by commas<td>none
 * <tr><td>{@code valueBy}<td>{@code work}: priority weights count per unit of work<td>per request
 * <tr><td>{@code overShareWorth}<td>priority weight beyond a tenant's quota, a fraction<td>1
 * <tr><td>{@code profiles.count}<td>number of request classes<td>required
 * <tr><td>{@code profiles.N.slo}<td>latency objective, cut to the deadline<td>required
 * <tr><td>{@code profiles.N.aimStretch}<td>objective stretch, a multiple of the work<td>0
 * <tr><td>{@code profiles.N.deadline}<td>deadline<td>required
 * <tr><td>{@code profiles.N.worth}<td>priority weight<td>1
 * <tr><td>{@code profiles.N.lateShare}<td>late value fraction<td>0
 * <tr><td>{@code profiles.N.semantics}<td>{@link Idempotency}: {@code repeatable}, {@code by_key},
 *     {@code once}<td>required
 * <tr><td>{@code profiles.N.keyScope}<td>{@link DeduplicationScope} of {@code by_key}: {@code all},
 *     {@code zone}, {@code cell}<td>{@code cell}
 * <tr><td>{@code profiles.N.keyTtl}<td>how long an idempotency key is remembered<td>0
 * <tr><td>{@code profiles.N.stream}<td>streaming<td>false
 * <tr><td>{@code parties.count}<td>number of tenants<td>0
 * <tr><td>{@code parties.N.portion}<td>fair share<td>0
 * <tr><td>{@code parties.N.quotaRps}<td>quota in requests per second<td>0
 * <tr><td>{@code caps.mayCancel}<td>cancellation of attempts<td>false
 * <tr><td>{@code caps.mayProbe}<td>active health checks<td>false
 * <tr><td>{@code caps.peers}<td>gossip<td>false
 * <tr><td>{@code caps.parallelTries}<td>hedging<td>false
 * <tr><td>{@code caps.retryAfter}<td>Retry-After on rejections<td>false
 * <tr><td>{@code caps.tryLimit}<td>maximum attempts of a request<td>1
 * <tr><td>{@code caps.maxRetryAfter}<td>longest Retry-After<td>0
 * <tr><td>{@code caps.connectTimeout}<td>connect time-out<td>0
 * <tr><td>{@code rules.answerSlack}<td>answer slack beyond the deadline<td>required
 * <tr><td>{@code rules.askWithin}<td>poll interval of discovery<td>0
 * <tr><td>{@code rules.stopSendingWithin}<td>drain grace<td>required
 * <tr><td>{@code rules.coldShare}<td>slow-start minimum fraction<td>required
 * <tr><td>{@code rules.rampTime}<td>slow-start window<td>required
 * <tr><td>{@code rules.overloadFactor}<td>overload factor<td>required
 * <tr><td>{@code rules.tipAfter}<td>overload window<td>required
 * </table>
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
                    "ALL", DeduplicationScope.ALL,
                    "ZONE", DeduplicationScope.ZONE,
                    "CELL", DeduplicationScope.CELL);

    private static final String NUMBER_FORM = "a number";
    private static final String NOT_NEGATIVE = "a number from 0";
    private static final String FROM_ONE = "a number from 1";
    private static final String ABOVE_ZERO = "a number above 0";

    private final Map<String, String> values = new HashMap<>();

    private PolicySettingsParser(String lines) {
        for (String line : lines.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    /**
     * Reads path=value lines.
     *
     * @throws ConfigException if a required value is missing, can't be read or is out of its range
     */
    public static PolicySettings parse(String lines) {
        return new PolicySettingsParser(lines).settings();
    }

    private PolicySettings settings() {
        String fields = values.getOrDefault("report.fields", "");
        return new PolicySettingsBuilder()
                .classes(classes())
                .tenants(tenants())
                .rank((int) number("rank", -1))
                .replicas((int) atLeast(1, FROM_ONE, "replicasOfMe", 1))
                .zone((int) number("zone", 0))
                .clockGranularityNanos((long) notNegative("quantum", 0))
                .discoveryMode(choice(DISCOVERY_WORDS, "discovery", DiscoveryMode.PUSHED))
                .weightKind(choice(WEIGHTS_WORDS, "weights", WeightKind.SILENT))
                .capabilities(capabilities())
                .safetyLimits(safetyLimits())
                .loadReportFields(fields.isEmpty() ? List.of() : List.of(fields.split(",")))
                .weightedByWork("work".equals(values.get("valueBy")))
                .overQuotaWeight(number("overShareWorth", 1))
                .build();
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        int count = (int) requiredNumber("profiles.count");
        if (count < 1) {
            throw ConfigException.notAllowed("profiles.count", count, FROM_ONE);
        }
        for (int i = 0; i < count; i++) {
            classes.add(requestClass("profiles." + i + "."));
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = (int) number("parties.count", 0);
        for (int i = 0; i < count; i++) {
            String path = "parties." + i + ".";
            tenants.add(
                    new Tenant(
                            notNegative(path + "portion", 0), notNegative(path + "quotaRps", 0)));
        }
        return tenants;
    }

    private RequestClass requestClass(String path) {
        Idempotency idempotency = requiredChoice(SEMANTICS_WORDS, path + "semantics");
        long deadlineNanos = (long) requiredNumber(path + "deadline");
        // A response after the deadline has no value, so a later latency objective is cut to the
        // deadline. If it were rejected, no sidecar of a site with short deadlines would start.
        long objectiveNanos = Math.min((long) requiredNumber(path + "slo"), deadlineNanos);
        if (objectiveNanos <= 0) {
            String key = path + (deadlineNanos <= 0 ? "deadline" : "slo");
            throw ConfigException.notAllowed(key, objectiveNanos, ABOVE_ZERO);
        }
        // Read only for classes with an idempotency key. For other classes these settings have no
        // meaning, so an invalid value must not make the start fail.
        boolean keyed = idempotency == Idempotency.IDEMPOTENT_BY_KEY;
        DeduplicationScope scope =
                keyed
                        ? choice(SCOPE_WORDS, path + "keyScope", DeduplicationScope.CELL)
                        : DeduplicationScope.CELL;
        long keyTtlNanos = keyed ? (long) notNegative(path + "keyTtl", 0) : 0;
        return new RequestClass(
                objectiveNanos,
                number(path + "aimStretch", 0),
                deadlineNanos,
                notNegative(path + "worth", 1),
                number(path + "lateShare", 0),
                idempotency,
                scope,
                keyTtlNanos,
                flag(path + "stream"));
    }

    private Capabilities capabilities() {
        return new Capabilities(
                flag("caps.mayCancel"),
                flag("caps.mayProbe"),
                flag("caps.peers"),
                flag("caps.parallelTries"),
                flag("caps.retryAfter"),
                (int) atLeast(1, FROM_ONE, "caps.tryLimit", 1),
                (long) notNegative("caps.maxRetryAfter", 0),
                (long) notNegative("caps.connectTimeout", 0));
    }

    private SafetyLimits safetyLimits() {
        return new SafetyLimits(
                requiredNanos("rules.answerSlack"),
                (long) notNegative("rules.askWithin", 0),
                requiredNanos("rules.stopSendingWithin"),
                slowStartMinFraction(),
                requiredNanos("rules.rampTime"),
                overloadFactor(),
                requiredNanos("rules.tipAfter"));
    }

    private double slowStartMinFraction() {
        String key = "rules.coldShare";
        double fraction = requiredNumber(key);
        if (fraction <= 0 || fraction > 1) {
            throw ConfigException.notAllowed(
                    key, values.get(key), "a number above 0 and at most 1");
        }
        return fraction;
    }

    private double overloadFactor() {
        requiredNumber("rules.overloadFactor");
        return atLeast(1, FROM_ONE, "rules.overloadFactor", 1);
    }

    private long requiredNanos(String key) {
        requiredNumber(key);
        return (long) notNegative(key, 0);
    }

    private double notNegative(String key, double defaultValue) {
        return atLeast(0, NOT_NEGATIVE, key, defaultValue);
    }

    private double atLeast(double min, String allowed, String key, double defaultValue) {
        double value = number(key, defaultValue);
        if (value < min) {
            throw ConfigException.notAllowed(key, values.get(key), allowed);
        }
        return value;
    }

    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    private double requiredNumber(String key) {
        if (!values.containsKey(key)) {
            throw ConfigException.missing(key, NUMBER_FORM);
        }
        return number(key, 0);
    }

    private double number(String key, double defaultValue) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw ConfigException.notAllowed(key, text, NUMBER_FORM, e);
        }
        throw ConfigException.notAllowed(key, text, NUMBER_FORM);
    }

    private <E> E requiredChoice(Map<String, E> words, String key) {
        if (!values.containsKey(key)) {
            throw ConfigException.missing(key, oneOf(words));
        }
        return choice(words, key, null);
    }

    private <E> E choice(Map<String, E> words, String key, E defaultValue) {
        String text = values.get(key);
        if (text == null) {
            return defaultValue;
        }
        E value = words.get(text.toUpperCase(Locale.ROOT));
        if (value == null) {
            throw ConfigException.notAllowed(key, text, oneOf(words));
        }
        return value;
    }

    /** Lists the allowed words, sorted because {@link Map#of} has no defined order. */
    private static String oneOf(Map<String, ?> words) {
        return "one of "
                + String.join(
                        ", ",
                        words.keySet().stream()
                                .map(word -> word.toLowerCase(Locale.ROOT))
                                .sorted()
                                .toList());
    }
}
