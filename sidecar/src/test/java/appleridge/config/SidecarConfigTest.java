package appleridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.daemon.LoopbackNode;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.RequestClass;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The configuration and the small texts that the protocol has values in. */
class SidecarConfigTest {
    private static final String GOOD =
            LoopbackNode.json(LoopbackNode.Figures.USUAL, "127.0.0.1:8500");

    private static SidecarConfig parse(String json) throws Exception {
        return SidecarConfig.parse(new ObjectMapper().readTree(json));
    }

    @Test
    void nestedSettingsAreThoseOfTheWire() throws Exception {
        SidecarConfig config = parse(GOOD.replace("\"acme\"", "\"acme, and sons\""));
        assertEquals(List.of("read", "write", "hold", "pay", "slow"), config.requestClassNames());
        assertEquals(List.of("acme, and sons"), config.tenantNames());
        assertEquals(List.of("a", "b"), config.zones());
        assertEquals(Idempotency.NON_IDEMPOTENT, config.settings().classes().get(3).idempotency());
        assertEquals(List.of("rate", "q"), config.settings().loadReportFields());
        assertEquals(DiscoveryMode.SUBSCRIBED, config.settings().discoveryMode());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
    }

    /**
     * Guards against a customer whose lists are pushed, or whose sidecars may speak to one another.
     */
    @Test
    void pushedListsAreFollowedAndPeersLeftAlone() throws Exception {
        String pushed =
                GOOD.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                        .replace("\"askWithin\":1000000000,", "")
                        .replace("\"mayCancel\":true", "\"mayCancel\":true,\"peers\":true");
        SidecarConfig config = parse(pushed);
        assertTrue(config.pushed());
        assertEquals(
                DiscoveryMode.SUBSCRIBED,
                config.settings().discoveryMode(),
                "the agent has to be asked");
        assertFalse(config.settings().capabilities().gossip());
        assertTrue(config.settings().capabilities().cancellation());
        assertFalse(parse(GOOD).pushed());
        assertEquals(List.of("settings"), parse(GOOD).fixedParts(config));
    }

    /** Guards against a day of short deadlines on which no sidecar starts. */
    @Test
    void anAimBeyondTheDeadlineIsCutToIt() throws Exception {
        List<RequestClass> classes =
                parse(GOOD.replace("\"deadline\":3000000000", "\"deadline\":400000000"))
                        .settings()
                        .classes();
        assertEquals(400_000_000, classes.get(0).latencyObjectiveNanos());
        assertEquals(400_000_000, classes.get(0).deadlineNanos());
        assertEquals(1_000_000_000, classes.get(4).latencyObjectiveNanos());
    }

    /**
     * Guards against a start that fails for what a class's other settings leave without meaning.
     */
    @Test
    void aScopeIsReadOnlyWhereRepeatsAreDroppedByKey() throws Exception {
        String pay = "\"semantics\":\"once\"";
        for (String scope : List.of("\"none\"", "\"\"", "null")) {
            SidecarConfig config = parse(GOOD.replace(pay, pay + ",\"keyScope\":" + scope));
            assertEquals(
                    Idempotency.NON_IDEMPOTENT, config.settings().classes().get(3).idempotency());
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> parse(GOOD.replace("\"keyScope\":\"zone\"", "\"keyScope\":\"none\"")));
    }

    @Test
    void whatMakesNoSenseIsNamed() {
        Map<String, String> spoilt =
                new LinkedHashMap<>(
                        Map.of(
                                "\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"zz\"",
                                "\"listen\":\"127.0.0.1:1\"", "\"listen\":\"127.0.0.1\"",
                                "\"discovery\":\"127.0.0.1:8500\"",
                                        "\"discovery\":\"127.0.0.1:99999\"",
                                "\"name\":\"n0\"", "\"name\":\"\"",
                                "\"discovery\":\"subscribe\"", "\"discovery\":\"guessed\"",
                                "\"sockets\":1024", "\"sockets\":3",
                                "\"connIdle\":10000000000", "\"connIdle\":0",
                                "\"coldShare\":0.4", "\"coldShare\":7",
                                "\"semantics\":\"once\"", "\"semantics\":\"twice\""));
        spoilt.put("\"askWithin\":1000000000", "\"askWithin\":0");
        spoilt.put("\"askWithin\":1000000000,", "");
        spoilt.put("\"connectTimeout\":500000000,", "");
        spoilt.forEach(
                (from, to) -> {
                    assertTrue(GOOD.contains(from), from);
                    String json = GOOD.replace(from, to);
                    Exception e =
                            assertThrows(IllegalArgumentException.class, () -> parse(json), to);
                    assertEquals(1, e.getMessage().lines().count(), "one plain line");
                });
    }
}
