package appleridge.lease.store;

import appleridge.transport.SystemTime;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The clock that leases are counted by; it never runs back. Danger: Java's monotonic clock goes on
 * while the process is stopped but not while the machine sleeps, and who wakes from that would take
 * its lease for young. So the larger progress counts of it and of {@code /proc/uptime}, which
 * counts sleep too, to 10 ms. Where there is no such file, a jump of the wall clock against the
 * monotonic one is taken for a sleep.
 */
public final class LeaseClock {
    /** What the source of a clock says where there is none. */
    public static final long NO_CLOCK = Long.MAX_VALUE;

    private static final Path UPTIME = Path.of("/proc/uptime");
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier nanos;
    private final LongSupplier uptime;
    private final LongSupplier unixMillis;
    private final long mostJump;
    private final boolean countsSleep;
    private final long nanosFirst;
    private final long uptimeFirst;
    private long wallLead;
    private long last;

    /**
     * A moment by both clocks, which all processes of a machine share.
     *
     * @param uptime {@link #NO_CLOCK} where there is no such clock
     */
    public record Moment(long nanos, long uptimeNanos) {}

    /** The system's; without {@code /proc/uptime} it says so. */
    public static LeaseClock system(long mostJump, Consumer<String> log) {
        return new LeaseClock(
                SystemTime.NANOS, LeaseClock::uptime, SystemTime.UNIX_MILLIS, mostJump, log);
    }

    /** By other clocks than the system's. */
    public LeaseClock(
            LongSupplier nanos,
            LongSupplier uptime,
            LongSupplier unixMillis,
            long mostJump,
            Consumer<String> log) {
        this.nanos = nanos;
        this.uptime = uptime;
        this.unixMillis = unixMillis;
        this.mostJump = mostJump;
        this.nanosFirst = nanos.getAsLong();
        this.uptimeFirst = uptime.getAsLong();
        this.countsSleep = uptimeFirst != NO_CLOCK;
        this.last = nanosFirst;
        this.wallLead = wallLead();
        if (!countsSleep) {
            log.accept(
                    "no clock counts while the machine sleeps (/proc/uptime can't be read): a jump"
                            + " of the wall clock of more than "
                            + TimeUnit.NANOSECONDS.toMillis(mostJump)
                            + " ms ends what is done under a lease");
        }
    }

    /** Now, in nanoseconds from anywhere. */
    public synchronized long nanoTime() {
        long now = nanos.getAsLong();
        long awake = countsSleep ? uptime.getAsLong() : NO_CLOCK;
        if (awake != NO_CLOCK) {
            now = Math.max(now, nanosFirst + awake - uptimeFirst);
        }
        last = Math.max(last, now);
        return last;
    }

    /** Whether the machine may have slept unseen since this was asked before. */
    public synchronized boolean mayHaveSuspended() {
        long before = wallLead;
        wallLead = wallLead();
        return !countsSleep && Math.abs(wallLead - before) > mostJump;
    }

    /** The moment at which this clock says {@code at}. */
    public synchronized Moment moment(long at) {
        long left = at - nanoTime();
        long awake = countsSleep ? uptime.getAsLong() : NO_CLOCK;
        return new Moment(nanos.getAsLong() + left, awake == NO_CLOCK ? NO_CLOCK : awake + left);
    }

    /** How long it is until a moment, by the clock that says less. */
    public long nanosUntil(Moment moment) {
        long left = moment.nanos - nanos.getAsLong();
        long awake = moment.uptimeNanos == NO_CLOCK ? NO_CLOCK : uptime.getAsLong();
        return awake == NO_CLOCK ? left : Math.min(left, moment.uptimeNanos - awake);
    }

    private long wallLead() {
        return TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong()) - nanos.getAsLong();
    }

    private static long uptime() {
        try {
            return parse(Files.readString(UPTIME));
        } catch (IOException e) {
            return NO_CLOCK;
        }
    }

    /** Seconds since the machine's start, with their hundredths, and another number. */
    static long parse(String text) {
        try {
            String first = text.substring(0, text.indexOf(' '));
            int point = first.indexOf('.');
            return Long.parseLong(first.substring(0, point)) * SECOND
                    + Long.parseLong(first.substring(point + 1)) * (SECOND / 100);
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            return NO_CLOCK;
        }
    }
}
