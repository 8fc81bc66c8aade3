package appleridge.testbed.simnet;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractEventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Maps the scheduling and registration methods of Netty's event loop interface to {@link #plan}.
 */
abstract class SteppedExecutor extends AbstractEventExecutor implements EventLoop {
    /** Schedules a timer; a period of 0: one-shot; positive: fixed rate; negative: fixed delay. */
    abstract <V> ScheduledFuture<V> plan(Callable<V> task, long delay, long period);

    @Override
    public final ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return plan(Executors.callable(command), unit.toNanos(delay), 0);
    }

    @Override
    public final <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        return plan(Objects.requireNonNull(callable), unit.toNanos(delay), 0);
    }

    @Override
    public final ScheduledFuture<?> scheduleAtFixedRate(
            Runnable command, long delay, long period, TimeUnit unit) {
        return plan(
                Executors.callable(command), unit.toNanos(delay), positive(unit.toNanos(period)));
    }

    @Override
    public final ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable command, long delay, long gap, TimeUnit unit) {
        return plan(Executors.callable(command), unit.toNanos(delay), -positive(unit.toNanos(gap)));
    }

    private static long positive(long nanos) {
        if (nanos <= 0) {
            throw new IllegalArgumentException("period must be positive: " + nanos);
        }
        return nanos;
    }

    @Override
    public final ChannelFuture register(Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public final ChannelFuture register(ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Deprecated
    @Override
    public final ChannelFuture register(Channel channel, ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    @Override
    public final boolean inEventLoop() {
        return inEventLoop(Thread.currentThread());
    }

    @Deprecated
    @Override
    public final void shutdown() {
        shutdownGracefully(0, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public final EventLoopGroup parent() {
        return (EventLoopGroup) super.parent();
    }

    @Override
    public final EventLoop next() {
        return this;
    }
}
