package appleridge.lease.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import appleridge.lease.VersionedLease;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The JSON format of a lease's record, and the order of the waiter queue. */
class LeaseRecordCodecTest {
    @Test
    void encodedRecordIsReadableJsonAndDecodes() {
        byte[] bytes =
                LeaseRecordCodec.encode(
                        new VersionedLease(0, 7, "host-a/12", "ab", 2_000_000_001L, false), 0);
        assertEquals(
                "{\"holder\":\"host-a/12\",\"token\":7,\"since\":\"1970-01-01T00:00:00Z\","
                        + "\"nonce\":\"ab\",\"termMillis\":2001,\"released\":false}",
                new String(bytes, StandardCharsets.UTF_8));
        assertEquals(
                new VersionedLease(3, 7, "host-a/12", "ab", 2_001_000_000L, false),
                LeaseRecordCodec.decode(bytes, 3));
    }

    /** Guards against a record edited by an operator that is taken for a free lease. */
    @Test
    void malformedRecordIsRejected() {
        String valid =
                "{\"holder\":\"a\",\"token\":7,\"nonce\":\"ab\",\"termMillis\":2001,\"released\":false}";
        assertEquals(7, LeaseRecordCodec.decode(valid.getBytes(StandardCharsets.UTF_8), 0).token());
        for (String malformed :
                List.of(
                        "",
                        "{",
                        "[]",
                        "null",
                        valid.replace("7", "7.5"),
                        valid.replace("7", "\"7\""),
                        valid.replace("2001", "1e30"),
                        valid.replace("false", "0"),
                        valid.replace("\"ab\"", "1"),
                        valid.replace("\"a\"", "null"))) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> LeaseRecordCodec.decode(malformed.getBytes(StandardCharsets.UTF_8), 0),
                    malformed);
        }
        assertThrows(IllegalArgumentException.class, () -> LeaseRecordCodec.decode(null, 0));
    }

    @Test
    void queueIsOrderedBySequenceNumber() {
        assertEquals(
                List.of("zz-0000000009", "aa-0000000010", "bb-0000000100"),
                WaiterQueue.inQueueOrder(
                        List.of("bb-0000000100", "zz-0000000009", "aa-0000000010")));
    }
}
