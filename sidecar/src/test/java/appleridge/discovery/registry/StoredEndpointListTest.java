package appleridge.discovery.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parses endpoint lists that the registry's stand-in wrote at commit 4260e73. */
class StoredEndpointListTest {
    private static final DiscoveredEndpoint READY = endpoint(1, 0, HostState.READY, 0);
    private static final DiscoveredEndpoint DRAINING =
            endpoint(2, 1, HostState.DRAINING, 1_700_000_000_000L);
    private static final DiscoveredEndpoint GONE =
            endpoint(3, 1, HostState.GONE, 1_700_000_000_001L);

    private final EndpointListParser parser =
            new EndpointListParser(List.of("a", "b"), List.of("std-3c"));

    private static DiscoveredEndpoint endpoint(
            int number, int zone, HostState state, long startedAtUnixMillis) {
        return new DiscoveredEndpoint(
                "s" + number,
                new InetSocketAddress("192.0.2." + number, 80),
                zone,
                0,
                0,
                state,
                1,
                startedAtUnixMillis);
    }

    private EndpointListParser.Update read(String name) throws IOException {
        try (InputStream in =
                StoredEndpointListTest.class.getResourceAsStream("/stored/4260e73/" + name)) {
            return parser.read(new ObjectMapper().readTree(in));
        }
    }

    @Test
    void storedSnapshotIsRead() throws IOException {
        assertEquals(
                new EndpointListParser.Update(3, UpdateKind.SNAPSHOT, List.of(READY, DRAINING)),
                read("list-snapshot.json"));
    }

    @Test
    void storedDeltaIsRead() throws IOException {
        assertEquals(
                new EndpointListParser.Update(3, UpdateKind.DELTA, List.of(DRAINING, GONE)),
                read("list-delta.json"));
    }
}
