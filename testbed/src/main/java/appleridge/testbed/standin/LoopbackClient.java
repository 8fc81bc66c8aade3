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

/** A client application: reuses its idle connections and opens another when all are busy. */
final class LoopbackClient {
    private final RealTime time;
    private final LoopbackClients all;
    private final StandInListener events;
    private final Bootstrap bootstrap;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();

    LoopbackClient(
            EventLoop loop,
            RealTime time,
            InetSocketAddress sidecar,
            LoopbackClients all,
            StandInListener events) {
        this.time = time;
        this.all = all;
        this.events = events;
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
                                                                events,
                                                                channel));
                                    }
                                });
    }

    /**
     * Sends a request. The client disconnects after {@code leaveAfter} nanoseconds, or gives up
     * waiting for the answer after {@code listenFor}.
     */
    void send(StandInListener.Ask ask, long leaveAfter, long listenFor) {
        Exchange exchange = new Exchange(ask, leaveAfter, listenFor);
        ClientConnection kept = idle.pollLast();
        if (kept != null) {
            kept.send(exchange);
        } else {
            sendOnNewConnection(exchange);
        }
    }

    /**
     * Sends a request on a new connection: none was idle, or the kept one was closed as the request
     * was sent.
     */
    void sendOnNewConnection(Exchange exchange) {
        bootstrap
                .connect()
                .addListener(
                        done -> {
                            Channel channel = ((ChannelFuture) done).channel();
                            if (done.isSuccess()) {
                                channel.pipeline().get(ClientConnection.class).send(exchange);
                            } else {
                                events.ended(
                                        exchange.ask().id(),
                                        StandInListener.Ending.NOT_TAKEN,
                                        time.nanos());
                                finished(exchange, false, 0);
                            }
                        });
    }

    void finished(Exchange exchange, boolean refused, long wait) {
        all.finished(exchange.ask(), refused, wait);
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

    /** A request and how long its client stays connected, in nanoseconds from the sending. */
    record Exchange(StandInListener.Ask ask, long leaveAfter, long listenFor) {}
}
