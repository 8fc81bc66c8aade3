package appleridge.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Handles failures to accept on a listening channel and does not propagate them: Netty's own
 * handler would stop accepting for a second, even if a connection is closed in the meantime, and
 * log each failure with its stack trace. Event loop only.
 */
public final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long MIN_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SidecarEventLoop loop;
    private final Runnable onFailure;
    private long lastLoggedNanos;
    private int suppressedCount;

    /**
     * Creates a handler for one listening channel.
     *
     * @param onFailure run after each failure
     */
    public AcceptFailureHandler(SidecarEventLoop loop, Runnable onFailure) {
        this.loop = loop;
        this.onFailure = onFailure;
        this.lastLoggedNanos = loop.nanoTime() - MIN_LOG_INTERVAL_NANOS;
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
