package appleridge.admin.protocol;

import appleridge.admin.AdminCallHandler;
import appleridge.request.Scheduler;
import appleridge.transport.AcceptHandler;
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
 * Accepts operators' connections, each of which carries one command and one reply. Operators need
 * the admin protocol most when the sidecar is overloaded: file descriptors are therefore reserved
 * for it, a few connections are accepted at each turn of the event loop, and a client that connects
 * without sending a command cannot block others that send one. Event loop only.
 */
public final class AdminServer {
    /** The maximum of open connections, from the descriptors reserved for the admin protocol. */
    static final int MAX_CONNECTIONS = 12;

    /** How long a command may take while other connections wait. */
    private static final long MIN_CALL_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** How long a command may take while no other connection waits. */
    private static final long MAX_CALL_TIME_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The delay after a failed bind, as while the previous process still listens. */
    private static final long BIND_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MAX_ACCEPTS_PER_TURN = 4;
    private static final int BACKLOG = 1024;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final InetSocketAddress address;
    private final AdminCallHandler handler;
    private final Set<AdminConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private Scheduler.ScheduledTask pendingTask = () -> {};
    private boolean bindFailureLogged;
    private boolean closed;

    /** Creates a server that does not listen until {@link #open}. */
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

    /** Binds to the address and retries until that succeeds or {@link #close} is called. */
    public void open() {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop.executor(), loop.executor())
                        .channelFactory(sockets::newServerChannel)
                        .handler(new AcceptHandler(loop, this::onAcceptFailed))
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
                    } else if (!closed) {
                        if (!bindFailureLogged) {
                            bindFailureLogged = true;
                            loop.log()
                                    .warning(
                                            "cannot bind the admin listener to "
                                                    + address
                                                    + ", retrying: "
                                                    + done.cause().getMessage());
                        }
                        pendingTask = loop.schedule(BIND_RETRY_NANOS, this::open);
                    }
                });
    }

    private void onBound(Channel channel) {
        listener = channel;
        listener.config()
                .<MaxMessagesRecvByteBufAllocator>getRecvByteBufAllocator()
                .maxMessagesPerRead(MAX_ACCEPTS_PER_TURN);
        if (closed) {
            channel.close();
        } else if (bindFailureLogged) {
            loop.log().info("admin listener bound to " + address);
        }
    }

    /** Stops listening and closes all connections. */
    public void close() {
        closed = true;
        pendingTask.cancel();
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

    /**
     * Stops accepting while the maximum of connections is open, and then closes the oldest one as
     * soon as it has had its minimum time.
     */
    private void enforceLimit() {
        if (connections.size() < MAX_CONNECTIONS) {
            setAccepting(true);
            return;
        }
        setAccepting(false);
        AdminConnection oldest = connections.iterator().next();
        long openNanos = loop.nanoTime() - oldest.openedAtNanos();
        pendingTask.cancel();
        pendingTask =
                loop.schedule(
                        Math.max(0, MIN_CALL_TIME_NANOS - openNanos),
                        () -> {
                            if (connections.size() >= MAX_CONNECTIONS) {
                                connections.iterator().next().timeOut();
                            }
                        });
    }

    /** Pauses accepting after a failure for lack of descriptors, and resumes after a delay. */
    private void onAcceptFailed() {
        setAccepting(false);
        loop.schedule(BIND_RETRY_NANOS, this::enforceLimit);
    }

    private void setAccepting(boolean accepting) {
        if (listener != null) {
            listener.config().setAutoRead(accepting && !closed);
        }
    }
}
