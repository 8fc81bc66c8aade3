package appleridge.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Ticker;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how often an event loop turns while it waits for its timers. */
@Timeout(60)
class NioIoHandlerFactoryTest {
    /**
     * Bound of turns for each timer: its own turn, turns that end too early because the system
     * rounds the wait, and turns for tasks.
     */
    private static final int TURNS_PER_TIMER = 6;

    private final NioIoHandlerFactory factory = new NioIoHandlerFactory();

    /**
     * Runs timers one after another, each with the given delay, and returns how many turns of the
     * loop they took.
     */
    private long turnsFor(SingleThreadIoEventLoop loop, int timers, long delayNanos)
            throws Exception {
        CountDownLatch done = new CountDownLatch(timers);
        long turnsBefore = loop.submit(factory::getAsLong).get();
        loop.execute(() -> scheduleNext(loop, done, delayNanos));
        done.await();
        return loop.submit(factory::getAsLong).get() - turnsBefore;
    }

    private static void scheduleNext(
            SingleThreadIoEventLoop loop, CountDownLatch done, long delayNanos) {
        loop.schedule(
                () -> {
                    done.countDown();
                    if (done.getCount() > 0) {
                        scheduleNext(loop, done, delayNanos);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Guards against a loop that spins during the last, partial millisecond before a timer is due.
     */
    @Test
    void timerBetweenWholeMillisecondsIsAwaitedWithoutSpinning() throws Exception {
        try (Group group = new Group(Ticker.systemTicker())) {
            int timers = 200;
            long turns = turnsFor(group.loop, timers, 3_400_000);
            assertTrue(turns <= timers * TURNS_PER_TIMER, "turns: " + turns);
        }
    }

    /**
     * Guards against a loop that spins when its ticker advances in steps: a wait that is computed
     * by another clock than the timers ends before the timer is due, and the loop spins for the
     * rest of the step.
     */
    @Test
    void timerOnASteppingTickerIsAwaitedWithoutSpinning() throws Exception {
        try (Group group = new Group(new SteppingTicker(TimeUnit.MILLISECONDS.toNanos(40)))) {
            int timers = 20;
            long turns = turnsFor(group.loop, timers, 400_000);
            long maxWaits = timers * 50L;
            assertTrue(turns <= maxWaits * TURNS_PER_TIMER, "turns: " + turns);
        }
    }

    /** Guards against timers that the rounding to whole milliseconds makes too late. */
    @Test
    void medianTimerFiresWithinTwoMilliseconds() throws Exception {
        try (Group group = new Group(Ticker.systemTicker())) {
            long delayNanos = 3_400_000;
            long[] lateness = new long[101];
            for (int i = 0; i < lateness.length; i++) {
                long start = System.nanoTime();
                CompletableFuture<Long> firedAt = new CompletableFuture<>();
                group.loop.schedule(
                        () -> firedAt.complete(System.nanoTime()),
                        delayNanos,
                        TimeUnit.NANOSECONDS);
                lateness[i] = firedAt.get() - start - delayNanos;
            }
            Arrays.sort(lateness);
            assertTrue(lateness[0] >= 0, "a timer fired early: " + lateness[0] + " ns");
            long median = lateness[lateness.length / 2];
            assertTrue(median < 2_000_000, "median lateness: " + median + " ns");
        }
    }

    /** A ticker that advances in steps of the given nanoseconds. */
    private record SteppingTicker(long stepNanos) implements Ticker {
        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public long nanoTime() {
            return System.nanoTime() / stepNanos * stepNanos;
        }

        @Override
        public void sleep(long delay, TimeUnit unit) throws InterruptedException {
            unit.sleep(delay);
        }
    }

    /** An event loop that uses the given ticker. */
    private final class Group implements AutoCloseable {
        private final IoEventLoopGroup parent = new MultiThreadIoEventLoopGroup(1, factory);
        private final SingleThreadIoEventLoop loop;

        Group(Ticker ticker) {
            loop =
                    new SingleThreadIoEventLoop(
                            parent, new DefaultThreadFactory("ticker-loop", true), factory) {
                        @Override
                        public Ticker ticker() {
                            return ticker;
                        }
                    };
        }

        @Override
        public void close() {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            parent.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
