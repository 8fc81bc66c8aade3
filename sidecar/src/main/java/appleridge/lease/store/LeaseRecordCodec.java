package appleridge.lease.store;

import appleridge.lease.VersionedLease;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Encodes the record of a lease as JSON and decodes it; the keys are part of the stored format.
 * Thread-safe.
 */
final class LeaseRecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private static final String HOLDER = "holder";
    private static final String TOKEN = "token";
    private static final String SINCE = "since";
    private static final String NONCE = "nonce";
    private static final String TERM_MILLIS = "termMillis";
    private static final String RELEASED = "released";

    private LeaseRecordCodec() {}

    /**
     * Encodes a record. The term is rounded up to milliseconds, because a shorter one would let
     * others take the lease over too early.
     *
     * @param sinceUnixMillis when the holder acquired the lease; for operators only, never read
     *     back
     */
    static byte[] encode(VersionedLease record, long sinceUnixMillis) {
        return JSON.createObjectNode()
                .put(HOLDER, record.holder())
                .put(TOKEN, record.token())
                .put(SINCE, Instant.ofEpochMilli(sinceUnixMillis).toString())
                .put(NONCE, record.nonce())
                .put(TERM_MILLIS, (record.termNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
                .put(RELEASED, record.released())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a record; unknown keys are ignored.
     *
     * @param data the content of the node; null if it has none
     * @throws MalformedLeaseRecordException if a key is missing or has a value of another type
     */
    static VersionedLease decode(byte[] data, long version) {
        JsonNode node = parse(data);
        if (!isRecord(node)) {
            throw new MalformedLeaseRecordException(null);
        }
        return new VersionedLease(
                version,
                node.path(TOKEN).longValue(),
                node.path(HOLDER).textValue(),
                node.path(NONCE).textValue(),
                node.path(TERM_MILLIS).longValue() * NANOS_PER_MILLI,
                node.path(RELEASED).booleanValue());
    }

    private static JsonNode parse(byte[] data) {
        if (data == null) {
            throw new MalformedLeaseRecordException(null);
        }
        try {
            return JSON.readTree(data);
        } catch (IOException e) {
            throw new MalformedLeaseRecordException(e);
        }
    }

    private static boolean isRecord(JsonNode node) {
        return node.path(TOKEN).isIntegralNumber()
                && node.path(TOKEN).canConvertToLong()
                && node.path(TERM_MILLIS).isIntegralNumber()
                && node.path(TERM_MILLIS).canConvertToInt()
                && node.path(HOLDER).isTextual()
                && node.path(NONCE).isTextual()
                && node.path(RELEASED).isBoolean();
    }
}
