package appleridge.discovery.registration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the data of servers' nodes with files that commit 4260e73 wrote. */
class StoredNodeDataTest {
    private static final long STARTED_MILLIS = 1_700_000_000_000L;
    private static final String FULL =
            "--operator o.toml --id s1 --shard x --address 192.0.2.1:80 --zone b --kind m1 --cell 2"
                    + " --weight 1.5 -- run";
    private static final String MINIMAL = "--operator o --id s1 --address [2001:db8::1]:80 -- run";

    private static byte[] stored(String name) throws IOException {
        try (InputStream in =
                StoredNodeDataTest.class.getResourceAsStream("/stored/4260e73/" + name)) {
            return in.readAllBytes();
        }
    }

    private static byte[] write(String line, boolean terminating, long startedMillis) {
        return NodeJsonWriter.write(
                RegisterArguments.parse(List.of(line.split(" "))), terminating, startedMillis);
    }

    @Test
    void nodeDataIsWrittenByteForByteAsBefore() throws IOException {
        assertArrayEquals(stored("node-full.json"), write(FULL, false, STARTED_MILLIS));
        assertArrayEquals(stored("node-terminating.json"), write(FULL, true, STARTED_MILLIS));
        assertArrayEquals(stored("node-minimal.json"), write(MINIMAL, false, 7));
    }

    @Test
    void startOfAStoredNodeIsRead() throws IOException {
        assertEquals(STARTED_MILLIS, NodeJsonWriter.startedMillis(stored("node-full.json")));
        assertEquals(STARTED_MILLIS, NodeJsonWriter.startedMillis(stored("node-terminating.json")));
        assertEquals(7, NodeJsonWriter.startedMillis(stored("node-minimal.json")));
    }
}
