package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ServerNodeTest {
    private static ServerNode again(ServerNode node) {
        return ServerNode.read(new String(node.bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void whatIsWrittenIsRead() {
        ServerNode node = new ServerNode("127.0.0.1:80", "ebene", true, 5);
        assertEquals(node, again(node));
        assertFalse(again(node.terminating()).ready());
    }

    @Test
    void whatIsNoNodeIsNone() {
        assertNull(ServerNode.read("{"));
        assertNull(ServerNode.read("{}"));
        assertNull(ServerNode.read(""));
    }
}
