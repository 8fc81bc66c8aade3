package appleridge.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.function.LongSupplier;

/** Makes the I/O part of one event loop on the JVM's sockets, and counts the loop's turns. */
public final class NioEventLoopFactory implements IoHandlerFactory, LongSupplier {
    private final IoHandlerFactory nio = NioIoHandler.newFactory();
    /** Written by the event loop's thread alone. */
    private volatile long turns;

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new CountingHandler(nio.newHandler(executor));
    }

    /** Turns of the loop since its start. */
    @Override
    public long getAsLong() {
        return turns;
    }

    private final class CountingHandler implements IoHandler {
        private final IoHandler handler;

        CountingHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            turns = turns + 1;
            return handler.run(context);
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
