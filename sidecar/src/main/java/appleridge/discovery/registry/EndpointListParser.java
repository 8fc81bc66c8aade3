package appleridge.discovery.registry;

import appleridge.config.SidecarConfig;
import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Parses the registry's endpoint lists. */
public final class EndpointListParser {
    private static final int MAX_QUOTED_LENGTH = 100;

    /** A parsed list: a snapshot or a delta, with its revision. */
    record Update(long revision, UpdateKind kind, List<DiscoveredEndpoint> members) {}

    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a parser.
     *
     * @param zones the configured zone names; an endpoint's zone is its position among them
     * @param kinds the configured machine types, likewise
     */
    public EndpointListParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Parses a list.
     *
     * @throws IllegalArgumentException if any part of the list is not valid
     */
    Update read(JsonNode list) {
        JsonNode revision = list.path("rev");
        JsonNode all = list.path("all");
        JsonNode targets = list.path("targets");
        if (!revision.isIntegralNumber() || !all.isBoolean() || !targets.isArray()) {
            throw new IllegalArgumentException(
                    "not an endpoint list: rev, all or targets is missing or of the wrong type");
        }
        List<DiscoveredEndpoint> members = new ArrayList<>();
        targets.forEach(target -> members.add(member(target)));
        return new Update(
                revision.asLong(),
                all.asBoolean() ? UpdateKind.SNAPSHOT : UpdateKind.DELTA,
                members);
    }

    private DiscoveredEndpoint member(JsonNode target) {
        String uid = target.path("uid").asText("");
        if (uid.isEmpty()) {
            throw new IllegalArgumentException("a target has no uid");
        }
        HostState state =
                switch (target.path("state").asText()) {
                    case "Ready" -> HostState.READY;
                    case "Terminating" -> HostState.DRAINING;
                    case "Gone" -> HostState.GONE;
                    default ->
                            throw new IllegalArgumentException(
                                    "unknown state \""
                                            + abbreviated(target.path("state").asText())
                                            + "\" of "
                                            + abbreviated(uid));
                };
        long bootMillis = target.path("boot_ms").asLong(0);
        if (bootMillis < 0) {
            throw new IllegalArgumentException(
                    "boot_ms " + bootMillis + " of " + abbreviated(uid) + " is negative");
        }
        return new DiscoveredEndpoint(
                uid,
                SidecarConfig.literalAddress(target.path("endpoint").asText()),
                position(zones, target.path("az"), uid),
                position(kinds, target.path("model"), uid),
                target.path("pod_group").asInt(0),
                state,
                (float) target.path("capacity_hint").asDouble(1),
                bootMillis);
    }

    private static int position(List<String> names, JsonNode name, String uid) {
        int at = names.indexOf(name.asText());
        if (at < 0 && !names.isEmpty()) {
            throw new IllegalArgumentException(
                    "unknown zone or kind \""
                            + abbreviated(name.asText())
                            + "\" of "
                            + abbreviated(uid));
        }
        return Math.max(0, at);
    }

    /** Cuts a text off that is quoted in a message, because its length has no other bound. */
    private static String abbreviated(String text) {
        return text.length() <= MAX_QUOTED_LENGTH
                ? text
                : text.substring(0, MAX_QUOTED_LENGTH) + "...";
    }
}
