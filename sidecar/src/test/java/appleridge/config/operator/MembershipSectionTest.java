package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Reading of the section {@code [membership]}. */
class MembershipSectionTest {
    private static final Path EXAMPLE = Path.of("..", "deploy", "membership.example.toml");
    private static final String START =
            "version = 1\n[membership]\nservers = [\"192.0.2.1:2181\"]\n";

    private static OperatorFile.Inspection read(String text) {
        return OperatorFile.inspect(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void exampleFileAndOmittedKeysHaveTheDefaults() throws Exception {
        MembershipSection example = OperatorFile.read(EXAMPLE).membership().orElseThrow();
        assertEquals(3, example.servers().size());
        for (Setting each : OperatorFile.inspect(EXAMPLE).findings().settings()) {
            assertFalse(each.isChanged() && !each.path().equals("membership.servers"), each.path());
        }
        assertEquals(
                new MembershipSection(
                        MembershipSection.Source.BOTH,
                        List.of(new InetSocketAddress("192.0.2.1", 2181)),
                        "",
                        "/appleridge/servers",
                        false,
                        Duration.ofSeconds(6),
                        false,
                        Optional.empty(),
                        4 << 20,
                        Optional.empty()),
                read(START).file().membership().orElseThrow());
        String everything = Files.readString(EXAMPLE).replaceAll("(?m)^#([a-z\\[])", "$1");
        assertEquals(List.of(), read(everything).findings().problems());
        assertEquals(
                new MembershipSection.Tls(
                        "/etc/appleridge/ensemble.pem",
                        Optional.of("/etc/appleridge/trust.password"),
                        Optional.of("/etc/appleridge/sidecar.pem"),
                        Optional.of("/etc/appleridge/key.password"),
                        true),
                read(everything).file().membership().orElseThrow().tls().orElseThrow());
    }

    @Test
    void everyProblemIsReportedWithItsPosition() {
        Map<String, String> problems = new LinkedHashMap<>();
        problems.put("version = 1\n[membership]", "line 2, column 1: membership.servers: missing");
        problems.put(
                "version = 1\n[membership]\nservers = []",
                "line 3, column 1: membership.servers: a list has 0 items; allowed: 1 to 9");
        problems.put(
                "version = 1\n[membership]\nservers = [\"zk:2181\"]",
                "line 3, column 12: membership.servers[1]: \"zk:2181\" is not an address; write a"
                        + " literal one with its port, like \"192.0.2.1:8080\" or"
                        + " \"[2001:db8::1]:8080\" (names are not looked up)");
        problems.put(
                START + "source = \"registry\"",
                "line 4, column 1: membership.source: \"registry\" is not one of \"nodes\","
                        + " \"both\"");
        problems.put(
                START + "root = \"/a/../b\"",
                "line 4, column 1: membership.root: \"/a/../b\" is not a path; write one like"
                        + " \"/site-a/servers\", of letters, digits and any of _.:@-");
        problems.put(
                START + "root = \"/\"",
                "line 4, column 1: membership.root: is the ZooKeeper root; give the "
                        + "servers' nodes a path of their own");
        problems.put(
                START + "session-timeout = \"1s\"",
                "line 4, column 1: membership.session-timeout: \"1s\" is out of range: from 2s to"
                        + " 1m");
        problems.put(
                START + "[membership.tls]",
                "line 4, column 1: membership.tls.trust-store: missing");
        problems.put(
                START + "[membership.tls]\ntrust-store = \"a.pem\"\nkey-password-file = \"b\"",
                "line 6, column 1: membership.tls.key-password-file: requires" + " key-store");
        problems.put(
                START + "shard = true",
                "line 4, column 1: membership.shard: unknown key; did you mean " + "\"shards\"?");
        problems.forEach(
                (text, problem) ->
                        assertEquals(List.of(problem), read(text).findings().lines(), text));
    }

    @Test
    void consequencesAreReported() {
        String text =
                CheckText.of(
                        new CheckReport(null, null, null, EXAMPLE, OperatorFile.inspect(EXAMPLE)));
        assertEquals(
                true,
                text.contains(
                        "the list of servers comes from the registry and the nodes at "
                                + "/appleridge/servers on 3 coordination servers\n"),
                text);
        assertEquals(true, text.contains("a change of [membership] needs a restart"), text);
    }
}
