package appleridge.discovery.registry;

import appleridge.transport.Connector;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One connection to the registry, with one call at a time on it. All methods are to be called, and
 * the caller is notified, on the event loop.
 */
final class RegistryConnection {
    /** Notified once for each call, and never inside it, unless the connection was dropped. */
    interface Caller {
        /** With the answer, which is released when this returns. */
        void onResponse(RegistryConnection by, FullHttpResponse answer);

        /** There is no answer, and the connection is of no further use. */
        void onFailure(RegistryConnection by, String why);

        /** There is no socket to be had for it, as when descriptors are out. */
        void onNoSocket(RegistryConnection by, String why);
    }

    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SocketFactory sockets;
    private final InetSocketAddress address;
    private final Caller caller;
    private final Connector.ConnectAttempt connecting;
    private Channel channel;

    /** A call that waits for the connection. */
    private String pending;

    private boolean calling;
    private boolean dropped;
    private boolean keepAlive = true;

    RegistryConnection(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            Caller caller) {
        this.sockets = sockets;
        this.address = address;
        this.caller = caller;
        this.connecting =
                new Connector(
                                loop,
                                sockets,
                                CONNECT_TIMEOUT_NANOS,
                                opened ->
                                        opened.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES),
                                                        new ResponseHandler()))
                        .connect(address, new ConnectListener());
    }

    /** Whether the next call may go out on it. */
    boolean isUsable() {
        return !dropped && !calling && keepAlive && (channel == null || channel.isActive());
    }

    void call(String uri) {
        calling = true;
        if (channel == null) {
            pending = uri;
        } else {
            write(uri);
        }
    }

    private void write(String uri) {
        pending = null;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers()
                .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                channel.close();
                            }
                        });
    }

    /** Takes in, before this returns, what has come and was not read yet. */
    void readNow() {
        if (channel != null && channel.isActive()) {
            sockets.readNow(channel);
        }
    }

    /** Closes it; the caller is not notified any more. */
    void drop() {
        dropped = true;
        connecting.close();
    }

    private void end(String why) {
        boolean waiting = calling && !dropped;
        calling = false;
        drop();
        if (waiting) {
            caller.onFailure(this, why);
        }
    }

    private final class ConnectListener implements Connector.Listener {
        @Override
        public void onConnected(Channel opened) {
            channel = opened;
            if (dropped) {
                opened.close();
            } else if (pending != null) {
                write(pending);
            }
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            end("can't connect");
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            boolean waiting = calling && !dropped;
            calling = false;
            drop();
            if (waiting) {
                caller.onNoSocket(RegistryConnection.this, cause.getMessage());
            }
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (dropped || !calling) {
                // Nobody asked for it: what follows might not belong to what is asked next.
                end("an answer that was not asked for");
            } else if (answer.decoderResult().isFailure()) {
                end("malformed HTTP");
            } else {
                calling = false;
                keepAlive = HttpUtil.isKeepAlive(answer);
                caller.onResponse(RegistryConnection.this, answer);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end("connection lost");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Ended, not closed alone: a closed channel would still hand on what was read with it,
            // after a response that is too long.
            end("an answer that can't be read: " + cause.getMessage());
        }
    }
}
