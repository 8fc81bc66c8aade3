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

/**
 * Opens connections. Whatever becomes of one is told on the loop, and never inside the call that
 * asks.
 */
public final class Connector {
    /** Told one of the two, once. */
    public interface Listener {
        /** The connection is there. */
        void connected(Channel channel);

        /** It can't be had, for want of an answer or a listener; its channel is closed. */
        void failed(Throwable cause);

        /**
         * This machine has no means for it, such as a descriptor, a local port or a buffer: nothing
         * is known of the other side.
         */
        void noSocket(Throwable cause);
    }

    /** A connection on its way, or there. */
    public interface Connecting {
        /** Closes it; what is not told yet is told as failed. */
        void close();
    }

    /** Of what the system says of a network to which there is no way (ENETUNREACH). */
    private static final String UNREACHABLE = "unreachable";

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
            long timeout,
            Consumer<Channel> initializer) {
        this.loop = loop;
        this.sockets = sockets;
        // Danger: of more than an int holds a part is left that may be negative, and no connection
        // is made.
        this.timeoutMillis =
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeout)));
        this.handler = new Initializer(initializer);
    }

    /** Opens one; to be called on the loop. */
    public Connecting connect(InetSocketAddress address, Listener listener) {
        Channel channel;
        try {
            channel = sockets.connecting();
        } catch (RuntimeException e) {
            // Danger: Netty's bootstrap would tell of this on a thread of its own.
            loop.execute(() -> listener.noSocket(e));
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
                                told(channel.connect(address), channel, listener);
                            } else {
                                noMeans(channel, listener, registered.cause());
                            }
                        });
        return channel::close;
    }

    /**
     * On loopback a connection may be there at once; the caller is not prepared to hear of it yet.
     */
    private void told(ChannelFuture connecting, Channel channel, Listener listener) {
        if (connecting.isSuccess()) {
            loop.execute(() -> listener.connected(channel));
            return;
        }
        if (connecting.isDone() && isLocal(connecting.cause())) {
            noMeans(channel, listener, connecting.cause());
            return;
        }
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        listener.connected(channel);
                    } else {
                        failed(channel, listener, done.cause());
                    }
                });
    }

    private void failed(Channel channel, Listener listener, Throwable cause) {
        channel.close();
        loop.execute(() -> listener.failed(cause));
    }

    private void noMeans(Channel channel, Listener listener, Throwable cause) {
        channel.close();
        loop.execute(() -> listener.noSocket(cause));
    }

    /**
     * Whether a connect that failed at once did so for want of something on this machine
     * (EADDRNOTAVAIL, ENOBUFS, EAGAIN); what the other side causes, such as a reset, is told later.
     * The JVM has types of its own for a refusal, for silence and for no route to the host, and
     * none for a network that can't be reached, which is told by its text alone.
     */
    private static boolean isLocal(Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException)
                && !String.valueOf(cause.getMessage())
                        .toLowerCase(Locale.ROOT)
                        .contains(UNREACHABLE);
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
