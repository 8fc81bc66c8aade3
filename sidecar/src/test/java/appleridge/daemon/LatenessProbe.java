package appleridge.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late the threads of this process run, so that what they observe late is not taken
 * for a late event. Thread-safe.
 */
final class LatenessProbe implements AutoCloseable {
    private static final long PERIOD_MILLIS = 5;

    private final Map<Long, Long> latenessByEndNanos = new ConcurrentSkipListMap<>();
    private final Thread thread = new Thread(this::run, "lateness-probe");

    /** Starts to measure. */
    LatenessProbe() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                long start = System.nanoTime();
                Thread.sleep(PERIOD_MILLIS);
                long end = System.nanoTime();
                long lateness = end - start - TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS);
                if (lateness > TimeUnit.MILLISECONDS.toNanos(1)) {
                    latenessByEndNanos.put(end, lateness);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The greatest lateness within a span of time, in milliseconds. */
    long maxMillis(long fromNanos, long toNanos) {
        long most = 0;
        for (Map.Entry<Long, Long> each : latenessByEndNanos.entrySet()) {
            boolean overlaps =
                    each.getKey() >= fromNanos && each.getKey() - each.getValue() <= toNanos;
            most = overlaps ? Math.max(most, each.getValue()) : most;
        }
        return TimeUnit.NANOSECONDS.toMillis(most);
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
