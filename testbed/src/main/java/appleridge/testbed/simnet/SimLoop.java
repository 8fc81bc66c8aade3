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
 * The event loop of one process, stepped by the simulation. While the process is busy (the cost of
 * its last task has not elapsed) or paused, events wait. When it is free, each turn handles one of:
 * a due timer, the first queued task, a ready channel; which of them is drawn at random. A task
 * runs at the process's local time, which is ahead of the simulation's by what the task has cost so
 * far.
 *
 * <p>Never block on a future here: no other thread could complete it. At the end of a run call
 * {@link #die()} on each loop; otherwise the state that Netty keeps per executor leaks.
 */
public final class SimLoop extends SteppedExecutor {
    /** Busy periods shorter than this are not recorded; nanoseconds. */
    public static final long MIN_BUSY_PERIOD = 10_000_000;

    private static final int SCRATCH_BYTES = 64 * 1024;
    private static final int ORIGIN_RANGE = 1_000_000_000;

    /**
     * Mean simulated costs in nanoseconds, drawn from exponential distributions; 0: free.
     *
     * @param task a task, a timer or the handling of a ready channel
     * @param read each read, write, accept or connect of a socket, in addition
     * @param clock a reading of the clock
     */
    public record Costs(long task, long read, long clock) {}

    /** A period during which the loop always had work; times in the simulation's nanoseconds. */
    public record BusyPeriod(long from, long until) {}

    private final Simulation simulation;
    private final Host host;
    private final SeededRandom order;
    private final SeededRandom ties;
    private final SeededRandom costRandom;
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
    private final Runnable turnTask = this::turn;
    private final Ticker ticker;
    private byte[] scratch;
    private Simulation.Event wake;
    private long freeAt;

    /** Start of the current busy period, which ends at {@link #freeAt}. */
    private long busySince;

    private final List<BusyPeriod> busyPeriods = new ArrayList<>();
    private long spent;

    /** When a turn last found no channel ready; negative before the first. */
    private long nothingReadyAt = -1;

    private long serials;
    private long channelNumbers;
    private boolean running;
    private boolean dead;
    private boolean shuttingDown;
    private volatile Throwable foreignThreadCall;

    /** The loop may be used only on the thread that creates it, like the whole simulation. */
    public SimLoop(Simulation simulation, Host host, SeededRandom chance, Costs costs) {
        this.simulation = simulation;
        this.host = host;
        this.costs = costs;
        order = chance.stream("order");
        ties = chance.stream("timers");
        costRandom = chance.stream("costs");
        ticker = new SimTicker(this, chance.stream("clock").nextLong(ORIGIN_RANGE) * ORIGIN_RANGE);
    }

    // ---- the process

    public Host host() {
        return host;
    }

    /** The monotonic clock of this process; its origin differs from process to process. */
    @Override
    public Ticker ticker() {
        return ticker;
    }

    /** The default allocator of this loop's channels: heap buffers, whose memory use is counted. */
    public ByteBufAllocator allocator() {
        return allocator;
    }

    /** Bytes of the allocator's buffers that are not released yet. */
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
     * Pauses the process from now on; within a task, the time is added to the task's cost.
     * Overlapping pauses between tasks do not add up.
     */
    public void pause(long nanos) {
        if (running) {
            spend(nanos);
        } else {
            endBusyPeriod();
            freeAt = Math.max(freeAt, simulation.now() + nanos);
            busySince = freeAt;
            arm();
        }
    }

    /**
     * Stops the loop and discards its tasks and timers. Does not close the sockets: they belong to
     * the host.
     */
    public void die() {
        if (!dead) {
            dead = true;
            tasks.clear();
            timers.clear();
            for (SimIo io : ready) {
                io.queued(false);
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

    /** The channels registered with this loop, in order of registration. */
    public List<Channel> channels() {
        return new ArrayList<>(channels);
    }

    /** Exceptions thrown by tasks, timers and channels. A real loop logs them and continues. */
    public List<Throwable> uncaughtExceptions() {
        return uncaughtExceptions;
    }

    /** The last call from a thread other than this loop's, as an exception; null if none. */
    public Throwable foreignThreadCall() {
        return foreignThreadCall;
    }

    /** The process's local time, on the simulation's time scale. */
    public long localNow() {
        return simulation.now() + spent;
    }

    /**
     * For how long a channel may have been ready without having been handled; negative: unknown.
     */
    public long readySince() {
        return nothingReadyAt < 0 ? -1 : localNow() - nothingReadyAt;
    }

    /** When the cost of the last task has elapsed and any pause is over. */
    public long freeAt() {
        return freeAt;
    }

    /**
     * Periods of at least {@link #MIN_BUSY_PERIOD} in which the loop was busy throughout, in order;
     * the last one may still be going on. A pause between tasks does not count as busy.
     */
    public List<BusyPeriod> busyPeriods() {
        if (freeAt - busySince < MIN_BUSY_PERIOD) {
            return busyPeriods;
        }
        List<BusyPeriod> all = new ArrayList<>(busyPeriods);
        all.add(new BusyPeriod(busySince, freeAt));
        return all;
    }

    /** Records the current busy period, if it was long enough. */
    private void endBusyPeriod() {
        if (freeAt - busySince >= MIN_BUSY_PERIOD) {
            busyPeriods.add(new BusyPeriod(busySince, freeAt));
        }
    }

    // ---- turns

    private void turn() {
        if (dead) {
            return;
        }
        long now = simulation.now();
        SimIo io = drawReadyChannel();
        if (io == null) {
            nothingReadyAt = now;
        }
        SimTimer.Entry timer = timers.first();
        boolean due = timer != null && timer.due() <= now;
        int choices = (io == null ? 0 : 1) + (due ? 1 : 0) + (tasks.isEmpty() ? 0 : 1);
        if (choices > 0) {
            if (now > freeAt) {
                endBusyPeriod();
                busySince = now;
            }
            int choice = choices == 1 ? 0 : order.nextInt(choices);
            long cost = draw(costs.task());
            long before = cost > 0 ? costRandom.nextLong(cost + 1) : 0;
            running = true;
            spend(before);
            try {
                if (io != null && choice-- == 0) {
                    ready.remove(ready.size() - 1);
                    io.queued(false);
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
            host.setLead(0);
            if (shuttingDown && tasks.isEmpty()) {
                die();
            }
        }
        arm();
    }

    /**
     * Draws one of the ready channels and moves it to the end of the list; null if none is ready.
     * Channels that are no longer ready are dropped from the list.
     */
    private SimIo drawReadyChannel() {
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
            drawn.queued(false);
        }
        return null;
    }

    /** Queues the channel for a later turn if it has pending I/O events. */
    void isReady(SimIo io) {
        if (!dead && !io.isQueued() && io.isReady()) {
            io.queued(true);
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
        wake = simulation.at(when, turnTask);
    }

    // ---- costs

    void chargeClockReading() {
        if (running) {
            spend(draw(costs.clock()));
        }
    }

    void chargeSocketCall() {
        if (running) {
            spend(draw(costs.read()));
        }
    }

    private void spend(long nanos) {
        spent += nanos;
        host.setLead(spent);
    }

    private long draw(long mean) {
        return mean == 0 ? 0 : (long) costRandom.exponential(mean);
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
            scratch = new byte[SCRATCH_BYTES];
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

    void remove(SimTimer.Entry timer) {
        timers.remove(timer);
    }

    private void checkThread() {
        if (Thread.currentThread() != thread) {
            foreignThreadCall =
                    new IllegalStateException(
                            "call from a foreign thread: " + Thread.currentThread().getName());
            throw new IllegalStateException(foreignThreadCall);
        }
    }

    // ---- the end

    /** Closes all channels, runs the queued tasks and then completes the future. */
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
