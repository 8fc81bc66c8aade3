package appleridge.http1;

import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client connection in two steps: input is discarded from some point on, and after the
 * last response only the output is shut down at first, while the socket closes later.
 *
 * <p>Invariant: the socket is not closed directly after a response while it has unread input. TCP
 * would reset the connection, and the client could lose the response. Event loop only.
 */
final class LingeringClose {
    /** How long the client has to read the last response before the socket is closed. */
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

    /** Discards all further input. */
    void closeInput() {
        inputClosed = true;
        readActivity.discardInput();
    }

    /**
     * Discards all further input, among it the rest of a request that its client is still sending.
     * The client reads the response only after it has sent the rest.
     */
    void closeInputInUpload() {
        inputClosed = true;
        readActivity.discardUpload();
    }

    /** Discards input after the last request: it gets no response, so it must have no effect. */
    void closeInputAfterLast(ClientExchange exchange) {
        if (!exchange.isKeepAlive()) {
            closeInput();
        }
    }

    /** Records that the connection has closed. */
    void onChannelInactive() {
        inputClosed = true;
    }

    /** Whether further input is discarded. */
    boolean isInputClosed() {
        return inputClosed;
    }

    /** Shuts down the output, and closes the socket after {@value #LINGER_MILLIS} ms. */
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
