package appleridge.config;

import appleridge.loadbalancing.Capabilities;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.SafetyLimits;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Parses the platform's configuration file (JSON) into a {@link SidecarConfig}. The file's keys and
 * the terms they map to:
 *
 * <table>
 * <caption>Keys outside of {@link PolicySettingsParser}'s</caption>
 * <tr><th>key<th>term
 * <tr><td>{@code name}<td>{@link SidecarConfig#name}
 * <tr><td>{@code listen}, {@code discovery}, {@code admin}<td>{@link SidecarAddresses}
 * <tr><td>{@code seed}<td>{@link SidecarConfig#seed}, 64 bits in hexadecimal digits
 * <tr><td>{@code limits.sockets}<td>{@link ConnectionLimits#maxDescriptors}
 * <tr><td>{@code known}<td>{@link SidecarConfig#cachedEndpoints}
 * <tr><td>{@code settings.caps.connIdle}<td>{@link ConnectionLimits#upstreamIdleTimeoutNanos}
 * <tr><td>{@code settings.caps.maxOpen}<td>{@link ConnectionLimits#maxOpenRequests}
 * <tr><td>{@code settings.profiles}, {@code parties}, {@code zones}, {@code kinds}<td>{@link
 *     Catalog}
 * </table>
 *
 * <p>All of {@code settings} is also passed to {@link PolicySettingsParser}, as path=value lines.
 */
final class SidecarConfigParser {
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int MIN_DESCRIPTORS = 64;
    private static final String ADDRESS_FORM = "a literal IP address and a port, like 192.0.2.1:80";
    private static final String DURATION_FORM = "a whole number of nanoseconds greater than 0";

    /**
     * Poll interval of a local agent, in nanoseconds. An agent that restarts does not announce
     * itself, but its list counts as notified from then on. The interval must therefore stay well
     * below 250 ms, within which a drain may have to take effect. Polling an agent on the same
     * machine costs little.
     */
    private static final long AGENT_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final JsonNode root;
    private final JsonNode settings;

    SidecarConfigParser(JsonNode root) {
        this.root = root;
        this.settings = root.path("settings");
    }

    /** See {@link SidecarConfig#parse(JsonNode)}. */
    SidecarConfig parse() {
        if (!settings.isObject()) {
            throw ConfigException.missing("settings", "an object");
        }
        ConnectionLimits limits = limits();
        PolicySettings given = PolicySettingsParser.parse(SettingLines.of(settings));
        boolean pushed = given.discoveryMode() == DiscoveryMode.PUSHED;
        PolicySettings adapted = adaptToSockets(given, pushed);
        rejectUnsupported(adapted);
        String name = text("name");
        InetSocketAddress listen = address("listen", text("listen"));
        InetSocketAddress registry = address("discovery", text("discovery"));
        long seed = seed(text("seed"));
        return new SidecarConfig(
                name,
                new SidecarAddresses(listen, registry, adminAddress()),
                seed,
                limits,
                Optional.ofNullable(root.get("known")).filter(list -> !list.isNull()),
                adapted,
                pushed,
                catalog());
    }

    /**
     * Parses {@code address:port}.
     *
     * @throws ConfigException naming {@code key} if it is not a literal IP address
     */
    static InetSocketAddress address(String key, String text) {
        return Addresses.parse(text)
                .orElseThrow(() -> ConfigException.notAllowed(key, text, ADDRESS_FORM));
    }

    private ConnectionLimits limits() {
        int descriptors = root.path("limits").path("sockets").asInt(DEFAULT_DESCRIPTORS);
        if (descriptors < MIN_DESCRIPTORS) {
            throw ConfigException.notAllowed(
                    "limits.sockets", descriptors, "a whole number from " + MIN_DESCRIPTORS);
        }
        JsonNode caps = settings.path("caps");
        long idleTimeoutNanos = caps.path("connIdle").asLong(0);
        if (idleTimeoutNanos <= 0) {
            throw ConfigException.notAllowed("caps.connIdle", idleTimeoutNanos, DURATION_FORM);
        }
        int openRequests = caps.path("maxOpen").asInt(Integer.MAX_VALUE);
        if (openRequests <= 0) {
            throw ConfigException.notAllowed(
                    "caps.maxOpen", openRequests, "a whole number greater than 0");
        }
        return new ConnectionLimits(descriptors, openRequests, idleTimeoutNanos);
    }

    /**
     * Adapts the policy's settings to a sidecar with real sockets. A pushed list is subscribed to
     * like any other, because the local agent has to be polled for it. Gossip is off: the platform
     * permits it but doesn't require it, and this sidecar sends none.
     */
    private static PolicySettings adaptToSockets(PolicySettings given, boolean pushed) {
        PolicySettingsBuilder builder =
                new PolicySettingsBuilder(given)
                        .discoveryMode(DiscoveryMode.SUBSCRIBED)
                        .capabilities(withoutGossip(given.capabilities()));
        if (pushed) {
            builder.safetyLimits(withPollInterval(given.safetyLimits(), AGENT_POLL_INTERVAL_NANOS));
        }
        return builder.build();
    }

    private static Capabilities withoutGossip(Capabilities given) {
        return new Capabilities(
                given.cancellation(),
                given.healthChecks(),
                false,
                given.hedging(),
                given.retryAfter(),
                given.maxAttempts(),
                given.maxRetryAfterNanos(),
                given.connectTimeoutNanos());
    }

    private static SafetyLimits withPollInterval(SafetyLimits given, long pollIntervalNanos) {
        return new SafetyLimits(
                given.answerSlackNanos(),
                pollIntervalNanos,
                given.drainGraceNanos(),
                given.slowStartMinFraction(),
                given.slowStartWindowNanos(),
                given.overloadFactor(),
                given.overloadWindowNanos());
    }

    /**
     * Rejects settings that the policy accepts but a sidecar with real sockets can't support. With
     * a poll interval of 0 each watch would end at once, and with a connect time-out of 0 each
     * connection attempt would fail at once.
     */
    private static void rejectUnsupported(PolicySettings adapted) {
        List<RequestClass> classes = adapted.classes();
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).streaming()) {
                throw ConfigException.notAllowed(
                        "profiles." + i + ".stream",
                        true,
                        "false: streaming classes are not supported");
            }
        }
        long pollIntervalNanos = adapted.safetyLimits().pollIntervalNanos();
        if (pollIntervalNanos <= 0) {
            throw ConfigException.notAllowed("rules.askWithin", pollIntervalNanos, DURATION_FORM);
        }
        long connectTimeoutNanos = adapted.capabilities().connectTimeoutNanos();
        if (connectTimeoutNanos <= 0) {
            throw ConfigException.notAllowed(
                    "caps.connectTimeout", connectTimeoutNanos, DURATION_FORM);
        }
    }

    private Optional<InetSocketAddress> adminAddress() {
        String text = root.path("admin").asText("");
        return text.isEmpty() ? Optional.empty() : Optional.of(address("admin", text));
    }

    private Catalog catalog() {
        return new Catalog(
                names(settings.path("profiles")),
                names(settings.path("parties")),
                strings(settings.path("zones")),
                strings(settings.path("kinds")));
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw ConfigException.notAllowed("seed", text, "up to 16 hexadecimal digits", e);
        }
    }

    private String text(String key) {
        String text = root.path(key).asText("");
        if (text.isEmpty()) {
            throw ConfigException.missing(key, "a non-empty string");
        }
        return text;
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.path("name").asText()));
        return names;
    }

    /** The strings of a list; a single string counts as a list of one. */
    private static List<String> strings(JsonNode list) {
        List<String> strings = new ArrayList<>();
        if (list.isTextual() && !list.asText().isEmpty()) {
            strings.add(list.asText());
        }
        list.forEach(item -> strings.add(item.asText()));
        return strings;
    }
}
