package appleridge.testbed.demo;

import appleridge.testbed.standin.ColdStart;
import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.RequestKind;
import appleridge.testbed.standin.TenantShare;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Builds the configuration of a sidecar as the platform writes it. */
public final class SidecarSettings {
    /**
     * Requests per second that all tenants together may send before further ones are worth less:
     * most of the capacity of six servers.
     */
    private static final double TOTAL_QUOTA_RPS = 250;

    private final ObjectMapper json = new ObjectMapper();
    private final List<String> zones;
    private final long seed;

    /** Uses these zones, the first of which is the sidecar's, and the seed of the sidecar. */
    public SidecarSettings(List<String> zones, long seed) {
        this.zones = zones;
        this.seed = seed;
    }

    /** Returns the configuration for a port, an address of discovery and a known endpoint list. */
    public ObjectNode configuration(int port, String discovery, JsonNode known) {
        ObjectNode root = json.createObjectNode();
        root.put("name", "n0")
                .put("listen", "127.0.0.1:" + port)
                .put("discovery", discovery)
                .put("seed", Long.toHexString(seed));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        root.set("known", known);
        root.set("settings", settings());
        return root;
    }

    private ObjectNode settings() {
        ObjectNode settings = json.createObjectNode();
        ArrayNode profiles = settings.putArray("profiles");
        for (RequestKind kind : RequestKind.ALL) {
            ObjectNode profile =
                    profiles.addObject()
                            .put("name", kind.name())
                            .put("slo", kind.aim())
                            .put("deadline", kind.patience())
                            .put("worth", kind.worth());
            switch (kind.repeats()) {
                case SAFE -> profile.put("semantics", "repeatable");
                case KEYED_BY_ZONE -> keyed(profile, "zone", kind);
                case KEYED_BY_ALL -> keyed(profile, "all", kind);
                case UNSAFE -> profile.put("semantics", "once");
                default -> throw new IllegalStateException("unknown semantics: " + kind.repeats());
            }
        }
        ArrayNode parties = settings.putArray("parties");
        for (TenantShare tenant : TenantShare.ALL) {
            parties.addObject()
                    .put("name", tenant.name())
                    .put("portion", tenant.share())
                    .put("quotaRps", TOTAL_QUOTA_RPS * tenant.share());
        }
        ArrayNode names = settings.putArray("zones");
        zones.forEach(names::add);
        settings.putArray("kinds").add(LoopbackRegistry.MODEL);
        settings.put("rank", 0)
                .put("replicasOfMe", 1)
                .put("zone", 0)
                .put("quantum", millis(5))
                .put("discovery", "subscribe")
                .put("overShareWorth", 0.1);
        ObjectNode report = settings.putObject("report").put("how", "piggyback");
        report.putArray("fields").add("qps").add("latency_ms").add("eps").add("queue");
        settings.putObject("caps")
                .put("mayCancel", true)
                .put("tryLimit", 6)
                .put("connIdle", millis(10_000))
                .put("connectTimeout", millis(100))
                .put("maxOpen", 2000)
                .put("maxRetryAfter", millis(750))
                .put("retryAfter", true);
        ColdStart.Figures cold = ColdStart.Figures.USUAL;
        settings.putObject("rules")
                .put("answerSlack", millis(20))
                .put("askWithin", millis(10_000))
                .put("stopSendingWithin", millis(2000))
                .put("coldShare", cold.coldShare())
                .put("rampTime", cold.ramp())
                .put("overloadFactor", cold.factor())
                .put("tipAfter", cold.tipAfter());
        return settings;
    }

    private static void keyed(ObjectNode profile, String scope, RequestKind kind) {
        profile.put("semantics", "by_key").put("keyScope", scope).put("keyTtl", kind.window());
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }
}
