package appleridge.transport;

import appleridge.request.LogEvent;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects stalls and spins of an event loop, and counts and logs them. In a stall the periodic tick
 * runs late; in a spin the loop turns without an event to handle. Event loop only.
 */
public final class EventLoopMonitor {
    /** A tick that is late by more than this is a stall. */
    private static final long MIN_STALL_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Minimum turns of an interval that is a spin: more than the polls for the last half
     * millisecond before each of some tens of timers. A busy loop may exceed it as well, so a spin
     * also needs more than {@link #MAX_TURNS_PER_EVENT} turns for each event.
     */
    private static final long MIN_SPIN_TURNS = 30_000;

    /** Turns that one event may cause: for itself, its follow-up tasks and its timers. */
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
     * Creates a monitor of one event loop.
     *
     * @param periodNanos the time from one {@link #tick} to the next
     * @param eventCount returns the number of events handled since the start
     */
    public EventLoopMonitor(SidecarEventLoop loop, long periodNanos, LongSupplier eventCount) {
        this.loop = loop;
        this.periodNanos = periodNanos;
        this.eventCount = eventCount;
    }

    /** Checks the last interval; to be called periodically with the loop's time in nanoseconds. */
    public void tick(long now) {
        long turns = loop.turnCount();
        long events = eventCount.getAsLong();
        if (hasTicked) {
            checkInterval(
                    now - lastTickNanos - periodNanos, turns - lastTurns, events - lastEvents);
        }
        hasTicked = true;
        lastTickNanos = now;
        lastTurns = turns;
        lastEvents = events;
    }

    private void checkInterval(long lagNanos, long turns, long events) {
        boolean stalled = lagNanos > MIN_STALL_LAG_NANOS;
        boolean spinning = turns > MIN_SPIN_TURNS && turns > MAX_TURNS_PER_EVENT * events;
        if (stalled) {
            stalls++;
            longestLagNanos = Math.max(longestLagNanos, lagNanos);
        }
        if (spinning) {
            spins++;
        }
        if (stalled || spinning) {
            loop.log()
                    .event(
                            stalled ? LogEvent.EVENT_LOOP_STALL : LogEvent.EVENT_LOOP_SPIN,
                            () ->
                                    "lag_ms="
                                            + TimeUnit.NANOSECONDS.toMillis(lagNanos)
                                            + " turns="
                                            + turns
                                            + " events="
                                            + events);
        }
    }

    /** The number of stalls since the start. */
    public long stalls() {
        return stalls;
    }

    /** The number of intervals since the start in which the loop was spinning. */
    public long spins() {
        return spins;
    }

    /** The longest lag of a tick since the start, in milliseconds. */
    public long longestLagMillis() {
        return TimeUnit.NANOSECONDS.toMillis(longestLagNanos);
    }
}
