package appleridge.lease.store;

import appleridge.transport.SystemTime;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The clock by which lease times are measured; it never goes backwards.
 *
 * <p>Java's monotonic clock continues while the process is stopped, but not while the machine is
 * suspended: measured by it alone, an expired lease would look valid after a resume. The clock
 * therefore follows whichever has advanced further, the monotonic clock or {@code /proc/uptime},
 * which includes suspension and has a resolution of 10 ms. Where there is no such file, a jump of
 * the wall clock against the monotonic one is taken for a suspension.
 *
 * <p>Thread-safe.
 */
public final class LeaseClock {
    /** Returned by the source of a clock that does not exist on this system. */
    public static final long NO_CLOCK = Long.MAX_VALUE;

    private static final Path UPTIME = Path.of("/proc/uptime");
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long HUNDREDTH_NANOS = SECOND_NANOS / 100;

    private final LongSupplier nanos;
    private final LongSupplier uptimeNanos;
    private final LongSupplier unixMillis;
    private final long maxJumpNanos;
    private final boolean countsSuspension;
    private final long firstNanos;
    private final long firstUptimeNanos;
    private long wallClockLeadNanos;
    private long lastNanos;

    /**
     * A point in time on both clocks, which all processes of a machine share.
     *
     * @param nanos the time of the monotonic clock
     * @param uptimeNanos the time since the machine's start; {@link #NO_CLOCK} if not available
     */
    public record Moment(long nanos, long uptimeNanos) {}

    /**
     * Creates a clock that reads the system's clocks.
     *
     * @param maxJumpNanos how far the wall clock may jump before the jump is taken for a suspension
     * @param log receives one line if {@code /proc/uptime} can't be read
     */
    public static LeaseClock system(long maxJumpNanos, Consumer<String> log) {
        return new LeaseClock(
                SystemTime.NANOS,
                LeaseClock::systemUptimeNanos,
                SystemTime.UNIX_MILLIS,
                maxJumpNanos,
                log);
    }

    /**
     * Creates a clock from the given sources.
     *
     * @param nanos monotonic, without suspension
     * @param uptimeNanos monotonic, with suspension; {@link #NO_CLOCK} for none
     * @param unixMillis the wall clock
     */
    public LeaseClock(
            LongSupplier nanos,
            LongSupplier uptimeNanos,
            LongSupplier unixMillis,
            long maxJumpNanos,
            Consumer<String> log) {
        this.nanos = nanos;
        this.uptimeNanos = uptimeNanos;
        this.unixMillis = unixMillis;
        this.maxJumpNanos = maxJumpNanos;
        this.firstNanos = nanos.getAsLong();
        this.firstUptimeNanos = uptimeNanos.getAsLong();
        this.countsSuspension = firstUptimeNanos != NO_CLOCK;
        this.lastNanos = firstNanos;
        this.wallClockLeadNanos = readWallClockLead();
        if (!countsSuspension) {
            log.accept(
                    "can't read /proc/uptime, so the machine's suspension is not measured: a jump"
                            + " of the wall clock of more than "
                            + TimeUnit.NANOSECONDS.toMillis(maxJumpNanos)
                            + " ms stops operations under a lease");
        }
    }

    /** The current time, in nanoseconds from an arbitrary origin. */
    public synchronized long nanoTime() {
        long now = nanos.getAsLong();
        long uptime = readUptime();
        if (uptime != NO_CLOCK) {
            now = Math.max(now, firstNanos + uptime - firstUptimeNanos);
        }
        lastNanos = Math.max(lastNanos, now);
        return lastNanos;
    }

    /** Whether the machine may have been suspended, unmeasured, since the previous call. */
    public synchronized boolean mayHaveSuspended() {
        long before = wallClockLeadNanos;
        wallClockLeadNanos = readWallClockLead();
        return !countsSuspension && Math.abs(wallClockLeadNanos - before) > maxJumpNanos;
    }

    /** The moment at which {@link #nanoTime} reaches {@code atNanos}. */
    public synchronized Moment moment(long atNanos) {
        long left = atNanos - nanoTime();
        long uptime = readUptime();
        return new Moment(nanos.getAsLong() + left, uptime == NO_CLOCK ? NO_CLOCK : uptime + left);
    }

    /** The time left until a moment, by the clock with less left; negative once it has passed. */
    public long nanosUntil(Moment moment) {
        long left = moment.nanos - nanos.getAsLong();
        long uptime = moment.uptimeNanos == NO_CLOCK ? NO_CLOCK : uptimeNanos.getAsLong();
        return uptime == NO_CLOCK ? left : Math.min(left, moment.uptimeNanos - uptime);
    }

    private long readUptime() {
        return countsSuspension ? uptimeNanos.getAsLong() : NO_CLOCK;
    }

    /** How far the wall clock is ahead of the monotonic one. */
    private long readWallClockLead() {
        return TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong()) - nanos.getAsLong();
    }

    private static long systemUptimeNanos() {
        try {
            return parseUptime(Files.readString(UPTIME));
        } catch (IOException e) {
            return NO_CLOCK;
        }
    }

    /**
     * Parses {@code /proc/uptime}: seconds since the machine's start, with two decimals, followed
     * by another number.
     *
     * @return nanoseconds; {@link #NO_CLOCK} if the text has another form
     */
    static long parseUptime(String text) {
        try {
            String uptime = text.substring(0, text.indexOf(' '));
            int point = uptime.indexOf('.');
            return Long.parseLong(uptime.substring(0, point)) * SECOND_NANOS
                    + Long.parseLong(uptime.substring(point + 1)) * HUNDREDTH_NANOS;
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            return NO_CLOCK;
        }
    }
}
