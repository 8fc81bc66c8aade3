package appleridge.testbed.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;

/** One application: its kept connections, and another one when all are busy. */
final class LoopbackClient {
    private final RealTime time;
    private final LoopbackClients all;
    private final StandInListener witness;
    private final Bootstrap bootstrap;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();

    LoopbackClient(
            EventLoop loop,
            RealTime time,
            InetSocketAddress sidecar,
            LoopbackClients all,
            StandInListener witness) {
        this.time = time;
        this.all = all;
        this.witness = witness;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .remoteAddress(sidecar)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpResponseDecoder(),
                                                        new ClientConnection(
                                                                LoopbackClient.this,
                                                                time,
                                                                witness,
                                                                channel));
                                    }
                                });
    }

    /** Sends it; the client leaves after so many nanoseconds, or stops listening for the answer. */
    void ask(StandInListener.Ask ask, long leaves, long listens) {
        Exchange exchange = new Exchange(ask, leaves, listens);
        ClientConnection kept = idle.pollLast();
        if (kept != null) {
            kept.send(exchange);
        } else {
            askAnew(exchange);
        }
    }

    /**
     * On a connection of its own: the first one, or because a kept one ended as the request was
     * sent.
     */
    void askAnew(Exchange exchange) {
        bootstrap
                .connect()
                .addListener(
                        done -> {
                            Channel channel = ((ChannelFuture) done).channel();
                            if (done.isSuccess()) {
                                channel.pipeline().get(ClientConnection.class).send(exchange);
                            } else {
                                witness.ended(
                                        exchange.ask().id(),
                                        StandInListener.Ending.NOT_TAKEN,
                                        time.nanos());
                                over(exchange, false, 0);
                            }
                        });
    }

    void over(Exchange exchange, boolean refused, long wait) {
        all.over(exchange.ask(), refused, wait);
    }

    void keep(ClientConnection connection) {
        idle.add(connection);
    }

    void forget(ClientConnection connection) {
        idle.remove(connection);
    }

    void closeIdle() {
        List.copyOf(idle).forEach(ClientConnection::close);
    }

    /** A request and how long its client stays, in nanoseconds from its sending. */
    record Exchange(StandInListener.Ask ask, long leaves, long listens) {}
}
