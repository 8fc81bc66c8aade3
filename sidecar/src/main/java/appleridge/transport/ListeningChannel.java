package appleridge.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening NIO channel whose connections are {@link UninterruptedSocketChannel}s. */
final class ListeningChannel extends NioServerSocketChannel {
    /** Creates a channel that is not bound yet. */
    ListeningChannel() {}

    /** Creates a channel on a listening socket. */
    ListeningChannel(ServerSocketChannel socket) {
        super(socket);
    }

    /** Accepts one connection; returns the number of accepted ones, 0 or 1. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            accepted.add(new UninterruptedSocketChannel(this, socket));
            return 1;
        } catch (RuntimeException e) {
            // The connection broke before it was set up; nothing was read from it.
            socket.close();
            return 0;
        }
    }
}
