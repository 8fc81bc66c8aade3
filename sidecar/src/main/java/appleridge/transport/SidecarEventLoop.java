package appleridge.transport;

import appleridge.request.EventLog;
import appleridge.request.MonotonicClock;
import appleridge.request.Scheduler;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one thread that owns a sidecar's sockets, timers and module, and its time: all of it is the
 * event loop's ticker's, so that a loop on another ticker lives in another time.
 */
public final class SidecarEventLoop implements MonotonicClock, Scheduler {
    /** Nanoseconds between two runs of periodic work, at the least. */
    private static final long SHORTEST_PERIOD = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop executor;
    private final SidecarClock clock;
    private final EventLog log;
    private final LongSupplier turns;

    /** With the wall clock's Unix time in milliseconds. */
    public SidecarEventLoop(EventLoop executor, LongSupplier unixMillis, EventLog log) {
        this(executor, unixMillis, log, () -> 0);
    }

    /**
     * The same; with what counts the turns of the event loop, each of which looks for events once.
     */
    public SidecarEventLoop(
            EventLoop executor, LongSupplier unixMillis, EventLog log, LongSupplier turns) {
        this.turns = turns;
        this.executor = executor;
        this.clock = new SidecarClock(executor.ticker(), unixMillis);
        this.log = log;
    }

    /** The event loop itself, to make channels on. */
    public EventLoop executor() {
        return executor;
    }

    /** Where what happens here is written down. */
    public EventLog log() {
        return log;
    }

    /** Turns of the event loop since its start; always 0 where nothing counts them. */
    public long turns() {
        return turns.getAsLong();
    }

    @Override
    public long nanoTime() {
        return clock.now();
    }

    @Override
    public ScheduledTask scheduleAt(long when, Runnable what) {
        return after(Math.max(0, when - nanoTime()), what);
    }

    /** The place of a Unix time in milliseconds on this loop's clock; not later than now. */
    public long place(long millis) {
        return clock.place(millis);
    }

    /** Runs something so many nanoseconds from now. */
    public ScheduledTask after(long nanos, Runnable what) {
        return timer(executor.schedule(guarded(what), nanos, TimeUnit.NANOSECONDS));
    }

    /**
     * Runs something over and over, so many nanoseconds after the last time; a millisecond at the
     * least. Shorter periods, as they come out of settings with short times, would leave the loop
     * no moment to wait.
     */
    public ScheduledTask every(long nanos, Runnable what) {
        long period = Math.max(SHORTEST_PERIOD, nanos);
        return timer(
                executor.scheduleWithFixedDelay(
                        guarded(what), period, period, TimeUnit.NANOSECONDS));
    }

    @Override
    public void execute(Runnable what) {
        executor.execute(guarded(what));
    }

    private static ScheduledTask timer(Future<?> scheduled) {
        return () -> scheduled.cancel(false);
    }

    /** Danger: an exception in a scheduled task ends up in a future that no one looks at. */
    private Runnable guarded(Runnable what) {
        return () -> {
            try {
                what.run();
            } catch (RuntimeException e) {
                log.failure("a task of the loop failed", e);
            }
        };
    }
}
