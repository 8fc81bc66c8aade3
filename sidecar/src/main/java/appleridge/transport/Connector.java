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

/** Opens connections. The result is reported on the loop, and never inside {@link #connect}. */
public final class Connector {
    /** Called once, with one of the results. */
    public interface Listener {
        /** The connection is open. */
        void onConnected(Channel channel);

        /** It can't be opened: refused, timed out or unreachable; its channel is closed. */
        void onConnectFailed(Throwable cause);

        /**
         * This machine lacks something for it, such as a descriptor, a local port or a buffer:
         * nothing is known of the other side.
         */
        void onSocketUnavailable(Throwable cause);
    }

    /** A connection that is being opened, or open. */
    public interface ConnectAttempt {
        /** Closes it; if no result has been reported, it is reported as failed. */
        void close();
    }

    /** Part of the system's text for ENETUNREACH, for which the JVM has no type of its own. */
    private static final String UNREACHABLE_TEXT = "unreachable";

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final int timeoutMillis;
    private final ChannelHandler handler;

    /**
     * For connections of one kind.
     *
     * @param timeout nanoseconds after which a connection that is not there has failed; 1 ms at
     *     least
     * @param initializer sets up the pipeline of each new channel
     */
    public Connector(
            SidecarEventLoop loop,
            SocketFactory sockets,
            long timeoutNanos,
            Consumer<Channel> initializer) {
        this.loop = loop;
        this.sockets = sockets;
        // Cut to what an int holds: a cast alone may give a negative timeout, and no connection.
        this.timeoutMillis =
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
        this.handler = new Initializer(initializer);
    }

    /** Opens one; to be called on the loop. */
    public ConnectAttempt connect(InetSocketAddress address, Listener listener) {
        Channel channel;
        try {
            channel = sockets.newChannel();
        } catch (RuntimeException e) {
            // Reported on the loop; Netty's bootstrap would report it on a thread of its own.
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
                                reportNoSocket(channel, listener, registered.cause());
                            }
                        });
        return channel::close;
    }

    /**
     * Reports the result; on loopback it may be known at once, which is reported in a later task.
     */
    private void awaitConnect(ChannelFuture connecting, Channel channel, Listener listener) {
        if (connecting.isSuccess()) {
            loop.execute(() -> listener.onConnected(channel));
            return;
        }
        if (connecting.isDone() && isLocal(connecting.cause())) {
            reportNoSocket(channel, listener, connecting.cause());
            return;
        }
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        listener.onConnected(channel);
                    } else {
                        failed(channel, listener, done.cause());
                    }
                });
    }

    private void failed(Channel channel, Listener listener, Throwable cause) {
        channel.close();
        loop.execute(() -> listener.onConnectFailed(cause));
    }

    private void reportNoSocket(Channel channel, Listener listener, Throwable cause) {
        channel.close();
        loop.execute(() -> listener.onSocketUnavailable(cause));
    }

    /**
     * Whether a connect that failed at once did so for want of something on this machine
     * (EADDRNOTAVAIL, ENOBUFS, EAGAIN); what the other side causes is reported later. The JVM has
     * types for a refusal, a timeout and no route to the host; an unreachable network is known by
     * its text.
     */
    private static boolean isLocal(Throwable cause) {
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
