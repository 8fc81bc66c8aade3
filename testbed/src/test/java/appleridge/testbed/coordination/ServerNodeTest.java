package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ServerNodeTest {
    private static ServerNode roundTrip(ServerNode node) {
        return ServerNode.read(new String(node.bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void readsWhatItWrites() {
        ServerNode node = new ServerNode("127.0.0.1:80", "ebene", true, 5);
        assertEquals(node, roundTrip(node));
        assertFalse(roundTrip(node.terminating()).ready());
    }

    @Test
    void invalidDataIsReadAsNull() {
        assertNull(ServerNode.read("{"));
        assertNull(ServerNode.read("{}"));
        assertNull(ServerNode.read(""));
    }
}
