package appleridge.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A listening socket that whoever started the process has opened, and keeps: it outlives this
 * process, and another process may accept from it at the same time.
 *
 * <p>Invariant: it is never bound, shut down or closed here. The JVM ties descriptors 0 to 2 to it;
 * closing it would close them too, and with them the log. Its non-blocking mode belongs to the open
 * socket, which all processes share.
 */
public final class InheritedListener {
    /** The descriptor that the JVM can take over. */
    private static final String SUPPORTED_DESCRIPTOR = "0";

    private final ServerSocketChannel socket;

    /** A connection accepted while the socket was checked, to be served like others; else null. */
    private SocketChannel pendingConnection;

    private InheritedListener(ServerSocketChannel socket, SocketChannel first) {
        this.socket = socket;
        this.pendingConnection = first;
    }

    /**
     * Takes over the socket that the process was started with.
     *
     * @param descriptor its number as the platform gives it; the JVM supports 0 alone
     * @param proven whether another process is known to accept from it, so that it need not be
     *     checked by accepting
     * @throws IOException with a plain message where there is no listening TCP socket at that
     *     number
     */
    public static InheritedListener inherited(String descriptor, boolean acceptedElsewhere)
            throws IOException {
        if (!descriptor.strip().equals(SUPPORTED_DESCRIPTOR)) {
            throw new IOException(
                    "the listening socket must be descriptor 0, not '" + descriptor + "'");
        }
        if (!(System.inheritedChannel() instanceof ServerSocketChannel inherited)
                || !(inherited.getLocalAddress() instanceof InetSocketAddress)) {
            throw new IOException("descriptor 0 is no TCP socket that listens");
        }
        inherited.configureBlocking(false);
        return acceptedElsewhere ? new InheritedListener(inherited, null) : of(inherited);
    }

    /**
     * For a socket that is bound already.
     *
     * @throws IOException where it does not listen
     */
    public static InheritedListener of(ServerSocketChannel socket) throws IOException {
        try {
            // The JVM takes any unconnected socket for one that listens; only accepting tells.
            return new InheritedListener(socket, socket.accept());
        } catch (IOException e) {
            throw new IOException(
                    "descriptor 0 is no TCP socket that listens: " + e.getMessage(), e);
        }
    }

    /**
     * Begins to accept from it; to be called once, with a bootstrap that lacks nothing but its
     * channel.
     */
    public ChannelFuture register(ServerBootstrap bootstrap) {
        ChannelFuture registering =
                bootstrap.channelFactory(() -> new ListeningChannel(socket)).register();
        registering.addListener(
                done -> {
                    if (done.isSuccess() && pendingConnection != null) {
                        // In a task, behind the one that adds Netty's acceptor to the pipeline.
                        Channel listener = registering.channel();
                        listener.eventLoop().execute(() -> acceptPending(listener));
                    }
                });
        return registering;
    }

    private void acceptPending(Channel listener) {
        listener.pipeline()
                .fireChannelRead(new UninterruptedSocketChannel(listener, pendingConnection));
        listener.pipeline().fireChannelReadComplete();
        pendingConnection = null;
    }
}
