package appleridge.http1;

import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Ends a client connection in two steps: input is discarded from some point on, and when the last
 * response has been written only the output is shut down at first.
 *
 * <p>Invariant: the socket is not closed with input unread right behind a response; TCP would reset
 * the connection, and the response could be lost on its way. Loop thread only.
 */
final class LingeringClose {
    /** For so long the client may read the last response before the socket is closed. */
    private static final long LINGER_MILLIS = 500;

    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final SidecarEventLoop loop;
    private boolean inputClosed;
    private boolean lingering;

    LingeringClose(Channel channel, ReadActivityHandler readActivity, SidecarEventLoop loop) {
        this.channel = channel;
        this.readActivity = readActivity;
        this.loop = loop;
    }

    /** Whatever comes from now on is discarded. */
    void closeInput() {
        inputClosed = true;
        readActivity.discardInput();
    }

    /** The connection is gone. */
    void onChannelInactive() {
        inputClosed = true;
    }

    /** Whether nothing that comes is taken any more. */
    boolean isInputClosed() {
        return inputClosed;
    }

    /** Shuts the output down, and closes the socket after {@value #LINGER_MILLIS} ms. */
    void linger() {
        if (channel.isActive()) {
            lingering = true;
            ((DuplexChannel) channel).shutdownOutput();
            loop.schedule(TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS), channel::close);
        }
    }

    /** Whether the output is shut down and the socket is about to be closed. */
    boolean isLingering() {
        return lingering;
    }
}
