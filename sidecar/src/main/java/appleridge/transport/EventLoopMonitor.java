package appleridge.transport;

import appleridge.request.LogEvent;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Watches an event loop from within: how late its periodic work runs (a stall), and whether it
 * turns without anything to do (a spin). Both are counted and logged. Loop thread only.
 */
public final class EventLoopMonitor {
    /** Lag beyond which a tick counts as a stall. */
    private static final long MIN_STALL_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Turns in one interval beyond which they may be a spin; a busy interval has some for each
     * event.
     */
    private static final long MIN_SPIN_TURNS = 2000;

    /** Turns that one event may take: for itself, the tasks that follow and its timers. */
    private static final long MAX_TURNS_PER_EVENT = 10;

    private final SidecarEventLoop loop;
    private final long periodNanos;
    private final LongSupplier eventCount;
    private boolean hasTicked;
    private long lastTickNanos;
    private long lastTurns;
    private long lastEvents;
    private long stalls;
    private long spins;
    private long longestLagNanos;

    /**
     * For one loop.
     *
     * @param periodNanos from one {@link #tick} to the next
     * @param eventCount of events that have been handled since the start
     */
    public EventLoopMonitor(SidecarEventLoop loop, long period, LongSupplier events) {
        this.loop = loop;
        this.periodNanos = period;
        this.eventCount = events;
    }

    /** To be called by the loop's periodic work, with the loop's time. */
    public void tick(long now) {
        long turns = loop.turnCount();
        long handled = eventCount.getAsLong();
        if (hasTicked) {
            checkInterval(
                    now - lastTickNanos - periodNanos, turns - lastTurns, handled - lastEvents);
        }
        hasTicked = true;
        lastTickNanos = now;
        lastTurns = turns;
        lastEvents = handled;
    }

    private void checkInterval(long lagNanos, long turns, long handled) {
        boolean stalled = lagNanos > MIN_STALL_LAG_NANOS;
        boolean spun = turns > MIN_SPIN_TURNS && turns > MAX_TURNS_PER_EVENT * handled;
        if (stalled) {
            stalls++;
            longestLagNanos = Math.max(longestLagNanos, lagNanos);
        }
        if (spun) {
            spins++;
        }
        if (stalled || spun) {
            loop.log()
                    .event(
                            stalled ? LogEvent.EVENT_LOOP_STALL : LogEvent.EVENT_LOOP_SPIN,
                            () ->
                                    "lag_ms="
                                            + TimeUnit.NANOSECONDS.toMillis(lagNanos)
                                            + " turns="
                                            + turns
                                            + " events="
                                            + handled);
        }
    }

    /** Ticks that were late by more than a stall's lag, since the start. */
    public long stalls() {
        return stalls;
    }

    /** Intervals in which the loop turned without anything to do, since the start. */
    public long spins() {
        return spins;
    }

    /** The longest lag of a tick since the start, in milliseconds. */
    public long longestLagMillis() {
        return TimeUnit.NANOSECONDS.toMillis(longestLagNanos);
    }
}
