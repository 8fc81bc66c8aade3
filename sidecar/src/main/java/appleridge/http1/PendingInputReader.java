package appleridge.http1;

import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Reads the input of one client connection at once, instead of in the event loop's next turns.
 * Event loop only.
 */
final class PendingInputReader {
    /** How long input is read at a time to find the end of a connection. */
    private static final long MAX_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final ClientListener listener;
    private final SidecarEventLoop loop;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final ClientPresenceTracker presence;
    private boolean inputDrained = true;

    PendingInputReader(
            ClientListener listener,
            Channel channel,
            ReadActivityHandler readActivity,
            ClientPresenceTracker presence) {
        this.listener = listener;
        this.loop = listener.loop();
        this.channel = channel;
        this.readActivity = readActivity;
        this.presence = presence;
    }

    /**
     * Reads pending input from the socket until none is left, or for some time: the end of the
     * connection is behind all that the client has sent. Returns whether the connection is still
     * active.
     */
    boolean readPendingInput() {
        long startNanos = loop.nanoTime();
        long beforeReadNanos = startNanos;
        inputDrained = !readMoreInput();
        while (!inputDrained) {
            beforeReadNanos = loop.nanoTime();
            if (beforeReadNanos - startNanos >= MAX_READ_NANOS) {
                break;
            }
            inputDrained = !readMoreInput();
        }
        if (inputDrained && isReadable()) {
            presence.onNothingToRead(beforeReadNanos);
        }
        return channel.isActive();
    }

    /** Whether {@link #readPendingInput} left nothing unread. */
    boolean isInputDrained() {
        return inputDrained;
    }

    /** Reads what the client has sent with the connection, in the turn that accepts it. */
    void readFirstInput() {
        if (isReadable() && readActivity.readCount() == 0) {
            listener.readNow(channel);
        }
    }

    /** Reads once from the socket; returns whether there was any input and there may be more. */
    private boolean readMoreInput() {
        if (!isReadable()) {
            return false;
        }
        long readsBefore = readActivity.readCount();
        listener.readNow(channel);
        return channel.isActive() && readActivity.readCount() != readsBefore;
    }

    private boolean isReadable() {
        return channel.isActive() && channel.config().isAutoRead() && !readActivity.isDelivering();
    }
}
