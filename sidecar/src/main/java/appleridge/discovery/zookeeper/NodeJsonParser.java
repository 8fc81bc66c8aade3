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

/** Parses the JSON data of servers' nodes. Thread-safe. */
public final class NodeJsonParser {
    private static final int MAX_ID_CHARS = 253;

    /** The latest start in milliseconds that can be converted to nanoseconds. */
    private static final long MAX_START_MILLIS = Long.MAX_VALUE / 1_000_000;

    private static final double MAX_WEIGHT = 1e6;

    private final ObjectMapper json = new ObjectMapper();
    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a parser.
     *
     * @param zones the configured zone names; a server's zone is its position among them
     * @param kinds the configured machine types, likewise
     */
    public NodeJsonParser(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Returns a node's parsed data, or why they are not valid. */
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

    /** Returns the result for a node whose data the ensemble did not return. */
    static NodeRead unread(String problem, long mzxid) {
        return new NodeRead(null, problem, 0, mzxid, 0);
    }

    private NodeData node(String name, byte[] data) throws IOException {
        if (data == null || data.length == 0) {
            throw new IllegalArgumentException("empty");
        }
        if (data.length > ZooKeeperSettings.MAX_NODE_BYTES) {
            throw new IllegalArgumentException(
                    "larger than " + ZooKeeperSettings.MAX_NODE_BYTES + " bytes");
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
                whole(node.path("started"), "started", MAX_START_MILLIS),
                id(name, node.path("uid")));
    }

    private static InetSocketAddress address(JsonNode text) {
        Optional<InetSocketAddress> address =
                text.isTextual() ? Addresses.parse(text.textValue()) : Optional.empty();
        return address.orElseThrow(
                () -> new IllegalArgumentException("address is not like \"192.0.2.1:8080\""));
    }

    /** Returns the position of a name, which may be omitted if only one is configured. */
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
        if (!(value > 0 && value <= MAX_WEIGHT)) {
            throw new IllegalArgumentException("weight is not a number above 0");
        }
        return (float) value;
    }

    private static long whole(JsonNode number, String what, long max) {
        if (number.isMissingNode()) {
            return 0;
        }
        if (!number.isIntegralNumber()
                || !number.canConvertToLong()
                || number.longValue() < 0
                || number.longValue() > max) {
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
                || uid.textValue().length() > MAX_ID_CHARS) {
            throw new IllegalArgumentException(
                    "uid is not a text of 1 to " + MAX_ID_CHARS + " characters");
        }
        return uid.textValue();
    }
}
