package appleridge.testbed.simnet;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * One process's event loop, stepped by the simulation. While the process is busy, as its last
 * task's cost is not over or it stands still, whatever comes waits. When it is free it takes one
 * of: a due timer, the first queued task, a channel with something to do; which one is drawn. All
 * it does is done at its local time, which runs ahead of the simulation's by what the task has cost
 * so far.
 *
 * <p>Nothing may wait for a future here: there is no other thread that could complete it. At the
 * end of a run each loop is ended with {@link #die()}, or what Netty keeps for every executor would
 * stay for ever.
 */
public final class SimLoop extends SteppedExecutor {
    /** Shorter whiles of being busy are not kept. */
    public static final long MIN_BUSY_PERIOD = 10_000_000;

    private static final int SCRATCH = 64 * 1024;
    private static final int ORIGIN = 1_000_000_000;

    /**
     * Mean nanoseconds that things take, drawn exponentially; 0: nothing.
     *
     * @param task a task, timer or turn of a channel
     * @param read each reading, writing, accepting or connecting of a socket on top of it
     * @param clock a reading of the clock
     */
    public record Costs(long task, long read, long clock) {}

    /** A while in which there was always something to do. */
    public record BusyPeriod(long from, long until) {}

    private final Simulation simulation;
    private final Host host;
    private final SeededRandom order;
    private final SeededRandom ties;
    private final SeededRandom prices;
    private final Costs costs;
    private final Thread thread = Thread.currentThread();
    private final UnpooledByteBufAllocator memory = new UnpooledByteBufAllocator(false, true);
    private final ByteBufAllocator allocator = new PreferHeapByteBufAllocator(memory);
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final Heap<SimTimer.Entry> timers = new Heap<>();
    private final List<SimIo> ready = new ArrayList<>();
    private final Set<Channel> channels = new LinkedHashSet<>();
    private final List<Throwable> uncaughtExceptions = new ArrayList<>();
    private final Promise<Void> termination = new DefaultPromise<>(ImmediateEventExecutor.INSTANCE);
    private final Runnable turning = this::turn;
    private final Ticker ticker;
    private byte[] scratch;
    private Simulation.Event wake;
    private long freeAt;

    /** Since when there was always something to do, up to {@link #freeAt}. */
    private long busySince;

    private final List<BusyPeriod> busy = new ArrayList<>();
    private long spent;
    private long serials;
    private long channelNumbers;
    private boolean running;
    private boolean dead;
    private boolean shuttingDown;
    private volatile Throwable foreignThreadCall;

    /** Belongs to the thread that makes it, as the whole simulation does. */
    public SimLoop(Simulation simulation, Host host, SeededRandom chance, Costs costs) {
        this.simulation = simulation;
        this.host = host;
        this.costs = costs;
        order = chance.stream("order");
        ties = chance.stream("timers");
        prices = chance.stream("costs");
        ticker = new SimTicker(this, chance.stream("clock").nextLong(ORIGIN) * ORIGIN);
    }

    // ---- the process

    public Host host() {
        return host;
    }

    /** This process's monotonic clock, with an origin of its own; never goes back. */
    @Override
    public Ticker ticker() {
        return ticker;
    }

    /**
     * Heap buffers, counted; all of this loop's channels take theirs here unless told otherwise.
     */
    public ByteBufAllocator allocator() {
        return allocator;
    }

    /** Bytes in buffers that were taken from the allocator and not yet given back. */
    public long usedMemory() {
        return memory.metric().usedHeapMemory() + memory.metric().usedDirectMemory();
    }

    public ChannelFactory<SimChannel> socketFactory() {
        return () -> new SimChannel(this);
    }

    public ChannelFactory<SimServerChannel> serverFactory() {
        return () -> new SimServerChannel(this);
    }

    /**
     * Stands still for so long from now on; in the middle of a task, if one is running. What
     * overlaps does not add up.
     */
    public void pause(long nanos) {
        if (running) {
            spend(nanos);
        } else {
            idle();
            freeAt = Math.max(freeAt, simulation.now() + nanos);
            busySince = freeAt;
            arm();
        }
    }

    /**
     * Nothing runs here any more; all that was planned is forgotten. The host's sockets are the
     * host's.
     */
    public void die() {
        if (!dead) {
            dead = true;
            tasks.clear();
            timers.clear();
            for (SimIo io : ready) {
                io.listed(false);
            }
            ready.clear();
            List<Channel> all = new ArrayList<>(channels);
            channels.clear();
            for (Channel channel : all) {
                ((SimIo) channel).forget();
            }
            if (wake != null) {
                wake.cancel();
            }
            termination.trySuccess(null);
        }
    }

    public boolean isDead() {
        return dead;
    }

    public int pendingTasks() {
        return tasks.size();
    }

    public int pendingTimers() {
        return timers.size();
    }

    /** Channels registered here, in the order of their registration. */
    public List<Channel> channels() {
        return new ArrayList<>(channels);
    }

    /** What was thrown out of tasks, timers and channels; a real loop logs it and goes on. */
    public List<Throwable> uncaughtExceptions() {
        return uncaughtExceptions;
    }

    /** Who came last from a thread that is not this loop's; null if nobody did. */
    public Throwable foreignThreadCall() {
        return foreignThreadCall;
    }

    /** The process's own present, in the simulation's time. */
    public long localNow() {
        return simulation.now() + spent;
    }

    /** When the process is done with what it did last, or no longer stands still. */
    public long freeAt() {
        return freeAt;
    }

    /**
     * Periods of at least {@link #MIN_BUSY_PERIOD} in which the loop was busy throughout, in order;
     * the last one may still be going on. A pause does not count as busy.
     */
    public List<BusyPeriod> busyPeriods() {
        if (freeAt - busySince < MIN_BUSY_PERIOD) {
            return busy;
        }
        List<BusyPeriod> all = new ArrayList<>(busy);
        all.add(new BusyPeriod(busySince, freeAt));
        return all;
    }

    /** What it was busy with is done. */
    private void idle() {
        if (freeAt - busySince >= MIN_BUSY_PERIOD) {
            busy.add(new BusyPeriod(busySince, freeAt));
        }
    }

    // ---- turns

    private void turn() {
        if (dead) {
            return;
        }
        long now = simulation.now();
        SimIo io = drawIo();
        SimTimer.Entry timer = timers.first();
        boolean due = timer != null && timer.due() <= now;
        int choices = (io == null ? 0 : 1) + (due ? 1 : 0) + (tasks.isEmpty() ? 0 : 1);
        if (choices > 0) {
            if (now > freeAt) {
                idle();
                busySince = now;
            }
            int choice = choices == 1 ? 0 : order.nextInt(choices);
            long cost = draw(costs.task());
            long before = cost > 0 ? prices.nextLong(cost + 1) : 0;
            running = true;
            spend(before);
            try {
                if (io != null && choice-- == 0) {
                    ready.remove(ready.size() - 1);
                    io.listed(false);
                    io.handle();
                    isReady(io);
                } else if (due && choice == 0) {
                    timers.remove(timer);
                    timer.timer().fire();
                } else {
                    tasks.poll().run();
                }
            } catch (Throwable e) {
                uncaughtExceptions.add(e);
            }
            running = false;
            freeAt = Math.max(freeAt, now + spent + cost - before);
            spent = 0;
            host.ahead(0);
            if (shuttingDown && tasks.isEmpty()) {
                die();
            }
        }
        arm();
    }

    /**
     * One of the channels that have something to do, put at the end of the list; null if none has.
     */
    private SimIo drawIo() {
        int last = ready.size() - 1;
        while (last >= 0) {
            int at = last == 0 ? 0 : order.nextInt(last + 1);
            SimIo drawn = ready.get(at);
            ready.set(at, ready.get(last));
            if (drawn.isReady()) {
                ready.set(last, drawn);
                return drawn;
            }
            ready.remove(last--);
            drawn.listed(false);
        }
        return null;
    }

    /** The loop looks at it at its next free moment, if it has something to do. */
    void isReady(SimIo io) {
        if (!dead && !io.isListed() && io.isReady()) {
            io.listed(true);
            ready.add(io);
            arm();
        }
    }

    private void arm() {
        if (running || dead) {
            return;
        }
        long when;
        if (!tasks.isEmpty() || !ready.isEmpty()) {
            when = freeAt;
        } else if (timers.size() > 0) {
            when = Math.max(freeAt, timers.first().due());
        } else {
            return;
        }
        when = Math.max(when, simulation.now());
        if (wake != null && wake.isPending()) {
            if (wake.when() == when) {
                return;
            }
            wake.cancel();
        }
        wake = simulation.at(when, turning);
    }

    // ---- what things cost

    void readClock() {
        if (running) {
            spend(draw(costs.clock()));
        }
    }

    void touchSocket() {
        if (running) {
            spend(draw(costs.read()));
        }
    }

    private void spend(long nanos) {
        spent += nanos;
        host.ahead(spent);
    }

    private long draw(long mean) {
        return mean == 0 ? 0 : (long) prices.exponential(mean);
    }

    // ---- channels

    SimChannelId newChannelId() {
        return new SimChannelId(host.name(), ++channelNumbers);
    }

    void registered(Channel channel) {
        channels.add(channel);
    }

    void deregistered(Channel channel) {
        channels.remove(channel);
    }

    byte[] scratch() {
        if (scratch == null) {
            scratch = new byte[SCRATCH];
        }
        return scratch;
    }

    // ---- the executor

    @Override
    public void execute(Runnable task) {
        Objects.requireNonNull(task);
        checkThread();
        if (dead) {
            if (shuttingDown) {
                throw new RejectedExecutionException("event executor terminated");
            }
            return;
        }
        tasks.add(task);
        arm();
    }

    @Override
    public boolean inEventLoop(Thread who) {
        return running && who == thread;
    }

    @Override
    <V> ScheduledFuture<V> plan(Callable<V> callable, long delay, long period) {
        checkThread();
        long due = localNow() + Math.max(0, delay);
        if (due < 0) {
            due = Long.MAX_VALUE;
        }
        SimTimer<V> timer = new SimTimer<>(this, callable, due, period, ties.nextLong(), serials++);
        plan(timer.entry());
        return timer;
    }

    void plan(SimTimer.Entry timer) {
        if (!dead) {
            timers.add(timer);
            arm();
        }
    }

    void drop(SimTimer.Entry timer) {
        timers.remove(timer);
    }

    private void checkThread() {
        if (Thread.currentThread() != thread) {
            foreignThreadCall =
                    new IllegalStateException(
                            "a second thread: " + Thread.currentThread().getName());
            throw new IllegalStateException(foreignThreadCall);
        }
    }

    // ---- the end

    /** All channels are closed, the queue is run to its end, then the future is done. */
    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        if (!shuttingDown && !dead) {
            shuttingDown = true;
            execute(() -> channels().forEach(Channel::close));
        }
        return termination;
    }

    @Override
    public Future<?> terminationFuture() {
        return termination;
    }

    @Override
    public boolean isShuttingDown() {
        return shuttingDown || dead;
    }

    @Override
    public boolean isShutdown() {
        return dead;
    }

    @Override
    public boolean isTerminated() {
        return dead;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return dead;
    }
}
