package appleridge.testbed.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * The data of an order server's node, stored as JSON.
 *
 * @param started the start of the process in Unix milliseconds, 0 if the node does not state it
 */
record ServerNode(String address, String zone, boolean ready, long started) {
    private static final ObjectMapper JSON = new ObjectMapper();

    ServerNode terminating() {
        return new ServerNode(address, zone, false, started);
    }

    byte[] bytes() {
        return JSON.createObjectNode()
                .put("address", address)
                .put("zone", zone)
                .put("state", ready ? "Ready" : "Terminating")
                .put("started", started)
                .put("weight", 1.0)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Parses a node's data; returns null if it is not valid JSON or has no address. */
    static ServerNode read(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node.path("address").asText().isEmpty()
                    ? null
                    : new ServerNode(
                            node.path("address").asText(),
                            node.path("zone").asText(),
                            node.path("state").asText().equals("Ready"),
                            node.path("started").asLong());
        } catch (IOException e) {
            return null;
        }
    }
}
