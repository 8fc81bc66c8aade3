package appleridge.admin.protocol;

import appleridge.admin.AdminCallHandler;
import appleridge.request.Scheduler;
import appleridge.transport.AcceptFailureHandler;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Listens for operators: one call and one reply a connection. It is needed most when all else goes
 * wrong, so it has a few descriptors of its own and, at each turn of the event loop, time for a few
 * connections; and one that only connects does not keep out one that calls. Event loop only.
 */
public final class AdminServer {
    /** Open at once; of the descriptors that neither clients nor upstreams may use. */
    static final int MAX_CONNECTIONS = 12;

    /** So long a call may take though others wait. */
    private static final long MIN_CALL_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** So long a call may take where nobody waits. */
    private static final long MAX_CALL_TIME_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** After binding failed, as where the process before this one still listens. */
    private static final long BIND_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MAX_ACCEPTS_PER_TURN = 4;
    private static final int BACKLOG = 1024;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final InetSocketAddress address;
    private final AdminCallHandler handler;
    private final Set<AdminConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private Scheduler.ScheduledTask nextTask = () -> {};
    private boolean bindFailureLogged;
    private boolean onConnectionClosed;

    /** Made on the loop; listens from {@link #open} on. */
    public AdminServer(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            AdminCallHandler handler) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.handler = handler;
    }

    /** Begins to listen, and goes on trying until it does. */
    public void open() {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop.executor(), loop.executor())
                        .channelFactory(sockets::newServerChannel)
                        .handler(new AcceptFailureHandler(loop, this::onAcceptFailed))
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new AdminConnection(
                                                                AdminServer.this, channel));
                                    }
                                })
                        .bind(address);
        binding.addListener(
                done -> {
                    if (done.isSuccess()) {
                        onBound(binding.channel());
                    } else if (!onConnectionClosed) {
                        if (!bindFailureLogged) {
                            bindFailureLogged = true;
                            loop.log()
                                    .warning(
                                            "no operators' line at "
                                                    + address
                                                    + " yet: "
                                                    + done.cause().getMessage());
                        }
                        nextTask = loop.schedule(BIND_RETRY_NANOS, this::open);
                    }
                });
    }

    private void onBound(Channel channel) {
        listener = channel;
        listener.config()
                .<MaxMessagesRecvByteBufAllocator>getRecvByteBufAllocator()
                .maxMessagesPerRead(MAX_ACCEPTS_PER_TURN);
        if (onConnectionClosed) {
            channel.close();
        } else if (bindFailureLogged) {
            loop.log().info("operators' line at " + address);
        }
    }

    /** Ends listening and closes all connections. */
    public void close() {
        onConnectionClosed = true;
        nextTask.cancel();
        if (listener != null) {
            listener.close();
        }
        Set.copyOf(connections).forEach(AdminConnection::close);
    }

    AdminCallHandler handler() {
        return handler;
    }

    SidecarEventLoop loop() {
        return loop;
    }

    void onConnectionOpened(AdminConnection connection) {
        connections.add(connection);
        connection.closeAfter(MAX_CALL_TIME_NANOS);
        enforceLimit();
    }

    void onConnectionClosed(AdminConnection connection) {
        connections.remove(connection);
        enforceLimit();
    }

    /** At the limit the connection that has been open for longest is closed, if it had its time. */
    private void enforceLimit() {
        if (connections.size() < MAX_CONNECTIONS) {
            setAccepting(true);
            return;
        }
        setAccepting(false);
        AdminConnection oldest = connections.iterator().next();
        long openNanos = loop.nanoTime() - oldest.openedAtNanos();
        nextTask.cancel();
        nextTask =
                loop.schedule(
                        Math.max(0, MIN_CALL_TIME_NANOS - openNanos),
                        () -> {
                            if (connections.size() >= MAX_CONNECTIONS) {
                                connections.iterator().next().timeOut();
                            }
                        });
    }

    /** No descriptor was left; soon some are. */
    private void onAcceptFailed() {
        setAccepting(false);
        loop.schedule(BIND_RETRY_NANOS, this::enforceLimit);
    }

    private void setAccepting(boolean on) {
        if (listener != null) {
            listener.config().setAutoRead(on && !onConnectionClosed);
        }
    }
}
