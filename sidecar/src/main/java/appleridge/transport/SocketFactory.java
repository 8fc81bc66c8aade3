package appleridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/** Creates the channels of an event loop. */
public interface SocketFactory {
    /**
     * Creates a channel for an outgoing connection.
     *
     * @throws RuntimeException with the system's error if no socket is available
     */
    Channel newChannel();

    /**
     * Creates a channel for a listening socket.
     *
     * @throws RuntimeException with the system's error if no socket is available
     */
    ServerChannel newServerChannel();

    /**
     * Reads the bytes that the system has buffered for a channel, or accepts connections that wait
     * for a listening one, and passes them to its pipeline before it returns. To be called on the
     * event loop.
     */
    void readNow(Channel channel);
}
