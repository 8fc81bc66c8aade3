package appleridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import appleridge.daemon.LoopbackSidecar;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.RequestClass;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Parsing of the platform's configuration file, and the messages for values not allowed. */
class SidecarConfigTest {
    private static final String GOOD =
            LoopbackSidecar.json(LoopbackSidecar.SettingValues.DEFAULT, "127.0.0.1:8500");

    private static SidecarConfig parse(String json) throws Exception {
        return SidecarConfig.parse(new ObjectMapper().readTree(json));
    }

    @Test
    void nestedSettingsAreReadAsThoseOfTheProvisionEvent() throws Exception {
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
     * A site may push endpoint lists or permit gossip. Guards against a sidecar that then waits for
     * pushes or gossip that never come.
     */
    @Test
    void pushedListsArePolledAndGossipIsOff() throws Exception {
        String pushed =
                GOOD.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                        .replace("\"askWithin\":1000000000,", "")
                        .replace("\"mayCancel\":true", "\"mayCancel\":true,\"peers\":true");
        SidecarConfig config = parse(pushed);
        assertTrue(config.pollsLocalAgent());
        assertEquals(
                DiscoveryMode.SUBSCRIBED,
                config.settings().discoveryMode(),
                "the agent has to be polled");
        assertFalse(config.settings().capabilities().gossip());
        assertTrue(config.settings().capabilities().cancellation());
        assertFalse(parse(GOOD).pollsLocalAgent());
        assertEquals(List.of("settings"), parse(GOOD).partsNeedingRestart(config));
    }

    /** Guards against a site with short deadlines where no sidecar starts. */
    @Test
    void latencyObjectiveBeyondTheDeadlineIsCutToTheDeadline() throws Exception {
        List<RequestClass> classes =
                parse(GOOD.replace("\"deadline\":3000000000", "\"deadline\":400000000"))
                        .settings()
                        .classes();
        assertEquals(400_000_000, classes.get(0).latencyObjectiveNanos());
        assertEquals(400_000_000, classes.get(0).deadlineNanos());
        assertEquals(1_000_000_000, classes.get(4).latencyObjectiveNanos());
    }

    /**
     * Guards against a start that fails because of an invalid key scope in a class that has no
     * idempotency key and so doesn't use it.
     */
    @Test
    void keyScopeIsReadOnlyForClassesWithAnIdempotencyKey() throws Exception {
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

    @ParameterizedTest
    @MethodSource("disallowedValues")
    void messageNamesKeyValueAndAllowedRange(String from, String to, String message) {
        assertTrue(GOOD.contains(from), from);
        String json = GOOD.replace(from, to);
        Exception e = assertThrows(IllegalArgumentException.class, () -> parse(json), to);
        assertEquals(1, e.getMessage().lines().count(), "the message has one line");
        assertEquals(message, e.getMessage());
    }

    static Stream<Arguments> disallowedValues() {
        String address = "allowed: a literal IP address and a port, like 192.0.2.1:80";
        String nanos = "allowed: a whole number of nanoseconds greater than 0";
        return Stream.of(
                arguments(
                        "\"seed\":\"8c1f30d27a5be964\"",
                        "\"seed\":\"zz\"",
                        "seed is \"zz\"; allowed: up to 16 hexadecimal digits"),
                arguments(
                        "\"listen\":\"127.0.0.1:1\"",
                        "\"listen\":\"127.0.0.1\"",
                        "listen is \"127.0.0.1\"; " + address),
                arguments(
                        "\"discovery\":\"127.0.0.1:8500\"",
                        "\"discovery\":\"127.0.0.1:99999\"",
                        "discovery is \"127.0.0.1:99999\"; " + address),
                arguments(
                        "\"name\":\"n0\"",
                        "\"name\":\"\"",
                        "name is missing; allowed: a non-empty string"),
                arguments(
                        "\"discovery\":\"subscribe\"",
                        "\"discovery\":\"guessed\"",
                        "discovery is \"guessed\"; allowed: one of automatic, subscribe"),
                arguments(
                        "\"sockets\":1024",
                        "\"sockets\":3",
                        "limits.sockets is \"3\"; allowed: a whole number from 64"),
                arguments(
                        "\"connIdle\":10000000000",
                        "\"connIdle\":0",
                        "caps.connIdle is \"0\"; " + nanos),
                arguments(
                        "\"coldShare\":0.4",
                        "\"coldShare\":7",
                        "rules.coldShare is \"7\"; allowed: a number above 0 and at most 1"),
                arguments(
                        "\"semantics\":\"once\"",
                        "\"semantics\":\"twice\"",
                        "profiles.3.semantics is \"twice\"; allowed: one of by_key, once,"
                                + " repeatable"),
                arguments(
                        "\"askWithin\":1000000000",
                        "\"askWithin\":0",
                        "rules.askWithin is \"0\"; " + nanos),
                arguments("\"askWithin\":1000000000,", "", "rules.askWithin is \"0\"; " + nanos),
                arguments(
                        "\"connectTimeout\":500000000,",
                        "",
                        "caps.connectTimeout is \"0\"; " + nanos));
    }
}
