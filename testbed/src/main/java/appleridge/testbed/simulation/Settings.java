package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import appleridge.loadbalancing.Idempotency;
import java.net.InetSocketAddress;

/** The configuration file of a sidecar, as JSON text. */
public final class Settings {
    /** A tenant's quota as a multiple of its expected rate. */
    private static final double QUOTA_FACTOR = 1.5;

    private static final String OVER_QUOTA_WORTH = "0.1";

    private Settings() {}

    /**
     * Formats the configuration of one process.
     *
     * @param known the endpoint list at its start as JSON; the text {@code null} for none
     */
    static String json(
            Plan plan,
            String name,
            int rank,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            String known) {
        StringBuilder text = new StringBuilder(4096);
        text.append("{\"name\":\"")
                .append(name)
                .append("\",\"listen\":\"")
                .append(Site.text(listen))
                .append("\",\"discovery\":\"")
                .append(Site.text(discovery))
                .append("\",\"seed\":\"")
                .append(Long.toHexString(seed))
                .append("\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":")
                .append(plan.size(ScenarioParameter.SOCKETS))
                .append("},\"known\":")
                .append(known)
                .append(",\"settings\":{");
        appendClasses(text, plan);
        appendTenants(text, plan);
        text.append("\"zones\":[");
        for (int i = 0; i < Site.ZONES.size(); i++) {
            text.append(i == 0 ? "\"" : ",\"").append(Site.ZONES.get(i)).append('"');
        }
        text.append("],\"kinds\":[\"")
                .append(Site.SERVER_KIND)
                .append("\"],\"rank\":")
                .append(rank)
                .append(",\"replicasOfMe\":")
                .append(plan.size(ScenarioParameter.SIDECARS))
                .append(",\"zone\":")
                .append(rank % Site.ZONES.size())
                .append(",\"quantum\":")
                .append(5 * Site.MS)
                .append(",\"discovery\":\"")
                .append(listsPushed(plan) ? "automatic" : "subscribe")
                .append("\",\"overShareWorth\":")
                .append(OVER_QUOTA_WORTH)
                .append(",\"report\":{\"how\":\"piggyback\",\"fields\":[");
        for (int i = 0; i < Site.LOAD_REPORT_FIELDS.size(); i++) {
            text.append(i == 0 ? "\"" : ",\"").append(Site.LOAD_REPORT_FIELDS.get(i)).append('"');
        }
        text.append("]},");
        appendCapabilities(text, plan);
        appendRules(text, plan);
        return text.append("}}").toString();
    }

    private static boolean listsPushed(Plan plan) {
        return plan.size(ScenarioParameter.LISTS_PUSHED) > 0;
    }

    private static void appendClasses(StringBuilder text, Plan plan) {
        text.append("\"profiles\":[");
        for (int i = 0; i < RequestClasses.ALL.size(); i++) {
            RequestClasses.Definition kind = RequestClasses.of(i);
            text.append(i == 0 ? "{" : ",{")
                    .append("\"name\":\"")
                    .append(kind.name())
                    .append("\",\"slo\":")
                    .append(kind.latencyObjective())
                    .append(",\"deadline\":")
                    .append(plan.deadline(kind))
                    .append(",\"worth\":")
                    .append(kind.worth())
                    .append(",\"semantics\":\"")
                    .append(word(kind.semantics()))
                    .append('"');
            if (kind.semantics() == Idempotency.IDEMPOTENT_BY_KEY) {
                text.append(",\"keyScope\":\"")
                        .append(word(kind.scope()))
                        .append("\",\"keyTtl\":")
                        .append(plan.window(kind));
            }
            text.append('}');
        }
        text.append("],");
    }

    private static void appendTenants(StringBuilder text, Plan plan) {
        text.append("\"parties\":[");
        for (int i = 0; i < Tenants.ALL.size(); i++) {
            Tenants.Tenant tenant = Tenants.ALL.get(i);
            text.append(i == 0 ? "{" : ",{")
                    .append("\"name\":\"")
                    .append(tenant.name())
                    .append("\",\"portion\":")
                    .append(tenant.share())
                    .append(",\"quotaRps\":")
                    .append(tenant.share() * QUOTA_FACTOR * plan.part(ScenarioParameter.RATE))
                    .append('}');
        }
        text.append("],");
    }

    private static String word(Idempotency semantics) {
        return switch (semantics) {
            case IDEMPOTENT -> "repeatable";
            case IDEMPOTENT_BY_KEY -> "by_key";
            case NON_IDEMPOTENT -> "once";
        };
    }

    private static String word(DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> "all";
            case ZONE -> "zone";
            case CELL -> "cell";
        };
    }

    private static void appendCapabilities(StringBuilder text, Plan plan) {
        long retryAfter = plan.size(ScenarioParameter.RETRY_AFTER);
        text.append("\"caps\":{\"mayCancel\":")
                .append(plan.size(ScenarioParameter.MAY_CANCEL) > 0)
                .append(",\"mayProbe\":false,\"peers\":false,")
                .append("\"parallelTries\":false,\"tryLimit\":6,\"connIdle\":")
                .append(plan.size(ScenarioParameter.CONN_IDLE))
                .append(",\"connectTimeout\":")
                .append(plan.size(ScenarioParameter.CONNECT_TIMEOUT))
                .append(",\"maxOpen\":")
                .append(plan.size(ScenarioParameter.MAX_OPEN))
                .append(",\"maxRetryAfter\":")
                .append(retryAfter)
                .append(",\"retryAfter\":")
                .append(retryAfter > 0)
                .append("},");
    }

    private static void appendRules(StringBuilder text, Plan plan) {
        text.append("\"rules\":{\"answerSlack\":").append(Site.ANSWER_SLACK);
        if (!listsPushed(plan)) {
            text.append(",\"askWithin\":").append(plan.size(ScenarioParameter.ASK_WITHIN));
        }
        text.append(",\"stopSendingWithin\":")
                .append(plan.size(ScenarioParameter.DRAIN_GRACE))
                .append(",\"coldShare\":")
                .append(Site.COLD_SHARE)
                .append(",\"rampTime\":")
                .append(Site.RAMP_TIME)
                .append(",\"overloadFactor\":")
                .append(Site.OVERLOAD_FACTOR)
                .append(",\"tipAfter\":")
                .append(Site.COLLAPSE_AFTER)
                .append('}');
    }
}
