package appleridge.testbed.coordination;

import java.util.Arrays;
import java.util.Collection;

/** A sorted set of measured values with its quantiles; durations in nanoseconds. */
final class Samples {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long[] sorted;

    Samples(Collection<Long> numbers) {
        sorted = numbers.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    int count() {
        return sorted.length;
    }

    /**
     * Returns the smallest value that at least this fraction of all values does not exceed; 0 if
     * there are none.
     */
    long quantile(double fraction) {
        return sorted.length == 0
                ? 0
                : sorted[
                        Math.min(
                                sorted.length - 1,
                                Math.max(0, (int) Math.ceil(fraction * sorted.length) - 1))];
    }

    long median() {
        return quantile(0.5);
    }

    long max() {
        return quantile(1);
    }

    /** Returns how many values are at most {@code number}. */
    int countUpTo(long number) {
        int index = Arrays.binarySearch(sorted, number);
        if (index < 0) {
            return -index - 1;
        }
        while (index < sorted.length && sorted[index] == number) {
            index++;
        }
        return index;
    }

    /**
     * Formats median, 90th and 99th percentile and maximum of nanosecond values in milliseconds.
     */
    String millis() {
        return count() == 0
                ? "none"
                : "median "
                        + millis(median())
                        + ", p90 "
                        + millis(quantile(0.9))
                        + ", p99 "
                        + millis(quantile(0.99))
                        + ", max "
                        + millis(max())
                        + " ms ("
                        + count()
                        + ")";
    }

    static String millis(long nanos) {
        return String.valueOf(Math.round(nanos / NANOS_PER_MILLI * 10) / 10.0);
    }
}
