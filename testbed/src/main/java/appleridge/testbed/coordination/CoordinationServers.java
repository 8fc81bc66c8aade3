package appleridge.testbed.coordination;

import appleridge.testbed.standin.RealTime;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * An {@link Ensemble} on sockets, on one event loop of its own. Methods block and must not be
 * called on an event loop.
 */
public final class CoordinationServers implements AutoCloseable {
    private static final int BACKLOG = 4096;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("coordination", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SslContext tls;
    private final CoordinationServer.Times times;
    private final Ensemble ensemble;
    private final List<CoordinationServer> servers = new ArrayList<>();

    /** Starts {@code size} members on any free ports, with no data. */
    public CoordinationServers(CoordinationServer.Times times, int size)
            throws IOException, InterruptedException {
        this(
                times,
                null,
                Collections.nCopies(
                        size, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    /**
     * Starts a member at each of these addresses. If {@code tls} is not null, they accept only TLS.
     */
    public CoordinationServers(
            CoordinationServer.Times times, SslContext tls, List<InetSocketAddress> addresses)
            throws IOException, InterruptedException {
        this(times, tls, new Ensemble(times, time(), addresses.size()), addresses);
    }

    CoordinationServers(
            CoordinationServer.Times times,
            SslContext tls,
            Ensemble ensemble,
            List<InetSocketAddress> addresses)
            throws IOException, InterruptedException {
        this.times = times;
        this.tls = tls;
        this.ensemble = ensemble;
        for (int i = 0; i < addresses.size(); i++) {
            servers.add(new CoordinationServer(this, ensemble.members().get(i), addresses.get(i)));
        }
        for (CoordinationServer server : servers) {
            server.start();
        }
        loop.scheduleWithFixedDelay(
                ensemble::tick, times.tickMillis(), times.tickMillis(), TimeUnit.MILLISECONDS);
    }

    private static Ensemble.Time time() {
        RealTime time = new RealTime();
        return new Ensemble.Time(time::nanos, time::unixMillis);
    }

    /** The members, in the order of their addresses. */
    public List<CoordinationServer> members() {
        return Collections.unmodifiableList(servers);
    }

    /**
     * Starts an ensemble of one member with a copy of this one's data, on any free port. The copy
     * receives no further changes.
     */
    CoordinationServers lagging() throws IOException, InterruptedException {
        return new CoordinationServers(
                times,
                tls,
                onLoop(ensemble::copy),
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    /**
     * Partitions the ensemble into these members and the others; without members, heals the
     * partition.
     */
    public void cut(CoordinationServer... apart) {
        run(() -> ensemble.partition(Stream.of(apart).map(CoordinationServer::member).toList()));
    }

    /** Expires a session now; returns false if it does not exist or there is no quorum. */
    public boolean expire(long session) {
        return onLoop(() -> ensemble.closeSession(session));
    }

    /** Suspends the expiry of sessions, or resumes it with the full time-out of each session. */
    public void suspendExpiry(boolean isSuspended) {
        run(() -> ensemble.suspendExpiry(isSuspended));
    }

    /** The ids of the open sessions. */
    public List<Long> sessions() {
        return onLoop(() -> List.copyOf(ensemble.sessions().keySet()));
    }

    <T> T onLoop(Callable<T> what) {
        try {
            return loop.submit(what).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    void run(Runnable what) {
        onLoop(
                () -> {
                    what.run();
                    return null;
                });
    }

    ChannelFuture listen(InetSocketAddress address, Member member) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new MemberSocket(member, tls))
                .bind(address);
    }

    @Override
    public void close() {
        servers.forEach(CoordinationServer::stop);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
