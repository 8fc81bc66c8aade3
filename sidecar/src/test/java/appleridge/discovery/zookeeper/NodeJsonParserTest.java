package appleridge.discovery.zookeeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.loadbalancing.HostState;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.apache.zookeeper.data.Stat;
import org.junit.jupiter.api.Test;

/** What a node holds, and all that can be wrong with it. */
class NodeJsonParserTest {
    private static final InetSocketAddress AT = new InetSocketAddress("192.0.2.1", 80);
    private final NodeJsonParser json = new NodeJsonParser(List.of("a", "b"), List.of("m1"));

    private NodeRead read(String name, String text) {
        Stat stat = new Stat();
        stat.setCtime(5);
        stat.setMzxid(7);
        stat.setCzxid(6);
        return json.read(name, text == null ? null : text.getBytes(StandardCharsets.UTF_8), stat);
    }

    @Test
    void allFieldsAreReadAndUnknownOnesIgnored() {
        NodeRead read =
                read(
                        "s1",
                        "{\"address\":\"192.0.2.1:80\",\"zone\":\"b\",\"kind\":\"m1\",\"cell\":3,"
                            + "\"weight\":2.5,\"state\":\"Terminating\",\"started\":1700000000000,"
                            + "\"uid\":\"u\",\"x\":[1]}");
        assertEquals(
                new NodeRead(
                        new NodeData(
                                AT, 1, 0, 3, HostState.DRAINING, 2.5f, 1_700_000_000_000L, "u"),
                        null,
                        5,
                        7,
                        6),
                read);
    }

    /** Files that commit 4260e73 wrote with its registration. */
    @Test
    void storedNodesAreRead() throws IOException {
        assertEquals(
                new NodeData(AT, 1, 0, 2, HostState.READY, 1.5f, 1_700_000_000_000L, "s1"),
                read("x/s1", stored("node-full.json")).data());
        assertEquals(
                new NodeData(AT, 1, 0, 2, HostState.DRAINING, 1.5f, 1_700_000_000_000L, "s1"),
                read("x/s1", stored("node-terminating.json")).data());
        NodeJsonParser oneZone = new NodeJsonParser(List.of("a"), List.of());
        assertEquals(
                new NodeData(
                        new InetSocketAddress("2001:db8::1", 80),
                        0,
                        0,
                        0,
                        HostState.READY,
                        1,
                        7,
                        null),
                oneZone.read(
                                "s1",
                                stored("node-minimal.json").getBytes(StandardCharsets.UTF_8),
                                new Stat())
                        .data());
    }

    private static String stored(String name) throws IOException {
        try (InputStream in =
                NodeJsonParserTest.class.getResourceAsStream("/stored/4260e73/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void omittedFieldsHaveDefaults() {
        assertEquals(
                new NodeData(AT, 0, 0, 0, HostState.READY, 1, 0, null),
                read("s1", "{\"address\":\"192.0.2.1:80\",\"zone\":\"a\"}").data());
        assertEquals(
                "s1", read("x/s1", "{\"address\":\"192.0.2.1:80\",\"zone\":\"a\"}").data().uid());
    }

    @Test
    void invalidFieldIsNamed() {
        String good = "\"address\":\"192.0.2.1:80\",\"zone\":\"a\"";
        Map<String, String> mistakes =
                Map.of(
                        "[]",
                        "not a JSON object",
                        "{\"zone\":\"a\"}",
                        "address is not like \"192.0.2.1:8080\"",
                        "{\"address\":\"example.org:80\",\"zone\":\"a\"}",
                        "address is not like \"192.0.2.1:8080\"",
                        "{\"address\":\"192.0.2.1:80\"}",
                        "unknown zone",
                        "{" + good + ",\"kind\":\"m2\"}",
                        "unknown kind",
                        "{" + good + ",\"state\":\"Gone\"}",
                        "unknown state",
                        "{" + good + ",\"weight\":0}",
                        "weight is not a number above 0",
                        "{" + good + ",\"cell\":1.5}",
                        "cell is not a whole number from 0 on",
                        "{" + good + ",\"started\":-1}",
                        "started is not a whole number from 0 on",
                        "{" + good + ",\"uid\":\"\"}",
                        "uid is not a text of 1 to 253 characters");
        mistakes.forEach(
                (text, problem) -> {
                    assertEquals(problem, read("s1", text).problem(), text);
                    assertNull(read("s1", text).data());
                });
        assertEquals("empty", read("s1", null).problem());
        assertEquals("empty", read("s1", "").problem());
        assertEquals("larger than 65536 bytes", read("s1", " ".repeat(65_537)).problem());
    }
}
