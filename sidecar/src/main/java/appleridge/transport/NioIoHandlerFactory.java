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
 * Creates the NIO handler of one event loop. The handler waits for timers in whole milliseconds and
 * counts the turns of the loop.
 *
 * <p>Invariant: a loop that has nothing to do blocks in the selector. Netty's own handler rounds
 * the time to the next timer to the nearest millisecond and, if that is 0, polls until the timer is
 * due; a process that is limited to a fraction of a core would be throttled for that, and stall.
 */
public final class NioIoHandlerFactory implements IoHandlerFactory, LongSupplier {
    /** The shortest wait of the selector; timers run late by up to this time. */
    private static final long RESOLUTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandlerFactory nio = NioIoHandler.newFactory();

    /** Written only by the event loop's thread. */
    private volatile long turns;

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new TurnCountingHandler(
                nio.newHandler(executor), ((EventExecutor) executor).ticker());
    }

    /** Returns the number of turns of the loop since its start. */
    @Override
    public long getAsLong() {
        return turns;
    }

    private final class TurnCountingHandler implements IoHandler {
        private final IoHandler handler;
        private final WholeMillisecondDelays delays;

        TurnCountingHandler(IoHandler handler, Ticker ticker) {
            this.handler = handler;
            this.delays = new WholeMillisecondDelays(ticker);
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            turns = turns + 1;
            delays.context = context;
            return handler.run(delays);
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
     * Rounds the loop's delay to its next timer up to whole milliseconds. It uses the loop's
     * ticker, as the timers do: by another clock a timer could seem due that the loop does not run
     * yet.
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
            // The context expects system time; a ticker's time is relative to its initial time.
            long delay = context.delayNanos(ticker.nanoTime() + ticker.initialNanoTime());
            boolean noTimer = delay > Long.MAX_VALUE - RESOLUTION_NANOS;
            return delay <= 0 || noTimer
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
