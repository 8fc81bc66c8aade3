package appleridge.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Handles failures to accept on a listening channel, and passes them no further: Netty's own
 * handler would pause accepting for a second whatever the cap, and log each failure with its trace.
 * Loop thread only.
 */
public final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long MIN_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SidecarEventLoop loop;
    private final Runnable onFailure;
    private long lastLoggedNanos;
    private int suppressedCount;

    /** With what is run for each failure. */
    public AcceptFailureHandler(SidecarEventLoop loop, Runnable failed) {
        this.loop = loop;
        this.onFailure = failed;
        this.lastLoggedNanos = loop.nanoTime() - MIN_LOG_INTERVAL_NANOS;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        long now = loop.nanoTime();
        if (now - lastLoggedNanos >= MIN_LOG_INTERVAL_NANOS) {
            loop.log()
                    .warning(
                            "accepting fails: "
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
