package appleridge.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection of the JVM on which an interrupted system call (EINTR) is neither an end nor a
 * failure.
 *
 * <p>Invariant: only the other side, or an error of the connection, ends it. The JVM hands an
 * interrupted read of a socket that doesn't block to its caller as a negative count, which Netty
 * takes for the end of the stream, and an interrupted look at a connect as "not connected", which
 * Netty takes for a failed connect.
 */
final class UninterruptedSocketChannel extends NioSocketChannel {
    /** What a read returns at the end of the stream; what is less was interrupted. */
    private static final int END_OF_STREAM = -1;

    /** Looks at a connect that may be interrupted one after the other. */
    private static final int MOST_LOOKS = 64;

    /** One that is to connect. */
    UninterruptedSocketChannel() {}

    /** One that a listening channel has accepted. */
    UninterruptedSocketChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /**
     * Nothing was read where the call was interrupted: what is there is still there, and is told
     * again.
     */
    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int read = super.doReadBytes(into);
        return read < END_OF_STREAM ? 0 : read;
    }

    @Override
    protected void doFinishConnect() throws Exception {
        for (int looks = 0; looks < MOST_LOOKS; looks++) {
            if (javaChannel().finishConnect()) {
                return;
            }
        }
        throw new IOException("a connect was interrupted " + MOST_LOOKS + " times in a row");
    }
}
