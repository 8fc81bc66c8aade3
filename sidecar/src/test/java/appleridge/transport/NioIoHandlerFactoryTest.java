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

/** How often an event loop turns while it waits for its timers. */
@Timeout(60)
class NioIoHandlerFactoryTest {
    /** For the timer's own turn, those that come too early by the system's rounding, and tasks. */
    private static final int TURNS_PER_TIMER = 6;

    private final NioIoHandlerFactory factory = new NioIoHandlerFactory();

    /**
     * Runs timers one after the other, each the given time after the last; the turns that this
     * took.
     */
    private long turnsFor(SingleThreadIoEventLoop loop, int timers, long delayNanos)
            throws Exception {
        CountDownLatch done = new CountDownLatch(timers);
        long before = loop.submit(factory::getAsLong).get();
        loop.execute(() -> next(loop, done, delayNanos));
        done.await();
        return loop.submit(factory::getAsLong).get() - before;
    }

    private static void next(SingleThreadIoEventLoop loop, CountDownLatch done, long delayNanos) {
        loop.schedule(
                () -> {
                    done.countDown();
                    if (done.getCount() > 0) {
                        next(loop, done, delayNanos);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Guards against a loop that uses its core up while the end of a timer's last millisecond is
     * awaited.
     */
    @Test
    void timerBetweenMillisecondsIsAwaitedWithoutSpinning() throws Exception {
        try (Group group = new Group(Ticker.systemTicker())) {
            int timers = 200;
            long turns = turnsFor(group.loop, timers, 3_400_000);
            assertTrue(turns <= timers * TURNS_PER_TIMER, "turns: " + turns);
        }
    }

    /**
     * Guards against the same where the loop's ticker moves in steps: waits that go by another
     * clock than the timers are over before a timer's time has come, and a timer costs a whole step
     * of the core's time.
     */
    @Test
    void coarseClockIsAwaitedWithoutSpinning() throws Exception {
        try (Group group = new Group(new SteppingTicker(TimeUnit.MILLISECONDS.toNanos(40)))) {
            int timers = 20;
            long turns = turnsFor(group.loop, timers, 400_000);
            long mostWaits = timers * 50L;
            assertTrue(turns <= mostWaits * TURNS_PER_TIMER, "turns: " + turns);
        }
    }

    /** Guards against the cure being worse: a timer comes soon after its time. */
    @Test
    void medianTimerFiresWithinTwoMilliseconds() throws Exception {
        try (Group group = new Group(Ticker.systemTicker())) {
            long after = 3_400_000;
            long[] late = new long[101];
            for (int i = 0; i < late.length; i++) {
                long began = System.nanoTime();
                CompletableFuture<Long> came = new CompletableFuture<>();
                group.loop.schedule(
                        () -> came.complete(System.nanoTime()), after, TimeUnit.NANOSECONDS);
                late[i] = came.get() - began - after;
            }
            Arrays.sort(late);
            assertTrue(late[0] >= 0, "never early: " + late[0]);
            assertTrue(late[late.length / 2] < 2_000_000, "late by: " + late[late.length / 2]);
        }
    }

    /** A clock that stands still for a step and then moves by one. */
    private record SteppingTicker(long step) implements Ticker {
        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public long nanoTime() {
            return System.nanoTime() / step * step;
        }

        @Override
        public void sleep(long delay, TimeUnit unit) throws InterruptedException {
            unit.sleep(delay);
        }
    }

    /** One event loop on a clock of its own. */
    private final class Group implements AutoCloseable {
        private final IoEventLoopGroup parent = new MultiThreadIoEventLoopGroup(1, factory);
        private final SingleThreadIoEventLoop loop;

        Group(Ticker ticker) {
            loop =
                    new SingleThreadIoEventLoop(
                            parent, new DefaultThreadFactory("stepping", true), factory) {
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
