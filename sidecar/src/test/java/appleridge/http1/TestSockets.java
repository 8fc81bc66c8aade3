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

/** Socket factories that simulate rare behaviour of the operating system. */
final class TestSockets {
    private TestSockets() {}

    /** Fails to create any socket, as when the process has run out of file descriptors. */
    static final class OutOfDescriptors implements SocketFactory {
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

    /** Completes each connect within the call that starts it. */
    static final class ImmediateConnect implements SocketFactory {
        final BlockingQueue<Channel> created = new LinkedBlockingQueue<>();
        private final NioSocketFactory sockets = new NioSocketFactory();

        @Override
        public Channel newChannel() {
            Channel channel = new ImmediatelyConnectingChannel();
            created.add(channel);
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

    private static final class ImmediatelyConnectingChannel extends NioSocketChannel {
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
