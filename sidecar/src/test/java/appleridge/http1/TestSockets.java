package appleridge.http1;

import appleridge.transport.NioSocketFactory;
import appleridge.transport.SocketFactory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Sockets that behave in a way that the system seldom shows. */
final class TestSockets {
    private TestSockets() {}

    /** No socket can be made, as when descriptors are out. */
    static final class None implements SocketFactory {
        @Override
        public Channel newChannel() {
            throw new ChannelException(
                    "Failed to open a socket.", new IOException("Too many open files"));
        }

        @Override
        public ServerChannel newServerChannel() {
            throw new ChannelException("Failed to open a socket.");
        }

        @Override
        public void readNow(Channel channel) {}
    }

    /** Each connection is there at once, where the system may take a moment. */
    static final class ConnectedAtOnce implements SocketFactory {
        final BlockingQueue<Channel> made = new LinkedBlockingQueue<>();
        private final NioSocketFactory sockets = new NioSocketFactory();

        @Override
        public Channel newChannel() {
            Channel channel = new ConnectingAtOnce();
            made.add(channel);
            return channel;
        }

        @Override
        public ServerChannel newServerChannel() {
            return sockets.newServerChannel();
        }

        @Override
        public void readNow(Channel channel) {
            sockets.readNow(channel);
        }
    }

    private static final class ConnectingAtOnce extends NioSocketChannel {
        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            if (!super.doConnect(remote, local)) {
                while (!javaChannel().finishConnect()) {
                    Thread.onSpinWait();
                }
                removeAndSubmit(NioIoOps.CONNECT);
            }
            return true;
        }
    }
}
