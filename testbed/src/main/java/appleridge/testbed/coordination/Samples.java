package appleridge.testbed.coordination;

import java.util.Arrays;
import java.util.Collection;

/** Numbers in order, and what is said of many of them. */
final class Samples {
    private static final double MILLION = 1e6;

    private final long[] sorted;

    Samples(Collection<Long> numbers) {
        sorted = numbers.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    int count() {
        return sorted.length;
    }

    /** The number that this part of all is not above; 0 if there are none. */
    long at(double part) {
        return sorted.length == 0
                ? 0
                : sorted[
                        Math.min(
                                sorted.length - 1,
                                Math.max(0, (int) Math.ceil(part * sorted.length) - 1))];
    }

    long median() {
        return at(0.5);
    }

    long most() {
        return at(1);
    }

    /** How many are at most so much. */
    int upTo(long number) {
        int at = Arrays.binarySearch(sorted, number);
        if (at < 0) {
            return -at - 1;
        }
        while (at < sorted.length && sorted[at] == number) {
            at++;
        }
        return at;
    }

    /** Median, 90th and 99th percentile and the largest of nanoseconds, in milliseconds. */
    String millis() {
        return count() == 0
                ? "none"
                : "median "
                        + millis(median())
                        + ", p90 "
                        + millis(at(0.9))
                        + ", p99 "
                        + millis(at(0.99))
                        + ", max "
                        + millis(most())
                        + " ms ("
                        + count()
                        + ")";
    }

    static String millis(long nanos) {
        return String.valueOf(Math.round(nanos / MILLION * 10) / 10.0);
    }
}
