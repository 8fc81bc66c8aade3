package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.LongBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against ids that are forgotten too early, and against a memory that grows. */
class ExecutedIdsTest {
    private long now;
    private final ExecutedIds ids = new ExecutedIds(() -> now);

    @Test
    void idIsRememberedForItsTime() {
        assertFalse(ids.contains("a"));
        ids.remember("a");
        now = ExecutedIds.RETENTION_NANOS;
        assertTrue(ids.contains("a"));
        assertFalse(ids.contains("b"));
        now++;
        assertFalse(ids.contains("a"));
    }

    @Test
    void idThatIsRememberedAgainBeginsItsTimeAnew() {
        ids.remember("a");
        now = ExecutedIds.RETENTION_NANOS;
        ids.remember("a");
        now = 2 * ExecutedIds.RETENTION_NANOS;
        assertTrue(ids.contains("a"));
    }

    /** A quarter of the capacity within the time displaces at most one of a thousand ids. */
    @Test
    void floodBelowTheCapacityDoesNotDisplaceIds() {
        for (int i = 0; i < 1000; i++) {
            ids.remember("kept" + i);
        }
        for (int i = 0; i < ExecutedIds.CAPACITY / 4; i++) {
            now++;
            ids.remember("flood" + i);
        }
        int kept = 0;
        for (int i = 0; i < 1000; i++) {
            kept += ids.contains("kept" + i) ? 1 : 0;
        }
        assertTrue(kept >= 999, "kept " + kept);
    }

    /** A flood of new ids displaces old ones; the latest are still remembered. */
    @Test
    void floodBeyondTheCapacityDisplacesTheOldest() {
        for (int i = 0; i < 4 * ExecutedIds.CAPACITY; i++) {
            now++;
            ids.remember("flood" + i);
        }
        int last = 4 * ExecutedIds.CAPACITY - 1;
        for (int i = 0; i < 100; i++) {
            assertTrue(ids.contains("flood" + (last - i)));
        }
        assertFalse(ids.contains("flood0"));
    }

    /** What another process remembers counts, whatever its clock says. */
    @Test
    void idsOfAnotherProcessAreKnown() {
        LongBuffer table = LongBuffer.allocate(ExecutedIds.TABLE_ENTRIES);
        ExecutedIds other = new ExecutedIds(() -> now - 2 * ExecutedIds.RETENTION_NANOS);
        other.share(table, List.of());
        other.remember("a");
        assertFalse(ids.contains("a"));
        ids.share(LongBuffer.allocate(ExecutedIds.TABLE_ENTRIES), List.of(table));
        assertTrue(ids.contains("a"));
        assertFalse(ids.contains("b"));
    }

    /**
     * Guards against two processes that execute one id, because each began before the other ended.
     */
    @Test
    void idThatAnotherProcessClaimsIsNotExecuted() {
        LongBuffer ownTable = LongBuffer.allocate(ExecutedIds.TABLE_ENTRIES);
        LongBuffer otherTable = LongBuffer.allocate(ExecutedIds.TABLE_ENTRIES);
        ExecutedIds other = new ExecutedIds(() -> now);
        ids.share(ownTable, List.of(otherTable));
        other.share(otherTable, List.of(ownTable));
        assertTrue(ids.claim("a"));
        assertFalse(other.claim("a"), "claimed by the first");
        assertFalse(ids.claim("a"), "claimed before");
        ids.forget("a");
        assertTrue(other.claim("a"), "it was not executed");
        assertFalse(ids.claim("a"));
    }
}
