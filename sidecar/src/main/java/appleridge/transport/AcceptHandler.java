package appleridge.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * Counts the connections of each accept on a listening channel. Handles failures to accept and does
 * not propagate them: Netty's own handler would stop accepting for a second, even if a connection
 * is closed in the meantime, and log each failure with its stack trace. Event loop only.
 */
public final class AcceptHandler extends ChannelInboundHandlerAdapter {
    private static final long MIN_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SidecarEventLoop loop;
    private final Runnable onFailure;
    private final IntConsumer onComplete;
    private int accepted;
    private long lastLoggedNanos;
    private int suppressedCount;

    /**
     * Creates a handler for one listening channel.
     *
     * @param onFailure run after each failure
     */
    public AcceptHandler(SidecarEventLoop loop, Runnable onFailure) {
        this(loop, onFailure, accepted -> {});
    }

    /**
     * Creates a handler for one listening channel.
     *
     * @param onFailure run after each failure
     * @param onComplete gets the number of connections after each accept
     */
    public AcceptHandler(SidecarEventLoop loop, Runnable onFailure, IntConsumer onComplete) {
        this.loop = loop;
        this.onFailure = onFailure;
        this.onComplete = onComplete;
        this.lastLoggedNanos = loop.nanoTime() - MIN_LOG_INTERVAL_NANOS;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        accepted++;
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        onComplete.accept(accepted);
        accepted = 0;
        ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        long now = loop.nanoTime();
        if (now - lastLoggedNanos >= MIN_LOG_INTERVAL_NANOS) {
            loop.log()
                    .warning(
                            "failed to accept a connection: "
                                    + cause.getMessage()
                                    + (suppressedCount == 0
                                            ? ""
                                            : "; suppressed before it: " + suppressedCount));
            lastLoggedNanos = now;
            suppressedCount = 0;
        } else {
            suppressedCount++;
        }
        onFailure.run();
    }
}
