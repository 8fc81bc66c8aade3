package appleridge.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * An NIO TCP connection that survives interrupted system calls (EINTR).
 *
 * <p>Invariant: only the other side, or an error of the connection, ends it. The JVM reports an
 * interrupted non-blocking read as a negative count, which Netty takes for the end of the stream,
 * and an interrupted connect check as "not connected", which Netty takes for a failed connect.
 */
final class UninterruptedSocketChannel extends NioSocketChannel {
    /** The result of a read at the end of the stream; a smaller one means an interrupted read. */
    private static final int END_OF_STREAM = -1;

    /** The number of interrupted checks of one connect after which it fails. */
    private static final int MAX_CONNECT_CHECKS = 64;

    /** Creates a channel for an outgoing connection. */
    UninterruptedSocketChannel() {}

    /** Creates a channel for an accepted connection. */
    UninterruptedSocketChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Treats an interrupted read as one of 0 bytes; the selector reports the data again. */
    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int read = super.doReadBytes(into);
        return read < END_OF_STREAM ? 0 : read;
    }

    @Override
    protected void doFinishConnect() throws Exception {
        for (int checks = 0; checks < MAX_CONNECT_CHECKS; checks++) {
            if (javaChannel().finishConnect()) {
                return;
            }
        }
        throw new IOException(
                "the check of a connect was interrupted " + MAX_CONNECT_CHECKS + " times in a row");
    }
}
