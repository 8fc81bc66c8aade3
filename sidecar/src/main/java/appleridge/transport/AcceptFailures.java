package appleridge.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Hears on the listening channel that accepting failed. It goes no further: Netty's own part would
 * let all wait for a second and accept again then, whatever the cap, and log each failure with its
 * trace.
 */
public final class AcceptFailures extends ChannelInboundHandlerAdapter {
    private static final long APART = TimeUnit.SECONDS.toNanos(1);

    private final SidecarEventLoop loop;
    private final Runnable failed;
    private long told;
    private int untold;

    /** With what is to be done about it. */
    public AcceptFailures(SidecarEventLoop loop, Runnable failed) {
        this.loop = loop;
        this.failed = failed;
        this.told = loop.nanoTime() - APART;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        long now = loop.nanoTime();
        if (now - told >= APART) {
            loop.log()
                    .warning(
                            "accepting fails: "
                                    + cause.getMessage()
                                    + (untold == 0 ? "" : "; untold before it: " + untold));
            told = now;
            untold = 0;
        } else {
            untold++;
        }
        failed.run();
    }
}
