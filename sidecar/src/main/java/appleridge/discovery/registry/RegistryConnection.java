package appleridge.discovery.registry;

import appleridge.transport.Connector;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * One connection to the registry, with at most one call in flight. All methods must be called, and
 * the caller is notified, on the event loop.
 */
final class RegistryConnection {
    /** Notified once of each call, never from within {@link #call}, and not after {@link #drop}. */
    interface Caller {
        /** Takes the response, which is released when this method returns. */
        void onResponse(RegistryConnection source, FullHttpResponse response);

        /** The call has no response, and the connection is closed. */
        void onFailure(RegistryConnection source, String reason);

        /** No socket could be opened for the call, for example for want of file descriptors. */
        void onNoSocket(RegistryConnection source, String reason);
    }

    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final InetSocketAddress address;
    private final Caller caller;
    private final Connector.ConnectAttempt connecting;
    private Channel channel;

    /** URI of a call that waits for the connection; null for none. */
    private String pendingUri;

    private boolean callInFlight;
    private boolean dropped;
    private boolean keepAlive = true;
    private long lastReceivedNanos;
    private boolean written;

    RegistryConnection(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            Caller caller) {
        this.loop = loop;
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
                                                        new ReceiveTimeHandler(),
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES),
                                                        new ResponseHandler()))
                        .connect(address, new ConnectListener());
    }

    /** Whether the next call can be sent on this connection. */
    boolean isUsable() {
        return !dropped && !callInFlight && keepAlive && (channel == null || channel.isActive());
    }

    /** Sends a GET request, once connected. */
    void call(String uri) {
        callInFlight = true;
        lastReceivedNanos = 0;
        written = false;
        if (channel == null) {
            pendingUri = uri;
        } else {
            write(uri);
        }
    }

    private void write(String uri) {
        pendingUri = null;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers()
                .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            written = done.isSuccess();
                            if (!written) {
                                channel.close();
                            }
                        });
    }

    /** Reads and handles, before this method returns, what the socket has received. */
    void readNow() {
        if (channel != null && channel.isActive()) {
            sockets.readNow(channel);
        }
    }

    /** Whether a call has been written to the socket and no byte of a response has arrived. */
    boolean isUnanswered() {
        return written && lastReceivedNanos == 0 && channel.isActive();
    }

    /** When bytes last arrived on this connection; 0 if none have since the last call. */
    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Closes the connection; the caller is no longer notified. */
    void drop() {
        dropped = true;
        connecting.close();
    }

    private void end(String reason) {
        boolean waiting = callInFlight && !dropped;
        callInFlight = false;
        drop();
        if (waiting) {
            caller.onFailure(this, reason);
        }
    }

    private final class ConnectListener implements Connector.Listener {
        @Override
        public void onConnected(Channel opened) {
            channel = opened;
            if (dropped) {
                opened.close();
            } else if (pendingUri != null) {
                write(pendingUri);
            }
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            end("can't connect");
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            boolean waiting = callInFlight && !dropped;
            callInFlight = false;
            drop();
            if (waiting) {
                caller.onNoSocket(RegistryConnection.this, cause.getMessage());
            }
        }
    }

    private final class ReceiveTimeHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            lastReceivedNanos = loop.nanoTime();
            ctx.fireChannelRead(bytes);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (dropped || !callInFlight) {
                // A response without a call: the next one might not belong to the next call either.
                end("response without a request");
            } else if (response.decoderResult().isFailure()) {
                end("malformed HTTP");
            } else {
                callInFlight = false;
                keepAlive = HttpUtil.isKeepAlive(response);
                caller.onResponse(RegistryConnection.this, response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end("connection lost");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // After a response that is too long, a channel that is only closed would still deliver
            // what was read together with it.
            end("unreadable response: " + cause.getMessage());
        }
    }
}
