package appleridge.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A listening socket that this process inherited from its parent, which keeps it open. The socket
 * outlives this process, and another process may accept from it at the same time.
 *
 * <p>Invariant: the socket is never bound, shut down or closed here. The JVM ties descriptors 0 to
 * 2 to it, so closing it would close them too, and with them the log. The non-blocking mode is a
 * property of the open socket and applies to all processes that share it.
 */
public final class InheritedListener {
    /** The only descriptor from which the JVM can inherit a socket. */
    private static final String SUPPORTED_DESCRIPTOR = "0";

    private final ServerSocketChannel socket;

    /** A connection that was accepted to check the socket and is not yet served; null if none. */
    private SocketChannel pendingConnection;

    private InheritedListener(ServerSocketChannel socket, SocketChannel pendingConnection) {
        this.socket = socket;
        this.pendingConnection = pendingConnection;
    }

    /**
     * Returns the listening socket that the process was started with.
     *
     * @param descriptor the number of its descriptor as the platform gives it; the JVM supports
     *     only 0
     * @param acceptedElsewhere whether another process is known to accept from the socket, so that
     *     accepting need not prove that it listens
     * @throws IOException if the descriptor is not a listening TCP socket
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
     * Wraps a non-blocking socket, and accepts once to check that it listens.
     *
     * @throws IOException if the socket does not listen
     */
    public static InheritedListener of(ServerSocketChannel socket) throws IOException {
        try {
            // The JVM takes any unconnected socket for a listening one; only accepting shows it.
            return new InheritedListener(socket, socket.accept());
        } catch (IOException e) {
            throw new IOException(
                    "descriptor 0 is no TCP socket that listens: " + e.getMessage(), e);
        }
    }

    /**
     * Starts to accept connections; to be called once.
     *
     * @param bootstrap complete but for its channel factory, which is set here
     */
    public ChannelFuture register(ServerBootstrap bootstrap) {
        ChannelFuture registering =
                bootstrap.channelFactory(() -> new ListeningChannel(socket)).register();
        registering.addListener(
                done -> {
                    if (done.isSuccess() && pendingConnection != null) {
                        // Runs after the task that adds Netty's acceptor to the pipeline.
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
