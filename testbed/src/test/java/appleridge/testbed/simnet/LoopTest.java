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
    private static final long MS = World.MS;

    private final World world = new World(3);
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
    void playsTimersOfOneInstantInBothOrders() {
        Set<String> orders = new HashSet<>();
        for (int seed = 0; seed < 30; seed++) {
            World other = new World(seed);
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
    void playsATimerAndBytesOfOneInstantInBothOrders() throws Exception {
        Set<String> orders = new HashSet<>();
        for (int seed = 0; seed < 30; seed++) {
            Site site = new Site(seed, new SimLoop.Costs(0, 0, 0));
            site.serveNoting(10);
            SimChannel channel = site.connectNoting();
            site.heard.clear();
            World.write(channel.socket(), "bytes");
            site.server.schedule(() -> site.heard.add("timer"), 200_000, TimeUnit.NANOSECONDS);
            site.world.run(MS);
            orders.add(site.heard.toString());
            site.end();
        }
        assertEquals(Set.of("[timer, server reads bytes]", "[server reads bytes, timer]"), orders);
    }

    @Test
    void tellsForHowLongItHadAlwaysSomethingToDo() {
        SimLoop loaded = loop(new SimLoop.Costs(0, 0, 0));
        for (int i = 0; i < 3; i++) {
            loaded.execute(() -> loaded.pause(5 * MS));
        }
        loaded.schedule(() -> loaded.pause(9 * MS), 20, TimeUnit.MILLISECONDS);
        world.run(5 * MS);
        assertEquals(
                List.of(new SimLoop.BusyPeriod(0, 10 * MS)),
                loaded.busyPeriods(),
                "as far as it is known");
        world.run(35 * MS);
        assertEquals(
                List.of(new SimLoop.BusyPeriod(0, 15 * MS)),
                loaded.busyPeriods(),
                "another is too short");
    }

    @Test
    void standingStillIsNotBeingBusyButWhatWaitedThenIs() {
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
    void cancelledTimersLeaveAtOnce() {
        ScheduledFuture<?> timer = loop.schedule(note("never"), 10, TimeUnit.MILLISECONDS);
        assertEquals(10 * MS, timer.getDelay(TimeUnit.NANOSECONDS));
        assertTrue(timer.cancel(false));
        assertEquals(0, loop.pendingTimers());
        world.run(20 * MS);
        assertEquals(List.of(), done);
    }

    @Test
    void repeatsAtARateOrWithAGap() {
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
    void keepsWhatEscapesAndGoesOn() {
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
    void standsStillWhilePaused() {
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
    void isInTheLoopWhileItRunsSomethingOnItsThread() throws InterruptedException {
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
    void tasksAndReadingsOfTheClockCostTime() {
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
    void whatATaskWritesLeavesAtItsOwnTime() {
        Site site = new Site(4, new SimLoop.Costs(0, 0, 0));
        site.serveNoting(10);
        SimChannel channel = site.connectNoting();
        List<Long> written = new ArrayList<>();
        site.world.network.tap(
                new Tap() {
                    @Override
                    public void written(SimSocket by, byte[] bytes, int offset, int length) {
                        written.add(site.world.network.tapTime());
                    }
                });
        long before = site.world.simulation.now();
        site.client.execute(
                () -> {
                    channel.writeAndFlush(channel.alloc().buffer().writeByte('a'));
                    site.client.pause(5 * MS);
                    channel.writeAndFlush(channel.alloc().buffer().writeByte('b'));
                });
        site.world.run(MS);
        assertEquals(List.of(before, before + 5 * MS), written);
        assertEquals("server reads a", site.heard.get(site.heard.size() - 1));
        site.world.run(4 * MS);
        assertEquals("server reads a", site.heard.get(site.heard.size() - 1));
        site.world.run(MS);
        assertEquals("server reads b", site.heard.get(site.heard.size() - 1));
        assertEquals(before + 5 * MS, channel.socket().peer().sentAt());
        site.end();
    }

    @Test
    void theDeadDoNothing() {
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
