package appleridge.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket of the JVM whose connections are {@link UninterruptedSocketChannel}s. */
final class ListeningChannel extends NioServerSocketChannel {
    /** A channel that is to be bound. */
    ListeningChannel() {}

    /** A channel on a socket that listens already. */
    ListeningChannel(ServerSocketChannel socket) {
        super(socket);
    }

    /** Accepts one connection; returns how many there were, 0 or 1. */
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
            // It broke before it could be set up; nothing of it was read.
            socket.close();
            return 0;
        }
    }
}
