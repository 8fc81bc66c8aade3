package appleridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;

/** Creates NIO channels on sockets of the operating system. */
public final class NioSocketFactory implements SocketFactory {
    @Override
    public Channel newChannel() {
        return new UninterruptedSocketChannel();
    }

    @Override
    public ServerChannel newServerChannel() {
        return new ListeningChannel();
    }

    @Override
    public void readNow(Channel channel) {
        ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
}
