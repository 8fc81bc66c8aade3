package appleridge.testbed.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A listening loopback socket and its accepted connections. */
final class Listener {
    private static final long BIND_RETRY_MILLIS = 20;

    private final EventLoop loop;
    private final Consumer<Channel> install;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private Channel channel;
    private boolean closed;

    Listener(EventLoop loop, Consumer<Channel> install) {
        this.loop = loop;
        this.install = install;
    }

    /** Listens on any free port. Blocks: must not be called on the event loop. */
    void listen() throws InterruptedException {
        channel = bind(0).sync().channel();
    }

    /** Listens on this port; retries while its previous owner has not released it yet. */
    void listen(int port, Runnable listening) {
        bind(port)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                channel = ((ChannelFuture) done).channel();
                                if (closed) {
                                    channel.close();
                                } else {
                                    listening.run();
                                }
                            } else if (!closed) {
                                loop.schedule(
                                        () -> listen(port, listening),
                                        BIND_RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        });
    }

    private ChannelFuture bind(int port) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel accepted) {
                                connections.add(accepted);
                                accepted.closeFuture()
                                        .addListener(done -> connections.remove(accepted));
                                install.accept(accepted);
                                accepted.pipeline().addLast(new ErrorHandler());
                            }
                        })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting; open connections stay open. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    void resetAll() {
        List.copyOf(connections).forEach(HttpResponses::reset);
    }

    /** Closes the connection on an error; the peer may disconnect at any time. */
    private static final class ErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
