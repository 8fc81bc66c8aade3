package appleridge.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection of the JVM that survives interrupted system calls (EINTR).
 *
 * <p>Invariant: only the other side, or an error of the connection, ends it. The JVM returns an
 * interrupted non-blocking read as a negative count, which Netty takes for the end of the stream,
 * and an interrupted connect check as "not connected", which Netty takes for a failed connect.
 */
final class UninterruptedSocketChannel extends NioSocketChannel {
    /** What a read returns at the end of the stream; less means that it was interrupted. */
    private static final int END_OF_STREAM = -1;

    /** Checks of one connect that may be interrupted in a row. */
    private static final int MAX_CONNECT_CHECKS = 64;

    /** A channel that is to connect. */
    UninterruptedSocketChannel() {}

    /** A channel that a listening channel has accepted. */
    UninterruptedSocketChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** An interrupted read has read nothing: what the system holds is reported again. */
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
                "a connect was interrupted " + MAX_CONNECT_CHECKS + " times in a row");
    }
}
