package appleridge.testbed.coordination;

import java.util.Arrays;
import java.util.Collection;

/** Numbers in order, and what is said of many of them. */
final class Samples {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long[] sorted;

    Samples(Collection<Long> numbers) {
        sorted = numbers.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    int count() {
        return sorted.length;
    }

    /** The number that this part of all is not above; 0 if there are none. */
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

    /** How many are at most so much. */
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

    /** Median, 90th and 99th percentile and the largest of nanoseconds, in milliseconds. */
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
