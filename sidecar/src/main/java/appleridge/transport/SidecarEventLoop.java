package appleridge.transport;

import appleridge.request.EventLog;
import appleridge.request.MonotonicClock;
import appleridge.request.Scheduler;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The single-threaded event loop that owns a sidecar's sockets, timers and load-balancing policy.
 * Its time advances with the ticker of Netty's event loop. Once it runs, all methods but {@link
 * #execute} must be called on its thread.
 */
public final class SidecarEventLoop implements MonotonicClock, Scheduler {
    /** The shortest delay between two runs of a periodic task. */
    private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop executor;
    private final SidecarClock clock;
    private final EventLog log;
    private final LoopActivity activity;
    private final long processStartNanos;

    /**
     * Creates an instance that does not observe the turns of the event loop.
     *
     * @param unixMillis the wall clock's Unix time in milliseconds
     */
    public SidecarEventLoop(EventLoop executor, LongSupplier unixMillis, EventLog log) {
        this(executor, unixMillis, log, LoopActivity.UNKNOWN);
    }

    /**
     * Creates an instance on Netty's event loop, in a process that has just begun.
     *
     * @param unixMillis the wall clock's Unix time in milliseconds
     * @param activity observes the turns of the loop
     */
    public SidecarEventLoop(
            EventLoop executor, LongSupplier unixMillis, EventLog log, LoopActivity activity) {
        this(executor, unixMillis, log, activity, 0);
    }

    /**
     * Creates an instance on Netty's event loop.
     *
     * @param unixMillis the wall clock's Unix time in milliseconds
     * @param activity observes the turns of the loop
     * @param processAgeNanos the time since the process began
     */
    public SidecarEventLoop(
            EventLoop executor,
            LongSupplier unixMillis,
            EventLog log,
            LoopActivity activity,
            long processAgeNanos) {
        this.activity = activity;
        this.executor = executor;
        this.clock = new SidecarClock(executor.ticker(), unixMillis);
        this.log = log;
        this.processStartNanos = clock.now() - processAgeNanos;
    }

    /** When the process began, on this loop's clock. */
    public long processStartNanos() {
        return processStartNanos;
    }

    /** Netty's event loop, on which channels are registered. */
    public EventLoop executor() {
        return executor;
    }

    /** The log for what happens on this loop. */
    public EventLog log() {
        return log;
    }

    /** The number of turns of the event loop since its start; 0 if they are not counted. */
    public long turnCount() {
        return activity.turnCount();
    }

    /** For how long unread input may have been there; {@link LoopActivity#maxUnreadInputNanos}. */
    public long maxUnreadInputNanos() {
        return activity.maxUnreadInputNanos();
    }

    @Override
    public long nanoTime() {
        return clock.now();
    }

    @Override
    public ScheduledTask scheduleAt(long atNanos, Runnable task) {
        return schedule(Math.max(0, atNanos - nanoTime()), task);
    }

    /** Converts a Unix time in milliseconds to this loop's time in nanoseconds, at most now. */
    public long nanosOfUnixMillis(long millis) {
        return clock.nanosOfUnixMillis(millis);
    }

    /** Runs a task once after a delay. */
    public ScheduledTask schedule(long delayNanos, Runnable task) {
        return cancellable(executor.schedule(logFailures(task), delayNanos, TimeUnit.NANOSECONDS));
    }

    /**
     * Runs a task periodically, each time after a delay from the end of the last run. The delay is
     * raised to at least a millisecond, because shorter ones would leave the loop no time to block.
     */
    public ScheduledTask scheduleAtFixedDelay(long delayNanos, Runnable task) {
        long delay = Math.max(MIN_DELAY_NANOS, delayNanos);
        return cancellable(
                executor.scheduleWithFixedDelay(
                        logFailures(task), delay, delay, TimeUnit.NANOSECONDS));
    }

    @Override
    public void execute(Runnable task) {
        executor.execute(logFailures(task));
    }

    private static ScheduledTask cancellable(Future<?> scheduled) {
        return () -> scheduled.cancel(false);
    }

    /** Logs what a task throws, which would otherwise be stored in a future that nobody reads. */
    private Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.failure("a task of the event loop failed", e);
            }
        };
    }
}
