package appleridge.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.netty.util.concurrent.Ticker;

/** Creates the NIO handler of one event loop, which observes the turns of the loop. */
public final class NioIoHandlerFactory implements IoHandlerFactory, LoopActivity {
    private final IoHandlerFactory nio = NioIoHandler.newFactory();
    private final Ticker ticker = Ticker.systemTicker();

    /** Written only by the event loop's thread. */
    private volatile long turns;

    private boolean polled;

    /** A time before the last poll whose ready channels have all been handled. */
    private long handledPollNanos;

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new ObservedHandler(nio.newHandler(executor));
    }

    @Override
    public long turnCount() {
        return turns;
    }

    @Override
    public long maxUnreadInputNanos() {
        return polled ? ticker.nanoTime() - handledPollNanos : UNKNOWN_NANOS;
    }

    private final class ObservedHandler implements IoHandler {
        private final IoHandler handler;

        ObservedHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        /** A poll that finds nothing ready shows it for its end, any other for its start. */
        @Override
        public int run(IoHandlerContext context) {
            turns = turns + 1;
            long startNanos = ticker.nanoTime();
            int handled = handler.run(context);
            handledPollNanos = handled == 0 ? ticker.nanoTime() : startNanos;
            polled = true;
            return handled;
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
}
