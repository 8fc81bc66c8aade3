package appleridge.testbed.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Stands before the decoder and notes when a request's first byte came. */
final class FirstByte extends ChannelInboundHandlerAdapter {
    private final RealTime time;
    private boolean begun;
    private long at;

    FirstByte(RealTime time) {
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

    /** The request has come whole; returns when it began. The next byte begins another. */
    long whole() {
        begun = false;
        return at;
    }
}
