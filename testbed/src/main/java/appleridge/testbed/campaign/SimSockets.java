package appleridge.testbed.campaign;

import appleridge.testbed.simnet.SimChannel;
import appleridge.testbed.simnet.SimLoop;
import appleridge.testbed.simnet.SimServerChannel;
import appleridge.transport.SocketFactory;
import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;

/** Sockets of the simulated network. */
record SimSockets(SimLoop loop) implements SocketFactory {
    @Override
    public Channel newChannel() {
        return loop.socketFactory().newChannel();
    }

    @Override
    public ServerChannel newServerChannel() {
        return loop.serverFactory().newChannel();
    }

    @Override
    public void readNow(Channel channel) {
        if (channel instanceof SimServerChannel server) {
            server.acceptNow();
        } else {
            ((SimChannel) channel).readNow();
        }
    }
}
