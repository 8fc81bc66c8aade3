package appleridge.discovery.zookeeper;

import appleridge.config.Addresses;
import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.loadbalancing.HostState;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.apache.zookeeper.data.Stat;

/** Reads what a node holds. On any thread. */
public final class NodeJsonParser {
    private static final int LONGEST_ID = 253;

    /** The latest start in milliseconds that can be counted in nanoseconds. */
    private static final long LATEST = Long.MAX_VALUE / 1_000_000;

    private static final double MOST_WEIGHT = 1e6;

    private final ObjectMapper json = new ObjectMapper();
    private final List<String> zones;
    private final List<String> kinds;

    /** With the names of zones and kinds of machine, in the order of their numbers. */
    public NodeJsonParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** What a node says, or why that makes no sense. */
    NodeRead read(String name, byte[] data, Stat stat) {
        NodeData read = null;
        String problem = null;
        try {
            read = node(name, data);
        } catch (IOException e) {
            problem = "not JSON: " + String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        } catch (IllegalArgumentException e) {
            problem = e.getMessage();
        }
        return new NodeRead(read, problem, stat.getCtime(), stat.getMzxid(), stat.getCzxid());
    }

    /** A node whose data the ensemble didn't give. */
    static NodeRead unread(String problem, long mzxid) {
        return new NodeRead(null, problem, 0, mzxid, 0);
    }

    private NodeData node(String name, byte[] data) throws IOException {
        if (data == null || data.length == 0) {
            throw new IllegalArgumentException("empty");
        }
        if (data.length > ZooKeeperSettings.NODE_BYTES) {
            throw new IllegalArgumentException(
                    "larger than " + ZooKeeperSettings.NODE_BYTES + " bytes");
        }
        JsonNode node = json.readTree(data);
        if (!node.isObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        return new NodeData(
                address(node.path("address")),
                position(zones, node.path("zone"), "zone"),
                position(kinds, node.path("kind"), "kind"),
                (int) whole(node.path("cell"), "cell", Integer.MAX_VALUE),
                state(node.path("state")),
                weight(node.path("weight")),
                whole(node.path("started"), "started", LATEST),
                id(name, node.path("uid")));
    }

    private static InetSocketAddress address(JsonNode text) {
        Optional<InetSocketAddress> address =
                text.isTextual() ? Addresses.literal(text.textValue()) : Optional.empty();
        return address.orElseThrow(
                () -> new IllegalArgumentException("address is not like \"192.0.2.1:8080\""));
    }

    /** Where there is but one, a node needn't say it. */
    private static int position(List<String> names, JsonNode name, String what) {
        if (name.isMissingNode() && names.size() <= 1) {
            return 0;
        }
        int at = name.isTextual() ? names.indexOf(name.textValue()) : -1;
        if (at < 0 && !names.isEmpty()) {
            throw new IllegalArgumentException("unknown " + what);
        }
        return Math.max(0, at);
    }

    private static HostState state(JsonNode state) {
        return switch (state.isMissingNode() ? "Ready" : state.asText()) {
            case "Ready" -> HostState.READY;
            case "Terminating" -> HostState.DRAINING;
            default -> throw new IllegalArgumentException("unknown state");
        };
    }

    private static float weight(JsonNode weight) {
        if (weight.isMissingNode()) {
            return 1;
        }
        double value = weight.isNumber() ? weight.doubleValue() : -1;
        if (!(value > 0 && value <= MOST_WEIGHT)) {
            throw new IllegalArgumentException("weight is not a number above 0");
        }
        return (float) value;
    }

    private static long whole(JsonNode number, String what, long most) {
        if (number.isMissingNode()) {
            return 0;
        }
        if (!number.isIntegralNumber()
                || !number.canConvertToLong()
                || number.longValue() < 0
                || number.longValue() > most) {
            throw new IllegalArgumentException(what + " is not a whole number from 0 on");
        }
        return number.longValue();
    }

    private static String id(String name, JsonNode uid) {
        if (uid.isMissingNode()) {
            int slash = name.lastIndexOf('/');
            return slash < 0 ? null : name.substring(slash + 1);
        }
        if (!uid.isTextual()
                || uid.textValue().isEmpty()
                || uid.textValue().length() > LONGEST_ID) {
            throw new IllegalArgumentException(
                    "uid is not a text of 1 to " + LONGEST_ID + " characters");
        }
        return uid.textValue();
    }
}
