package appleridge.lease.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import appleridge.lease.VersionedLease;
import java.io.IOException;
import java.io.InputStream;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * Guards against an incompatible change of the stored lease record: during an upgrade, processes of
 * this version and of commit 4260e73 may compete for the same lease. The files were written by that
 * commit.
 */
class StoredLeaseRecordTest {
    private static final String FOLDER = "/stored/4260e73/";
    private static final int VERSION = 5;

    private static final VersionedLease HELD =
            new VersionedLease(
                    VERSION, 7, "host-a/4121", "9f86d081884c7d65/3", 10_000_000_000L, false);
    private static final Instant HELD_SINCE = Instant.parse("2025-12-03T09:34:22.123Z");

    /** The term is 2,000,000,001 ns rounded up to milliseconds. */
    private static final VersionedLease RELEASED =
            new VersionedLease(
                    VERSION, 8, "höst-b/\"12\"", "60303ae22b998861/12", 2_001_000_000L, true);

    private static final Instant RELEASED_SINCE = Instant.parse("2025-12-03T09:35:00Z");

    private static byte[] stored(String file) throws IOException {
        try (InputStream in = StoredLeaseRecordTest.class.getResourceAsStream(FOLDER + file)) {
            assertNotNull(in, file);
            return in.readAllBytes();
        }
    }

    @Test
    void recordsWrittenBy4260e73AreRead() throws IOException {
        assertEquals(HELD, LeaseRecordCodec.decode(stored("lease-record-held.json"), VERSION));
        assertEquals(
                RELEASED, LeaseRecordCodec.decode(stored("lease-record-released.json"), VERSION));
    }

    @Test
    void recordsAreWrittenByteForByteAsBy4260e73() throws IOException {
        assertArrayEquals(
                stored("lease-record-held.json"),
                LeaseRecordCodec.encode(HELD, HELD_SINCE.toEpochMilli()));
        assertArrayEquals(
                stored("lease-record-released.json"),
                LeaseRecordCodec.encode(
                        new VersionedLease(
                                0, 8, RELEASED.holder(), RELEASED.nonce(), 2_000_000_001L, true),
                        RELEASED_SINCE.toEpochMilli()));
    }

    @Test
    void nodePathsAreTheSameAsIn4260e73() {
        assertEquals(
                new LeasePaths(
                        "/appleridge/leases/nightly",
                        "/appleridge/leases/nightly/record",
                        "/appleridge/leases/nightly/line"),
                LeasePaths.of("/appleridge/leases", "nightly"));
        assertEquals("/nightly/record", LeasePaths.of("/", "nightly").record());
    }
}
