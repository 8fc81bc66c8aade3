package appleridge.testbed.simnet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoopTest {
    private static final long MS = TwoHosts.MS;

    private final TwoHosts world = new TwoHosts(3);
    private final List<String> done = new ArrayList<>();
    private SimLoop loop = loop(new SimLoop.Costs(0, 0, 0));

    private SimLoop loop(SimLoop.Costs costs) {
        return new SimLoop(world.simulation, world.a, world.chance.stream("loop"), costs);
    }

    private Runnable note(String what) {
        return () -> done.add(world.simulation.now() / MS + " " + what);
    }

    @Test
    void runsTasksInOrderAndTimersInTime() {
        loop.schedule(note("late"), 20, TimeUnit.MILLISECONDS);
        loop.schedule(note("early"), 10, TimeUnit.MILLISECONDS);
        loop.execute(note("first"));
        loop.execute(note("second"));
        assertEquals(2, loop.pendingTasks());
        assertEquals(2, loop.pendingTimers());
        world.run(30 * MS);
        assertEquals(List.of("0 first", "0 second", "10 early", "20 late"), done);
    }

    @Test
    void runsSimultaneousTimersInBothOrders() {
        Set<String> orders = new HashSet<>();
        for (int seed = 0; seed < 30; seed++) {
            TwoHosts other = new TwoHosts(seed);
            SimLoop its =
                    new SimLoop(
                            other.simulation, other.a, other.chance, new SimLoop.Costs(0, 0, 0));
            StringBuilder order = new StringBuilder();
            its.schedule(() -> order.append("a"), 1, TimeUnit.MILLISECONDS);
            its.schedule(() -> order.append("b"), 1, TimeUnit.MILLISECONDS);
            other.run(MS);
            orders.add(order.toString());
        }
        assertEquals(Set.of("ab", "ba"), orders);
    }

    @Test
    void handlesASimultaneousTimerAndReadInBothOrders() throws Exception {
        Set<String> orders = new HashSet<>();
        for (int seed = 0; seed < 30; seed++) {
            NettyPair pair = new NettyPair(seed, new SimLoop.Costs(0, 0, 0));
            pair.serveRecording(10);
            SimChannel channel = pair.connectRecording();
            pair.events.clear();
            TwoHosts.write(channel.socket(), "bytes");
            pair.server.schedule(() -> pair.events.add("timer"), 200_000, TimeUnit.NANOSECONDS);
            pair.world.run(MS);
            orders.add(pair.events.toString());
            pair.stop();
        }
        assertEquals(Set.of("[timer, server reads bytes]", "[server reads bytes, timer]"), orders);
    }

    @Test
    void reportsPeriodsInWhichItAlwaysHadWork() {
        SimLoop loaded = loop(new SimLoop.Costs(0, 0, 0));
        for (int i = 0; i < 3; i++) {
            loaded.execute(() -> loaded.pause(5 * MS));
        }
        loaded.schedule(() -> loaded.pause(9 * MS), 20, TimeUnit.MILLISECONDS);
        world.run(5 * MS);
        assertEquals(
                List.of(new SimLoop.BusyPeriod(0, 10 * MS)),
                loaded.busyPeriods(),
                "the period so far");
        world.run(35 * MS);
        assertEquals(
                List.of(new SimLoop.BusyPeriod(0, 15 * MS)),
                loaded.busyPeriods(),
                "the second period is too short");
    }

    @Test
    void countsWorkAfterAPauseAsBusyButNotThePause() {
        world.run(MS);
        loop.execute(() -> loop.pause(12 * MS));
        world.run(50 * MS);
        loop.pause(100 * MS);
        loop.execute(() -> loop.pause(11 * MS));
        world.run(300 * MS);
        assertEquals(
                List.of(
                        new SimLoop.BusyPeriod(MS, 13 * MS),
                        new SimLoop.BusyPeriod(151 * MS, 162 * MS)),
                loop.busyPeriods());
    }

    @Test
    void removesCancelledTimersImmediately() {
        ScheduledFuture<?> timer = loop.schedule(note("never"), 10, TimeUnit.MILLISECONDS);
        assertEquals(10 * MS, timer.getDelay(TimeUnit.NANOSECONDS));
        assertTrue(timer.cancel(false));
        assertEquals(0, loop.pendingTimers());
        world.run(20 * MS);
        assertEquals(List.of(), done);
    }

    @Test
    void repeatsAtAFixedRateOrWithAFixedDelay() {
        ScheduledFuture<?> rate =
                loop.scheduleAtFixedRate(note("rate"), 10, 10, TimeUnit.MILLISECONDS);
        world.run(35 * MS);
        rate.cancel(false);
        world.run(35 * MS);
        assertEquals(List.of("10 rate", "20 rate", "30 rate"), done);
        done.clear();
        loop.scheduleWithFixedDelay(
                () -> {
                    note("gap").run();
                    loop.pause(5 * MS);
                },
                10,
                10,
                TimeUnit.MILLISECONDS);
        world.run(40 * MS);
        assertEquals(List.of("80 gap", "95 gap", "110 gap"), done);
    }

    @Test
    void recordsUncaughtExceptionsAndContinues() {
        loop.execute(
                () -> {
                    throw new IllegalStateException("task");
                });
        ScheduledFuture<?> timer =
                loop.schedule(
                        () -> {
                            throw new IllegalStateException("timer");
                        },
                        1,
                        TimeUnit.MILLISECONDS);
        loop.schedule(note("goes on"), 2, TimeUnit.MILLISECONDS);
        world.run(5 * MS);
        assertEquals(
                List.of("task", "timer"),
                loop.uncaughtExceptions().stream().map(Throwable::getMessage).toList());
        assertEquals("timer", timer.cause().getMessage());
        assertEquals(List.of("2 goes on"), done);
    }

    @Test
    void runsNothingWhilePaused() {
        loop.pause(50 * MS);
        loop.execute(note("task"));
        loop.schedule(note("timer"), 10, TimeUnit.MILLISECONDS);
        world.run(49 * MS);
        assertEquals(List.of(), done);
        world.run(MS);
        assertEquals(2, done.size());
        assertTrue(done.contains("50 task") && done.contains("50 timer"), done.toString());
    }

    @Test
    void isInEventLoopOnlyWhileRunningATaskOnItsThread() throws InterruptedException {
        assertFalse(loop.inEventLoop());
        loop.execute(() -> done.add("in " + loop.inEventLoop()));
        world.run(MS);
        assertEquals(List.of("in true"), done);
        Thread other =
                new Thread(
                        () ->
                                assertThrows(
                                        IllegalStateException.class,
                                        () -> loop.execute(note("never"))));
        other.start();
        other.join();
        assertEquals(0, loop.pendingTasks());
        assertTrue(
                loop.foreignThreadCall()
                        .getMessage()
                        .startsWith("call from a foreign thread: Thread-"));
    }

    @Test
    void tasksAndClockReadingsCostTime() {
        loop = loop(new SimLoop.Costs(10_000, 2_000, 1_000));
        List<Long> readings = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            loop.execute(
                    () -> {
                        readings.add(loop.ticker().nanoTime());
                        readings.add(loop.ticker().nanoTime());
                    });
        }
        world.run(100 * MS);
        long within = 0;
        for (int i = 1; i < readings.size(); i++) {
            assertTrue(readings.get(i) >= readings.get(i - 1));
            within += i % 2 == 1 ? readings.get(i) - readings.get(i - 1) : 0;
        }
        assertEquals(1_000, within / 100, 300);
        assertEquals(12_000, (readings.get(199) - readings.get(0)) / 100, 4_000);
        assertNotEquals(loop.ticker().initialNanoTime(), world.simulation.now());
    }

    @Test
    void bytesWrittenByATaskAreSentAtItsLocalTime() {
        NettyPair pair = new NettyPair(4, new SimLoop.Costs(0, 0, 0));
        pair.serveRecording(10);
        SimChannel channel = pair.connectRecording();
        List<Long> written = new ArrayList<>();
        pair.world.network.tap(
                new Tap() {
                    @Override
                    public void written(SimSocket by, byte[] bytes, int offset, int length) {
                        written.add(pair.world.network.tapTime());
                    }
                });
        long before = pair.world.simulation.now();
        pair.client.execute(
                () -> {
                    channel.writeAndFlush(channel.alloc().buffer().writeByte('a'));
                    pair.client.pause(5 * MS);
                    channel.writeAndFlush(channel.alloc().buffer().writeByte('b'));
                });
        pair.world.run(MS);
        assertEquals(List.of(before, before + 5 * MS), written);
        assertEquals("server reads a", pair.events.get(pair.events.size() - 1));
        pair.world.run(4 * MS);
        assertEquals("server reads a", pair.events.get(pair.events.size() - 1));
        pair.world.run(MS);
        assertEquals("server reads b", pair.events.get(pair.events.size() - 1));
        assertEquals(before + 5 * MS, channel.socket().peer().sentAt());
        pair.stop();
    }

    @Test
    void deadLoopRunsNothing() {
        loop.execute(note("never"));
        loop.schedule(note("never"), 1, TimeUnit.MILLISECONDS);
        loop.die();
        loop.execute(note("never"));
        loop.schedule(note("never"), 1, TimeUnit.MILLISECONDS);
        world.run(10 * MS);
        assertEquals(List.of(), done);
        assertEquals(0, loop.pendingTasks() + loop.pendingTimers());
        assertTrue(loop.terminationFuture().isDone());
    }
}
