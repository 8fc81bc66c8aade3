package appleridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Opens connections. Reports results on the event loop, never from within {@link #connect}. */
public final class Connector {
    /** Receives the result of one attempt to connect: exactly one of its methods is called once. */
    public interface Listener {
        /** The connection is open. */
        void onConnected(Channel channel);

        /** The connection was refused, timed out or is unreachable; its channel is closed. */
        void onConnectFailed(Throwable cause);

        /**
         * This machine lacks a resource for the connection, such as a descriptor, a local port or a
         * buffer; nothing is known about the other side.
         */
        void onSocketUnavailable(Throwable cause);
    }

    /** A connection that is being opened, or open. */
    public interface ConnectAttempt {
        /** Closes the connection; if no result has been reported, the failure is reported. */
        void close();
    }

    /** Part of the system's message for ENETUNREACH, for which the JVM has no exception type. */
    private static final String UNREACHABLE_TEXT = "unreachable";

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final int timeoutMillis;
    private final ChannelHandler handler;

    /**
     * Creates a connector.
     *
     * @param timeoutNanos the connect timeout in nanoseconds; raised to at least 1 ms
     * @param initializer sets up the pipeline of each new channel
     */
    public Connector(
            SidecarEventLoop loop,
            SocketFactory sockets,
            long timeoutNanos,
            Consumer<Channel> initializer) {
        this.loop = loop;
        this.sockets = sockets;
        // Capped to the range of int: a mere cast could give a negative timeout, and no connection.
        this.timeoutMillis =
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
        this.handler = new Initializer(initializer);
    }

    /** Starts to open a connection; to be called on the event loop. */
    public ConnectAttempt connect(InetSocketAddress address, Listener listener) {
        Channel channel;
        try {
            channel = sockets.newChannel();
        } catch (RuntimeException e) {
            // Netty's Bootstrap would report this on another thread.
            loop.execute(() -> listener.onSocketUnavailable(e));
            return () -> {};
        }
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel.config().setOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis);
        channel.pipeline().addLast(handler);
        loop.executor()
                .register(channel)
                .addListener(
                        registered -> {
                            if (registered.isSuccess()) {
                                awaitConnect(channel.connect(address), channel, listener);
                            } else {
                                reportSocketUnavailable(channel, listener, registered.cause());
                            }
                        });
        return channel::close;
    }

    /**
     * Reports the result of connecting. On loopback it may be known at once; it is then reported in
     * a later task.
     */
    private void awaitConnect(ChannelFuture connecting, Channel channel, Listener listener) {
        if (connecting.isSuccess()) {
            loop.execute(() -> listener.onConnected(channel));
            return;
        }
        if (connecting.isDone() && isLocalResourceFailure(connecting.cause())) {
            reportSocketUnavailable(channel, listener, connecting.cause());
            return;
        }
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        listener.onConnected(channel);
                    } else {
                        reportConnectFailed(channel, listener, done.cause());
                    }
                });
    }

    private void reportConnectFailed(Channel channel, Listener listener, Throwable cause) {
        channel.close();
        loop.execute(() -> listener.onConnectFailed(cause));
    }

    private void reportSocketUnavailable(Channel channel, Listener listener, Throwable cause) {
        channel.close();
        loop.execute(() -> listener.onSocketUnavailable(cause));
    }

    /**
     * Whether a connect that failed at once lacked a resource of this machine (EADDRNOTAVAIL,
     * ENOBUFS, EAGAIN); failures caused by the other side are reported later. The JVM has exception
     * types for a refusal, a timeout and no route to the host; an unreachable network is recognized
     * by its message.
     */
    private static boolean isLocalResourceFailure(Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException)
                && !String.valueOf(cause.getMessage())
                        .toLowerCase(Locale.ROOT)
                        .contains(UNREACHABLE_TEXT);
    }

    @ChannelHandler.Sharable
    private static final class Initializer extends ChannelInitializer<Channel> {
        private final Consumer<Channel> initializer;

        Initializer(Consumer<Channel> initializer) {
            this.initializer = initializer;
        }

        @Override
        protected void initChannel(Channel channel) {
            initializer.accept(channel);
        }
    }
}
