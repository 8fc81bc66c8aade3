package appleridge.testbed.coordination;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** One socket that answers on every loopback address, like a server at each address. */
final class ManyServers implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int VALUES_PER_BYTE = 256;

    private final Channel listening;

    ManyServers(EventLoop loop) throws InterruptedException {
        listening =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestDecoder(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new Answers());
                                    }
                                })
                        .bind(new InetSocketAddress("0.0.0.0", 0))
                        .sync()
                        .channel();
    }

    /**
     * The HOST:PORT of the server with this number; numbers up to 65535 have distinct addresses.
     */
    String address(int number) {
        return "127.1."
                + number / VALUES_PER_BYTE
                + "."
                + number % VALUES_PER_BYTE
                + ":"
                + ((InetSocketAddress) listening.localAddress()).getPort();
    }

    @Override
    public void close() {
        listening.close();
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ByteBuf answer =
                    Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                            StandardCharsets.US_ASCII);
            ctx.writeAndFlush(answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
