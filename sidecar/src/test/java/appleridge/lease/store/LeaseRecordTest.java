package appleridge.lease.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import appleridge.lease.VersionedLease;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A lease's record as JSON, and the order of the line. */
class LeaseRecordTest {
    @Test
    void encodedRecordIsReadableJsonAndDecodes() {
        byte[] bytes =
                LeaseRecord.encode(
                        new VersionedLease(0, 7, "host-a/12", "ab", 2_000_000_001L, false), 0);
        assertEquals(
                "{\"holder\":\"host-a/12\",\"token\":7,\"since\":\"1970-01-01T00:00:00Z\","
                        + "\"nonce\":\"ab\",\"termMillis\":2001,\"released\":false}",
                new String(bytes, StandardCharsets.UTF_8));
        assertEquals(
                new VersionedLease(3, 7, "host-a/12", "ab", 2_001_000_000L, false),
                LeaseRecord.decode(bytes, 3));
    }

    /** Guards against an operator's hand in the record that is taken for a free lease. */
    @Test
    void malformedRecordIsRejected() {
        String good =
                "{\"holder\":\"a\",\"token\":7,\"nonce\":\"ab\",\"termMillis\":2001,\"released\":false}";
        assertEquals(7, LeaseRecord.decode(good.getBytes(StandardCharsets.UTF_8), 0).token());
        for (String bad :
                List.of(
                        "",
                        "{",
                        "[]",
                        "null",
                        good.replace("7", "7.5"),
                        good.replace("7", "\"7\""),
                        good.replace("2001", "1e30"),
                        good.replace("false", "0"),
                        good.replace("\"ab\"", "1"),
                        good.replace("\"a\"", "null"))) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> LeaseRecord.decode(bad.getBytes(StandardCharsets.UTF_8), 0),
                    bad);
        }
        assertThrows(IllegalArgumentException.class, () -> LeaseRecord.decode(null, 0));
    }

    @Test
    void queueIsOrderedBySequenceNumber() {
        assertEquals(
                List.of("zz-0000000009", "aa-0000000010", "bb-0000000100"),
                WaiterQueue.inQueueOrder(
                        List.of("bb-0000000100", "zz-0000000009", "aa-0000000010")));
    }
}
