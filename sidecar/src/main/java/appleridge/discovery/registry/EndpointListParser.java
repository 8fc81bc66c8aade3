package appleridge.discovery.registry;

import appleridge.config.SidecarConfig;
import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's lists. */
public final class EndpointListParser {
    /** A list, whole or of changes alone, with its version. */
    record Update(long revision, UpdateKind kind, List<DiscoveredEndpoint> members) {}

    private final List<String> zones;
    private final List<String> kinds;

    /** With the names of zones and kinds of machine, in the order of their numbers. */
    public EndpointListParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** A list in discovery's form; one that can't be read as a whole throws. */
    Update read(JsonNode list) {
        JsonNode revision = list.path("rev");
        JsonNode all = list.path("all");
        JsonNode targets = list.path("targets");
        if (!revision.isIntegralNumber() || !all.isBoolean() || !targets.isArray()) {
            throw new IllegalArgumentException("not a list: rev, all or targets missing");
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
            throw new IllegalArgumentException("target without uid");
        }
        HostState state =
                switch (target.path("state").asText()) {
                    case "Ready" -> HostState.READY;
                    case "Terminating" -> HostState.DRAINING;
                    case "Gone" -> HostState.GONE;
                    default -> throw new IllegalArgumentException("unknown state of " + uid);
                };
        long boot = target.path("boot_ms").asLong(0);
        if (boot < 0) {
            throw new IllegalArgumentException("senseless boot_ms of " + uid);
        }
        return new DiscoveredEndpoint(
                uid,
                SidecarConfig.literalAddress(target.path("endpoint").asText()),
                position(zones, target.path("az"), uid),
                position(kinds, target.path("model"), uid),
                target.path("pod_group").asInt(0),
                state,
                (float) target.path("capacity_hint").asDouble(1),
                boot);
    }

    private static int position(List<String> names, JsonNode name, String uid) {
        int at = names.indexOf(name.asText());
        if (at < 0 && !names.isEmpty()) {
            throw new IllegalArgumentException(
                    "unknown zone or kind " + name.asText() + " of " + uid);
        }
        return Math.max(0, at);
    }
}
