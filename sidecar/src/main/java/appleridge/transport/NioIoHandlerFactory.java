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
 * Makes the I/O handler of one event loop on the JVM's sockets, which waits for timers in whole
 * milliseconds and counts its turns.
 *
 * <p>Invariant: a loop with nothing to do waits in the system. Netty's own handler rounds the time
 * to the next timer to the nearest millisecond and, where that is 0, polls until it is due; a
 * process limited to a part of a core would be throttled for that, and stall.
 */
public final class NioIoHandlerFactory implements IoHandlerFactory, LongSupplier {
    /** The least that the system can wait for; timers run up to as much late. */
    private static final long RESOLUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandlerFactory nio = NioIoHandler.newFactory();

    /** Written by the event loop's thread alone. */
    private volatile long turns;

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new TurnCountingHandler(
                nio.newHandler(executor), ((EventExecutor) executor).ticker());
    }

    /** Turns of the loop since its start. */
    @Override
    public long getAsLong() {
        return turns;
    }

    private final class TurnCountingHandler implements IoHandler {
        private final IoHandler handler;
        private final WholeMillisecondDelays waits;

        TurnCountingHandler(IoHandler handler, Ticker ticker) {
            this.handler = handler;
            this.waits = new WholeMillisecondDelays(ticker);
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
     * The loop's delays to its next timer, rounded up. By the loop's ticker, as the timers are: by
     * another clock a timer could seem due that the loop does not run yet.
     */
    private static final class WholeMillisecondDelays implements IoHandlerContext {
        private final Ticker ticker;
        private IoHandlerContext context;

        WholeMillisecondDelays(Ticker ticker) {
            this.ticker = ticker;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            // The context takes the system's clock; a ticker's time is relative to its first.
            long delay = context.delayNanos(ticker.nanoTime() + ticker.initialNanoTime());
            boolean none = delay > Long.MAX_VALUE - RESOLUTION_NANOS;
            return delay <= 0 || none
                    ? delay
                    : (delay + RESOLUTION_NANOS - 1) / RESOLUTION_NANOS * RESOLUTION_NANOS;
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
