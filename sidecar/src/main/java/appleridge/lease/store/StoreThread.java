package appleridge.lease.store;

import appleridge.transport.SystemTime;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The one thread on which all state of a store is read and written. {@link #execute} may be called
 * from any thread, all else on this one only.
 */
final class StoreThread implements Executor {
    /** From one call of the periodic check to the next, if nothing else is to be run. */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** After this long a failed operation is retried, and a request that can't be sent answered. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private record Delayed(long dueNanos, Runnable task) {}

    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingLong(Delayed::dueNanos));
    private final Consumer<RuntimeException> onFailure;
    private final Runnable check;
    private final Thread thread = new Thread(this::run, "lease");
    private boolean stopped;

    /**
     * Creates a thread that is not started.
     *
     * @param check called after each task, and every {@value #CHECK_INTERVAL_MILLIS} ms
     * @param onFailure told what a task has thrown; the thread goes on
     */
    StoreThread(Runnable check, Consumer<RuntimeException> onFailure) {
        this.check = check;
        this.onFailure = onFailure;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    /** Runs it after {@link #RETRY_DELAY_NANOS}. */
    void retryLater(Runnable task) {
        delayed.add(new Delayed(nanoTime() + RETRY_DELAY_NANOS, task));
    }

    /** Nothing more is run once the current task has returned. */
    void stop() {
        stopped = true;
    }

    boolean isStopped() {
        return stopped;
    }

    /** Waits for the thread's end, from another thread. */
    void join(long millis) {
        try {
            thread.join(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static long nanoTime() {
        return SystemTime.NANOS.getAsLong();
    }

    private void run() {
        while (!stopped) {
            try {
                Runnable task = tasks.poll(CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                if (task != null) {
                    task.run();
                }
                runDelayed(nanoTime());
                check.run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                onFailure.accept(e);
            }
        }
    }

    private void runDelayed(long nowNanos) {
        while (!stopped && !delayed.isEmpty() && delayed.peek().dueNanos <= nowNanos) {
            delayed.poll().task.run();
        }
    }
}
