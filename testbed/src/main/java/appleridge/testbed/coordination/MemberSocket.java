package appleridge.testbed.coordination;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslContext;

/**
 * Connects channels, real or simulated, with a member. All channels run on the ensemble's one loop.
 */
final class MemberSocket extends ChannelInitializer<Channel> {
    private final Member member;
    private final SslContext tls;

    /** Creates an initializer; {@code tls} is null for plain text. */
    MemberSocket(Member member, SslContext tls) {
        this.member = member;
        this.tls = tls;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (tls != null) {
            channel.pipeline().addLast(tls.newHandler(channel.alloc()));
        }
        channel.pipeline().addLast(new FrameDecoder(), new Connection(channel, member));
    }

    /** Adapts one client's channel to the member. */
    private static final class Connection extends SimpleChannelInboundHandler<ByteBuf>
            implements MemberConnection.Transport {
        private final Channel channel;
        private final Member member;
        private final MemberConnection connection = new MemberConnection(this);

        Connection(Channel channel, Member member) {
            this.channel = channel;
            this.member = member;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            member.opened(connection);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            member.closed(connection);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            member.received(connection, ByteBufUtil.getBytes(frame.skipBytes(Integer.BYTES)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        public void send(byte[] bytes) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        }

        @Override
        public void close() {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
