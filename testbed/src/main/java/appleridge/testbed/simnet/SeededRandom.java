package appleridge.testbed.simnet;

import java.util.List;

/**
 * A seeded random generator. Streams are derived by name: a stream depends only on the seed and its
 * name, never on what was drawn before, so an additional draw in one stream does not change
 * another.
 */
public final class SeededRandom {
    private static final long STEP = 0x9E3779B97F4A7C15L;

    private final long seed;
    private long state;

    public SeededRandom(long seed) {
        this.seed = seed;
        state = mix(seed);
    }

    /** Returns the stream of this name, always from its beginning. */
    public SeededRandom stream(String name) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001B3L;
        }
        return new SeededRandom(mix(seed + STEP) ^ mix(hash));
    }

    public long nextLong() {
        state += STEP;
        return mix(state);
    }

    public double nextDouble() {
        return (nextLong() >>> 11) * 0x1.0p-53;
    }

    public int nextInt(int bound) {
        if (bound <= 0) {
            throw new IllegalArgumentException("bound must be positive: " + bound);
        }
        return (int) Math.multiplyHigh(nextLong() >>> 1, (long) bound << 1);
    }

    public long nextLong(long bound) {
        if (bound <= 0) {
            throw new IllegalArgumentException("bound must be positive: " + bound);
        }
        return (long) (nextDouble() * bound);
    }

    /** Returns true with this probability; draws nothing if it is 0 or less, or 1 or more. */
    public boolean hits(double probability) {
        return probability > 0 && (probability >= 1 || nextDouble() < probability);
    }

    /** From `low` to `high`, both included. */
    public long between(long low, long high) {
        return low == high ? low : low + nextLong(high - low + 1);
    }

    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - nextDouble());
    }

    public <T> T pick(List<T> from) {
        return from.get(nextInt(from.size()));
    }

    /** A bit mixer (the finalizer of SplitMix64); digests use it too. */
    public static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
