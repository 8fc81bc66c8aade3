package appleridge.lease.store;

import appleridge.transport.SystemTime;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The thread on which all state of a store is read and written. {@link #execute} may be called from
 * any thread, {@link #start} and {@link #join} from another one, and all other methods only on this
 * thread.
 */
final class StoreThread implements Executor {
    /** The interval of the periodic check while there is no task to run. */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** The delay before a failed operation is retried or a request that can't be sent completes. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private record DelayedTask(long dueNanos, Runnable task) {}

    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final PriorityQueue<DelayedTask> delayed =
            new PriorityQueue<>(Comparator.comparingLong(DelayedTask::dueNanos));
    private final Consumer<RuntimeException> onFailure;
    private final Runnable periodicCheck;
    private final Thread thread = new Thread(this::run, "lease");
    private boolean stopped;

    /**
     * Creates a thread that is not started.
     *
     * @param periodicCheck called after each task, and every {@value #CHECK_INTERVAL_MILLIS} ms
     * @param onFailure receives the exceptions that tasks throw; the thread continues
     */
    StoreThread(Runnable periodicCheck, Consumer<RuntimeException> onFailure) {
        this.periodicCheck = periodicCheck;
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

    /** Runs the task after {@link #RETRY_DELAY_NANOS}. */
    void retryLater(Runnable task) {
        delayed.add(new DelayedTask(nanoTime() + RETRY_DELAY_NANOS, task));
    }

    /** Runs no further task once the current one has returned. */
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
                periodicCheck.run();
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
