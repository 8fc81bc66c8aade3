package appleridge.request;

import java.lang.invoke.VarHandle;
import java.nio.LongBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Remembers the ids of requests that may be executed, or may have been executed a while ago, and
 * must not be executed again. Bounded in number and bytes: an id is stored as a hash in one of a
 * few places, and takes the place of the one that was remembered first if all of them are occupied.
 * Event loop only.
 */
final class ExecutedIds {
    /** How long an id is remembered. */
    static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The number of ids that are remembered at most; 16 bytes each. */
    static final int CAPACITY = 32_768;

    private static final int LONGS_PER_PLACE = 2;

    /** The number of values of a table. */
    static final int TABLE_ENTRIES = CAPACITY * LONGS_PER_PLACE;

    /** The number of places in which one id may be stored. */
    private static final int PLACES_PER_ID = 8;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    private final MonotonicClock clock;

    /**
     * A hash and a time for each place; the hash of an unused place is 0. Null before the first.
     */
    private LongBuffer table;

    /** The tables of other processes of this sidecar. */
    private List<LongBuffer> otherTables = List.of();

    /** Creates an empty memory, which takes up space from the first id on. */
    ExecutedIds(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Remembers an id from now on. */
    void remember(String id) {
        if (table == null) {
            table = LongBuffer.allocate(TABLE_ENTRIES);
        }
        long now = clock.nanoTime();
        long hash = hash(id);
        int place = placeFor(hash, now);
        table.put(LONGS_PER_PLACE * place + 1, now);
        table.put(LONGS_PER_PLACE * place, hash);
    }

    /**
     * Remembers an id that is about to be executed, unless it is remembered. Two processes that
     * claim an id at the same time both see the other's claim, so that neither executes it.
     *
     * @return whether the id may be executed
     */
    boolean claim(String id) {
        if (contains(id)) {
            return false;
        }
        remember(id);
        // The claim must be visible to the others before theirs are looked at.
        VarHandle.fullFence();
        if (isKnownElsewhere(hash(id))) {
            forget(id);
            return false;
        }
        return true;
    }

    /** Forgets an id that was not executed. */
    void forget(String id) {
        int place = find(table, hash(id));
        if (place >= 0) {
            table.put(LONGS_PER_PLACE * place, 0);
        }
    }

    private boolean isKnownElsewhere(long hash) {
        return otherTables.stream().anyMatch(other -> find(other, hash) >= 0);
    }

    /** Whether an id is remembered. */
    boolean contains(String id) {
        if (table == null && otherTables.isEmpty()) {
            return false;
        }
        long hash = hash(id);
        int place = table == null ? -1 : find(table, hash);
        return place >= 0 && !isExpired(place, clock.nanoTime()) || isKnownElsewhere(hash);
    }

    /** The place of a hash in a table; -1 if it is not there. */
    private static int find(LongBuffer table, long hash) {
        int first = firstPlace(hash);
        for (int place = first; place < first + PLACES_PER_ID; place++) {
            if (table.get(LONGS_PER_PLACE * place) == hash) {
                return place;
            }
        }
        return -1;
    }

    /**
     * Sets where the ids are stored, and what other processes of this sidecar remember. Their times
     * are not compared with this process's clock: what is in their tables is remembered.
     *
     * @param own an empty table of {@link #TABLE_ENTRIES} values
     */
    void share(LongBuffer own, List<LongBuffer> others) {
        if (table == null) {
            table = own;
        }
        otherTables = others;
    }

    private long rememberedAtNanos(int place) {
        return table.get(LONGS_PER_PLACE * place + 1);
    }

    /** The place of the same id, an unused one, or the one that was filled first. */
    private int placeFor(long hash, long now) {
        int first = firstPlace(hash);
        int oldest = first;
        for (int place = first; place < first + PLACES_PER_ID; place++) {
            long stored = table.get(LONGS_PER_PLACE * place);
            if (stored == hash || stored == 0 || isExpired(place, now)) {
                return place;
            }
            if (rememberedAtNanos(place) - rememberedAtNanos(oldest) < 0) {
                oldest = place;
            }
        }
        return oldest;
    }

    private boolean isExpired(int place, long now) {
        return now - rememberedAtNanos(place) > RETENTION_NANOS;
    }

    private static int firstPlace(long hash) {
        int groups = CAPACITY / PLACES_PER_ID;
        return (int) Long.remainderUnsigned(hash, groups) * PLACES_PER_ID;
    }

    /** FNV-1a with a final mix; never 0. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_MULTIPLIER;
        hash ^= hash >>> MIX_SHIFT;
        return hash == 0 ? 1 : hash;
    }
}
