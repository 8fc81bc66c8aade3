package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.EndpointTable;
import appleridge.hotrestart.MaintenanceDirective;
import appleridge.hotrestart.ProcessPhase;
import appleridge.hotrestart.ResourceShare;
import appleridge.loadbalancing.UpdateKind;
import appleridge.request.InFlightCounts;
import appleridge.transport.InheritedListener;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.nio.LongBuffer;
import java.util.List;

/**
 * One sidecar: discovery, upstream cluster and admin service on one event loop. Event loop only,
 * unless a method says otherwise.
 */
public final class Sidecar {
    private final UpstreamCluster cluster;
    private final EndpointTable endpoints;
    private final EndpointDiscovery discovery;
    private final ChannelFuture listenFuture;

    /** Null if no admin address is configured. */
    private final AdminService admin;

    /** Null if the sidecar does not share its listening socket with other processes. */
    private final HotRestart hotRestart;

    /** Starts discovery and listens. The sidecar is not ready before {@link #markWarmedUp()}. */
    public Sidecar(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions options,
            PolicyFactory policyFactory) {
        this(loop, sockets, config, options, policyFactory, null, null);
    }

    /**
     * Starts a sidecar that may share its listening socket with other processes.
     *
     * @param inherited the listening socket that the platform passes; null to open one on the
     *     configured address
     * @param hotRestart exchanges state with the other processes; null if there can be none
     */
    Sidecar(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions options,
            PolicyFactory policyFactory,
            InheritedListener inherited,
            HotRestart hotRestart) {
        this.hotRestart = hotRestart;
        this.cluster =
                new UpstreamCluster(
                        loop,
                        sockets,
                        config,
                        connectionLimits(config, options),
                        options,
                        policyFactory);
        this.endpoints = new EndpointTable(loop::nanosOfUnixMillis);
        this.discovery = options.discovery().create(loop, sockets, config, this::onUpdate);
        this.admin =
                config.adminAddress().isEmpty()
                        ? null
                        : new AdminService(
                                loop,
                                sockets,
                                config,
                                cluster,
                                this::onUpdate,
                                this::runWhenPublished);
        if (hotRestart != null) {
            mergeDirectives(hotRestart.directives());
        }
        EndpointTable.EndpointUpdate cached =
                applyMaintenance(endpoints.update(UpdateKind.CACHED_SNAPSHOT, discovery.start()));
        cluster.coordinator.start(discovery, cached.entries(), cached.addresses());
        this.listenFuture = listen(config, inherited);
        if (hotRestart != null) {
            hotRestart.attach(loop, this);
        }
    }

    private static UpstreamCluster.ConnectionLimits connectionLimits(
            SidecarConfig config, RuntimeOptions options) {
        return new UpstreamCluster.ConnectionLimits(
                (int) (config.maxDescriptors() * options.clientConnectionsFraction()),
                (int) (config.maxDescriptors() * options.upstreamConnectionsFraction()));
    }

    private ChannelFuture listen(SidecarConfig config, InheritedListener inherited) {
        if (inherited == null) {
            return cluster.listener.listen(config.listenAddress());
        }
        boolean accepts = hotRestart == null || hotRestart.share().acceptsConnections();
        return cluster.listener.listen(inherited, accepts);
    }

    private void runWhenPublished(Runnable task) {
        if (hotRestart == null) {
            task.run();
        } else {
            hotRestart.runWhenPublished(task);
        }
    }

    /** Limits the resources that this process uses while other processes of the sidecar run. */
    void applyShare(ResourceShare share) {
        cluster.listener.setConnectionShare(share.acceptsConnections(), share.connectionFraction());
        cluster.connectionPool.setConnectionShare(share.connectionFraction());
    }

    /** Shares with other processes of this sidecar which request ids may have been executed. */
    void shareExecutedIds(LongBuffer own, List<LongBuffer> others) {
        cluster.coordinator.shareExecutedIds(own, others);
    }

    /** Applies the directives that other processes of this sidecar have published. */
    void mergeDirectives(List<MaintenanceDirective> directives) {
        if (admin != null) {
            admin.merge(directives);
        }
    }

    /** Returns the maintenance directives that this process publishes. */
    List<MaintenanceDirective> directives() {
        return admin == null ? List.of() : admin.directives();
    }

    private void onUpdate(UpdateKind kind, List<DiscoveredEndpoint> discovered) {
        onUpdate(applyMaintenance(endpoints.update(kind, discovered)));
    }

    private EndpointTable.EndpointUpdate applyMaintenance(EndpointTable.EndpointUpdate update) {
        return admin == null ? update : admin.applyMaintenance(update);
    }

    private void onUpdate(EndpointTable.EndpointUpdate update) {
        cluster.coordinator.onEndpointUpdate(update.kind(), update.entries(), update.addresses());
    }

    /** Completes when the sidecar listens, and fails if it can't. Thread-safe. */
    public ChannelFuture listening() {
        return listenFuture;
    }

    /** Ends the warm-up: the sidecar reports that it is ready once an upstream host is ready. */
    public void markWarmedUp() {
        cluster.listener.markWarmedUp();
        if (hotRestart != null) {
            hotRestart.enterPhase(ProcessPhase.SERVING);
        }
    }

    /** Switches to the registry at another address; requests are not affected. */
    public void switchRegistry(InetSocketAddress address) {
        discovery.switchRegistry(address);
    }

    /**
     * Drains the sidecar, as {@link appleridge.http1.ClientListener#drain} describes.
     *
     * @param whenDrained runs once nothing is open
     */
    public void drain(Runnable whenDrained) {
        drain(0, whenDrained);
    }

    /** Drains the sidecar after a shutdown request that is {@code requestedAgoNanos} old. */
    void drain(long requestedAgoNanos, Runnable whenDrained) {
        cluster.listener.drain(requestedAgoNanos, whenDrained);
        if (hotRestart != null) {
            hotRestart.enterPhase(ProcessPhase.DRAINING);
        }
    }

    /** Closes everything at once, including open requests. */
    public void close() {
        if (admin != null) {
            admin.close();
        }
        discovery.close();
        cluster.close();
    }

    /** Returns the numbers of requests and attempts in flight. */
    public InFlightCounts inFlightCounts() {
        return cluster.coordinator.inFlightCounts();
    }

    /** Returns the number of bytes of messages that are buffered for clients and upstream hosts. */
    public long bufferedBytes() {
        return cluster.buffers.requests().usedBytes() + cluster.buffers.responses().usedBytes();
    }

    /** Returns the number of response bytes that are written and that clients have not read. */
    public long unreadBytes() {
        return cluster.listener.unreadBytes();
    }

    /** Returns the number of request bytes that are written and that hosts have not read. */
    public long unsentBytes() {
        return cluster.connectionPool.unsentBytes();
    }

    /** Returns the number of open client connections. */
    public int clientConnectionCount() {
        return cluster.listener.connectionCount();
    }

    /** Returns the number of connections to upstream hosts that are open or being opened. */
    public int upstreamConnectionCount() {
        return cluster.connectionPool.connectionCount();
    }
}
