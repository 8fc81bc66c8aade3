package appleridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/** Makes the sockets of a loop's channels. */
public interface SocketFactory {
    /**
     * A channel that is to connect.
     *
     * @throws RuntimeException with the system's error where there is no socket to be had
     */
    Channel newChannel();

    /**
     * A channel that is to listen.
     *
     * @throws RuntimeException with the system's error where there is no socket to be had
     */
    ServerChannel newServerChannel();

    /**
     * Reads, before this returns, what the system holds for a channel, and passes it to the
     * pipeline. To be called on the loop.
     */
    void readNow(Channel channel);
}
