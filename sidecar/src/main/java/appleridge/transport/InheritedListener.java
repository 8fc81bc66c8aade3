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
 * process and may be listened on by another one at the same time. It is never bound, shut down or
 * closed here. Danger: the JVM ties descriptors 0 to 2 to it, and closing it would point them all
 * at nothing, and with them the log.
 *
 * <p>That it doesn't block belongs to the open socket, which all processes share that have it.
 */
public final class InheritedListener {
    /** The descriptor that the JVM can take over. */
    private static final String DESCRIPTOR = "0";

    private final ServerSocketChannel socket;

    /** What had connected before; owed an answer like all others. Null for none. */
    private SocketChannel first;

    private InheritedListener(ServerSocketChannel socket, SocketChannel first) {
        this.socket = socket;
        this.first = first;
    }

    /**
     * Takes the socket over that the process was started with.
     *
     * @param descriptor its number as the platform tells it; the JVM knows 0 alone
     * @param proven whether another process is known to accept from it, so that nothing need be
     *     taken here
     * @throws IOException with a plain message where there is no listening TCP socket at that
     *     number
     */
    public static InheritedListener inherited(String descriptor, boolean proven)
            throws IOException {
        if (!descriptor.strip().equals(DESCRIPTOR)) {
            throw new IOException(
                    "the listening socket must be descriptor 0, not '" + descriptor + "'");
        }
        if (!(System.inheritedChannel() instanceof ServerSocketChannel inherited)
                || !(inherited.getLocalAddress() instanceof InetSocketAddress)) {
            throw new IOException("descriptor 0 is no TCP socket that listens");
        }
        inherited.configureBlocking(false);
        return proven ? new InheritedListener(inherited, null) : of(inherited);
    }

    /** For a socket that is bound already; tells by an exception that it doesn't listen. */
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
                    if (done.isSuccess() && first != null) {
                        // Danger: what takes connections over is itself put in place by a task,
                        // which goes ahead.
                        Channel listener = registering.channel();
                        listener.eventLoop().execute(() -> takeFirst(listener));
                    }
                });
        return registering;
    }

    private void takeFirst(Channel listener) {
        listener.pipeline().fireChannelRead(new UninterruptedSocketChannel(listener, first));
        listener.pipeline().fireChannelReadComplete();
        first = null;
    }
}
