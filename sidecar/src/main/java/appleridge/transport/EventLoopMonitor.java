package appleridge.transport;

import appleridge.request.LogEvent;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Watches an event loop from within: how late its periodic work comes (a stall), and whether it
 * turns without anything to do (a spin). Both are logged with what else is known of the interval,
 * and counted.
 */
public final class EventLoopMonitor {
    /** Nanoseconds of lag from which on a tick counts as a stall. */
    private static final long STALL = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Turns in one interval from which on they may be a spin: some for each event of a busy
     * interval.
     */
    private static final long MANY_TURNS = 2000;

    /** An event takes a few turns: for the event itself, the tasks that follow, its timers. */
    private static final long TURNS_PER_EVENT = 10;

    private final SidecarEventLoop loop;
    private final long period;
    private final LongSupplier events;
    private boolean begun;
    private long lastTick;
    private long lastTurns;
    private long lastEvents;
    private long stalls;
    private long spins;
    private long longestLag;

    /**
     * With the nanoseconds from one {@link #tick} to the next, and the number of events that have
     * been handled since the start.
     */
    public EventLoopMonitor(SidecarEventLoop loop, long period, LongSupplier events) {
        this.loop = loop;
        this.period = period;
        this.events = events;
    }

    /** To be called by the loop's periodic work, with the time as of then. */
    public void tick(long now) {
        long turns = loop.turns();
        long handled = events.getAsLong();
        if (begun) {
            look(now - lastTick - period, turns - lastTurns, handled - lastEvents);
        }
        begun = true;
        lastTick = now;
        lastTurns = turns;
        lastEvents = handled;
    }

    private void look(long lag, long turns, long handled) {
        boolean stalled = lag > STALL;
        boolean spun = turns > MANY_TURNS && turns > TURNS_PER_EVENT * handled;
        if (stalled) {
            stalls++;
            longestLag = Math.max(longestLag, lag);
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
                                            + TimeUnit.NANOSECONDS.toMillis(lag)
                                            + " turns="
                                            + turns
                                            + " events="
                                            + handled);
        }
    }

    /** Ticks that came late, since the start. */
    public long stalls() {
        return stalls;
    }

    /** Intervals in which the loop turned without anything to do, since the start. */
    public long spins() {
        return spins;
    }

    /** The longest lag of a tick since the start, in milliseconds. */
    public long longestLagMillis() {
        return TimeUnit.NANOSECONDS.toMillis(longestLag);
    }
}
