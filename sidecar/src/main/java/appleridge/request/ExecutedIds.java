package appleridge.request;

import java.util.concurrent.TimeUnit;

/**
 * Remembers for a while the ids of requests that may have been executed and must not be executed
 * again, after the requests themselves have ended. Bounded in number and bytes: an id is stored as
 * a hash in one of a few places, and takes the place of the one that was remembered first if all of
 * them are occupied. Event loop only.
 */
final class ExecutedIds {
    /** How long an id is remembered. */
    static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The number of ids that are remembered at most; 16 bytes each. */
    static final int CAPACITY = 32_768;

    /** The number of places in which one id may be stored. */
    private static final int PLACES_PER_ID = 8;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    private final MonotonicClock clock;

    /** The hashes; 0 for an unused place. Null before the first id. */
    private long[] hashes;

    private long[] rememberedAtNanos;

    /** Creates an empty memory, which takes up space from the first id on. */
    ExecutedIds(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Remembers an id from now on. */
    void remember(String id) {
        if (hashes == null) {
            hashes = new long[CAPACITY];
            rememberedAtNanos = new long[CAPACITY];
        }
        long now = clock.nanoTime();
        long hash = hash(id);
        int place = placeFor(hash, now);
        hashes[place] = hash;
        rememberedAtNanos[place] = now;
    }

    /** Whether an id is remembered. */
    boolean contains(String id) {
        if (hashes == null) {
            return false;
        }
        long hash = hash(id);
        int first = firstPlace(hash);
        for (int place = first; place < first + PLACES_PER_ID; place++) {
            if (hashes[place] == hash && !isExpired(place, clock.nanoTime())) {
                return true;
            }
        }
        return false;
    }

    /** The place of the same id, an unused one, or the one that was filled first. */
    private int placeFor(long hash, long now) {
        int first = firstPlace(hash);
        int oldest = first;
        for (int place = first; place < first + PLACES_PER_ID; place++) {
            if (hashes[place] == hash || hashes[place] == 0 || isExpired(place, now)) {
                return place;
            }
            if (rememberedAtNanos[place] - rememberedAtNanos[oldest] < 0) {
                oldest = place;
            }
        }
        return oldest;
    }

    private boolean isExpired(int place, long now) {
        return now - rememberedAtNanos[place] > RETENTION_NANOS;
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
