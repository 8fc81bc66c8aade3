package appleridge.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Makes the I/O part of one event loop on the JVM's sockets, which waits for its timers in whole
 * milliseconds and counts its turns.
 *
 * <p>Invariant: a loop with nothing to do waits in the system. Netty's own handler rounds the time
 * to the next timer to the nearest millisecond and, where that is 0, looks for events over and over
 * until the time has come: half a millisecond of the core for each timer, and more where the clock
 * moves in steps. A process with a part of a core pays for that by stalling later, for up to
 * seconds, with its clients unread.
 */
public final class NioEventLoopFactory implements IoHandlerFactory, LongSupplier {
    /** What the system can wait for, in nanoseconds; timers come up to as much late. */
    private static final long RESOLUTION = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandlerFactory nio = NioIoHandler.newFactory();

    /** Written by the event loop's thread alone. */
    private volatile long turns;

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new WaitingHandler(nio.newHandler(executor), ((EventExecutor) executor).ticker());
    }

    /** Turns of the loop since its start. */
    @Override
    public long getAsLong() {
        return turns;
    }

    private final class WaitingHandler implements IoHandler {
        private final IoHandler handler;
        private final WholeMilliseconds waits;

        WaitingHandler(IoHandler handler, Ticker ticker) {
            this.handler = handler;
            this.waits = new WholeMilliseconds(ticker);
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            turns = turns + 1;
            waits.context = context;
            return handler.run(waits);
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return handler.isCompatible(type);
        }
    }

    /**
     * The loop's own view of its timers, with each wait rounded up. It goes by the loop's ticker,
     * as the timers do: by another clock a timer could be over that the loop does not run yet.
     */
    private static final class WholeMilliseconds implements IoHandlerContext {
        private final Ticker ticker;
        private IoHandlerContext context;

        WholeMilliseconds(Ticker ticker) {
            this.ticker = ticker;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            // The context takes a time of the system's clock, which a ticker's time is ahead of by
            // its first.
            long delay = context.delayNanos(ticker.nanoTime() + ticker.initialNanoTime());
            boolean none = delay > Long.MAX_VALUE - RESOLUTION;
            return delay <= 0 || none ? delay : (delay + RESOLUTION - 1) / RESOLUTION * RESOLUTION;
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            context.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
