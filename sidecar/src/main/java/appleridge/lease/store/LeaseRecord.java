package appleridge.lease.store;

import appleridge.lease.VersionedLease;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/** A record as JSON, for the store and for operators' eyes. */
final class LeaseRecord {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private LeaseRecord() {}

    /**
     * What is written.
     *
     * @param sinceMillis since when its holder holds, in Unix time; for operators alone
     */
    static byte[] encode(VersionedLease entry, long sinceMillis) {
        return JSON.createObjectNode()
                .put("holder", entry.holder())
                .put("token", entry.token())
                .put("since", Instant.ofEpochMilli(sinceMillis).toString())
                .put("nonce", entry.nonce())
                // Rounded up, for too short a term would let others in.
                .put("termMillis", (entry.termNanos() + MILLI - 1) / MILLI)
                .put("released", entry.released())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** What is read; an exception's message tells what is wrong with it. */
    static VersionedLease decode(byte[] data, long version) {
        JsonNode node;
        try {
            node = data == null ? null : JSON.readTree(data);
        } catch (IOException e) {
            node = null;
        }
        if (node == null
                || !node.path("token").canConvertToLong()
                || !node.path("token").isIntegralNumber()
                || !node.path("termMillis").isIntegralNumber()
                || !node.path("termMillis").canConvertToInt()
                || !node.path("holder").isTextual()
                || !node.path("nonce").isTextual()
                || !node.path("released").isBoolean()) {
            throw new IllegalArgumentException("the record is not one of a lease");
        }
        return new VersionedLease(
                version,
                node.path("token").longValue(),
                node.path("holder").textValue(),
                node.path("nonce").textValue(),
                node.path("termMillis").longValue() * MILLI,
                node.path("released").booleanValue());
    }
}
