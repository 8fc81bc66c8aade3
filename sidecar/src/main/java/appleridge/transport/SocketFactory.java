package appleridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/** The kind of sockets that a loop's channels are made of. */
public interface SocketFactory {
    /** A socket that connects; throws what the system says where none can be made. */
    Channel connecting();

    /** A socket that listens; throws what the system says where none can be made. */
    ServerChannel listening();

    /**
     * Reads at once, before this returns, what the system holds for a channel, and hands it to the
     * pipeline. To be called on the loop.
     */
    void readNow(Channel channel);
}
