package appleridge.config;

import appleridge.loadbalancing.Capabilities;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.SafetyLimits;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * What a sidecar is told at its start, validated.
 *
 * @param seed for the module's random numbers; new with each start
 * @param maxDescriptors file descriptors that the process may hold
 * @param cachedEndpoints the list of upstreams as last had, in discovery's form; may be null
 * @param settings as the module gets them: a pushed list is one to subscribe to, and no peer is
 *     told
 * @param pushed discovery is an agent on this machine, and what it has counts as told at once
 * @param requestClassNames names of the request classes, as clients send them
 * @param tenantNames names of the tenants, as clients send them
 * @param upstreamIdleTimeoutNanos nanoseconds after which an upstream closes an idle connection
 * @param maxOpenRequests requests that may be open at once
 * @param adminAddress where operators call; null for nowhere
 */
public record SidecarConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress registryAddress,
        long seed,
        int maxDescriptors,
        JsonNode cachedEndpoints,
        PolicySettings settings,
        boolean pushed,
        List<String> requestClassNames,
        List<String> tenantNames,
        List<String> zones,
        List<String> kinds,
        long upstreamIdleTimeoutNanos,
        int maxOpenRequests,
        InetSocketAddress adminAddress) {
    private static final int LEAST_SOCKETS = 64;

    /**
     * Nanoseconds within which an agent is asked again. Danger: it says nothing of being back, and
     * what it has then counts as told, while a drain may have to be heeded in a quarter of a
     * second. Asking costs nothing.
     */
    private static final long AGENT_ASKED_WITHIN = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Reads a configuration file's text; what is missing or senseless is told by an exception's
     * message.
     */
    public static SidecarConfig parse(byte[] text) throws IOException {
        return parse(new ObjectMapper().readTree(text));
    }

    /** The same from what was read already. */
    public static SidecarConfig parse(JsonNode root) {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new IllegalArgumentException("settings missing");
        }
        StringBuilder lines = new StringBuilder();
        flatten("", settings, lines);
        int sockets = root.path("limits").path("sockets").asInt(1024);
        if (sockets < LEAST_SOCKETS) {
            throw new IllegalArgumentException("limits.sockets makes no sense: " + sockets);
        }
        JsonNode caps = settings.path("caps");
        long connIdle = caps.path("connIdle").asLong(0);
        int maxOpen = caps.path("maxOpen").asInt(Integer.MAX_VALUE);
        if (connIdle <= 0 || maxOpen <= 0) {
            throw new IllegalArgumentException("caps.connIdle or caps.maxOpen makes no sense");
        }
        PolicySettings told = PolicySettingsParser.parse(lines.toString());
        boolean pushed = told.discoveryMode() == DiscoveryMode.PUSHED;
        PolicySettings parsed = hosted(told, pushed);
        if (parsed.classes().stream().anyMatch(RequestClass::streaming)) {
            throw new IllegalArgumentException("streamed classes are not supported");
        }
        // Danger: without them a watch would last no time, and a connect would be given up as it
        // begins.
        if (parsed.safetyLimits().pollIntervalNanos() <= 0
                || parsed.capabilities().connectTimeoutNanos() <= 0) {
            throw new IllegalArgumentException(
                    "rules.askWithin or caps.connectTimeout makes no sense");
        }
        return new SidecarConfig(
                text(root, "name"),
                address(text(root, "listen")),
                address(text(root, "discovery")),
                seed(text(root, "seed")),
                sockets,
                root.get("known"),
                parsed,
                pushed,
                names(settings.path("profiles")),
                names(settings.path("parties")),
                strings(settings.path("zones")),
                strings(settings.path("kinds")),
                connIdle,
                maxOpen,
                root.path("admin").asText("").isEmpty()
                        ? null
                        : address(root.path("admin").asText()));
    }

    /**
     * The settings of a module in a sidecar with sockets: a pushed list has to be asked of the
     * agent by a watch, as any other is; and this sidecar sends its peers nothing, which is allowed
     * and not demanded.
     */
    private static PolicySettings hosted(PolicySettings told, boolean pushed) {
        Capabilities may = told.capabilities();
        SafetyLimits rules = told.safetyLimits();
        return new PolicySettings(
                told.rank(),
                told.replicas(),
                told.zone(),
                told.clockGranularityNanos(),
                DiscoveryMode.SUBSCRIBED,
                told.weightKind(),
                told.classes(),
                told.tenants(),
                new Capabilities(
                        may.cancellation(),
                        may.healthChecks(),
                        false,
                        may.hedging(),
                        may.retryAfter(),
                        may.maxAttempts(),
                        may.maxRetryAfterNanos(),
                        may.connectTimeoutNanos()),
                pushed
                        ? new SafetyLimits(
                                rules.answerSlackNanos(),
                                AGENT_ASKED_WITHIN,
                                rules.drainGraceNanos(),
                                rules.slowStartMinFraction(),
                                rules.slowStartWindowNanos(),
                                rules.overloadFactor(),
                                rules.overloadWindowNanos())
                        : rules,
                told.loadReportFields(),
                told.weightedByWork(),
                told.overQuotaWeight());
    }

    /** The same with operators calling elsewhere. */
    public SidecarConfig withAdmin(InetSocketAddress other) {
        return new SidecarConfig(
                name,
                listenAddress,
                registryAddress,
                seed,
                maxDescriptors,
                cachedEndpoints,
                settings,
                pushed,
                requestClassNames,
                tenantNames,
                zones,
                kinds,
                upstreamIdleTimeoutNanos,
                maxOpenRequests,
                other);
    }

    /** The same with clients connecting elsewhere. */
    public SidecarConfig listeningAt(InetSocketAddress other) {
        return new SidecarConfig(
                name,
                other,
                registryAddress,
                seed,
                maxDescriptors,
                cachedEndpoints,
                settings,
                pushed,
                requestClassNames,
                tenantNames,
                zones,
                kinds,
                upstreamIdleTimeoutNanos,
                maxOpenRequests,
                adminAddress);
    }

    /** What differs in another configuration and can't be taken over while the sidecar runs. */
    public List<String> fixedParts(SidecarConfig other) {
        Map<String, Boolean> same = new LinkedHashMap<>();
        same.put("name", name.equals(other.name));
        same.put("listen", listenAddress.equals(other.listenAddress));
        same.put("admin", Objects.equals(adminAddress, other.adminAddress));
        same.put("limits", maxDescriptors == other.maxDescriptors);
        same.put(
                "settings",
                settings.equals(other.settings)
                        && pushed == other.pushed
                        && requestClassNames.equals(other.requestClassNames)
                        && tenantNames.equals(other.tenantNames)
                        && zones.equals(other.zones)
                        && kinds.equals(other.kinds)
                        && upstreamIdleTimeoutNanos == other.upstreamIdleTimeoutNanos
                        && maxOpenRequests == other.maxOpenRequests);
        return same.keySet().stream().filter(part -> !same.get(part)).toList();
    }

    /** The address in {@code host:port}; always a literal, for there is no DNS here. */
    public static InetSocketAddress address(String text) {
        InetSocketAddress address = Addresses.literal(text);
        if (address == null) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        return address;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: " + text, e);
        }
    }

    private static String text(JsonNode root, String key) {
        String text = root.path(key).asText("");
        if (text.isEmpty()) {
            throw new IllegalArgumentException(key + " missing");
        }
        return text;
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.path("name").asText()));
        return List.copyOf(names);
    }

    private static List<String> strings(JsonNode list) {
        List<String> strings = new ArrayList<>();
        if (list.isTextual() && !list.asText().isEmpty()) {
            strings.add(list.asText());
        }
        list.forEach(item -> strings.add(item.asText()));
        return List.copyOf(strings);
    }

    /** The path=value lines that the simulator's first message would hold. */
    private static void flatten(String path, JsonNode node, StringBuilder lines) {
        if (node.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            node.properties()
                    .forEach(each -> flatten(prefix + each.getKey(), each.getValue(), lines));
        } else if (node.isArray() && node.path(0).isContainerNode()) {
            lines.append(path).append(".count=").append(node.size()).append('\n');
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), lines);
            }
        } else if (node.isArray()) {
            List<String> values = new ArrayList<>();
            node.forEach(item -> values.add(plain(item)));
            lines.append(path).append('=').append(String.join(",", values)).append('\n');
        } else {
            lines.append(path).append('=').append(plain(node)).append('\n');
        }
    }

    private static String plain(JsonNode value) {
        return value.asText().replaceAll("[\\s,]", "_");
    }
}
