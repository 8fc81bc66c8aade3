package appleridge.testbed.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** A handler in front of the HTTP decoder that records when a request's first byte arrives. */
final class FirstByteTimer extends ChannelInboundHandlerAdapter {
    private final RealTime time;
    private boolean begun;
    private long at;

    FirstByteTimer(RealTime time) {
        this.time = time;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (!begun) {
            begun = true;
            at = time.nanos();
        }
        super.channelRead(ctx, message);
    }

    /**
     * Call when a request is complete. Returns the time of its first byte; the next byte starts
     * another.
     */
    long requestComplete() {
        begun = false;
        return at;
    }
}
