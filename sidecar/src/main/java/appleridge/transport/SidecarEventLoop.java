package appleridge.transport;

import appleridge.request.EventLog;
import appleridge.request.MonotonicClock;
import appleridge.request.Scheduler;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one thread that owns a sidecar's sockets, timers and load-balancing policy, and its time,
 * which is that of the event loop's ticker. All but {@link #execute} is to be called on it, once it
 * runs.
 */
public final class SidecarEventLoop implements MonotonicClock, Scheduler {
    /** The least time between two runs of periodic work. */
    private static final long MIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop executor;
    private final SidecarClock clock;
    private final EventLog log;
    private final LongSupplier turnCount;

    /**
     * On an event loop whose turns are not counted.
     *
     * @param unixMillis the wall clock's Unix time in milliseconds
     */
    public SidecarEventLoop(EventLoop executor, LongSupplier unixMillis, EventLog log) {
        this(executor, unixMillis, log, () -> 0);
    }

    /**
     * On an event loop.
     *
     * @param unixMillis the wall clock's Unix time in milliseconds
     * @param turnCount counts the turns of the loop, each of which looks for events once
     */
    public SidecarEventLoop(
            EventLoop executor, LongSupplier unixMillis, EventLog log, LongSupplier turns) {
        this.turnCount = turns;
        this.executor = executor;
        this.clock = new SidecarClock(executor.ticker(), unixMillis);
        this.log = log;
    }

    /** Netty's event loop, to make channels on. */
    public EventLoop executor() {
        return executor;
    }

    /** The log for what happens on this loop. */
    public EventLog log() {
        return log;
    }

    /** Turns of the event loop since its start; always 0 where nothing counts them. */
    public long turnCount() {
        return turnCount.getAsLong();
    }

    @Override
    public long nanoTime() {
        return clock.now();
    }

    @Override
    public ScheduledTask scheduleAt(long when, Runnable what) {
        return schedule(Math.max(0, when - nanoTime()), what);
    }

    /** This loop's time, in nanoseconds, of a Unix time in milliseconds; not later than now. */
    public long nanosOfUnixMillis(long millis) {
        return clock.nanosOfUnixMillis(millis);
    }

    /** Runs something once, so many nanoseconds from now. */
    public ScheduledTask schedule(long nanos, Runnable what) {
        return timer(executor.schedule(logFailures(what), nanos, TimeUnit.NANOSECONDS));
    }

    /**
     * Runs something periodically, so many nanoseconds after the end of the last run; at least a
     * millisecond, for shorter periods would leave the loop no time to wait.
     */
    public ScheduledTask scheduleAtFixedDelay(long nanos, Runnable what) {
        long period = Math.max(MIN_PERIOD_NANOS, nanos);
        return timer(
                executor.scheduleWithFixedDelay(
                        logFailures(what), period, period, TimeUnit.NANOSECONDS));
    }

    @Override
    public void execute(Runnable what) {
        executor.execute(logFailures(what));
    }

    private static ScheduledTask timer(Future<?> scheduled) {
        return () -> scheduled.cancel(false);
    }

    /** Logs what a task throws, which would else end in a future that nobody reads. */
    private Runnable logFailures(Runnable what) {
        return () -> {
            try {
                what.run();
            } catch (RuntimeException e) {
                log.failure("a task of the loop failed", e);
            }
        };
    }
}
