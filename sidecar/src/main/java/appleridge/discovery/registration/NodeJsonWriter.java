package appleridge.discovery.registration;

import appleridge.config.Addresses;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Writes the JSON data of a server's node, which sidecars read by {@code NodeJsonParser}. */
final class NodeJsonWriter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private NodeJsonWriter() {}

    static byte[] write(RegisterArguments server, boolean terminating, long startedMillis) {
        ObjectNode node = JSON.createObjectNode();
        node.put("address", Addresses.format(server.address()));
        if (server.zone() != null) {
            node.put("zone", server.zone());
        }
        if (server.kind() != null) {
            node.put("kind", server.kind());
        }
        node.put("cell", server.cell())
                .put("weight", server.weight())
                .put("state", terminating ? "Terminating" : "Ready")
                .put("started", startedMillis);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the Unix time in milliseconds at which a node's server started; 0 if the data is
     * null, malformed or does not contain it.
     */
    static long startedMillis(byte[] data) {
        try {
            JsonNode node = data == null ? null : JSON.readTree(data);
            return node == null ? 0 : node.path("started").asLong(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
