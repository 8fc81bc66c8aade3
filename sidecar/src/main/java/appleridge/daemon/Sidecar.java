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
import java.util.List;

/**
 * One sidecar: discovery, upstream cluster and admin service put together on one event loop. Event
 * loop only, except where a method says otherwise.
 */
public final class Sidecar {
    private final UpstreamCluster cluster;
    private final EndpointTable endpoints;
    private final EndpointDiscovery discovery;
    private final ChannelFuture listening;

    /** Null where no address for operators is configured. */
    private final AdminService admin;

    /** Null where the sidecar is one process. */
    private final HotRestart hotRestart;

    /** Begins to listen and to follow discovery; it is not ready before {@link #markWarmedUp()}. */
    public Sidecar(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions options,
            PolicyFactory policyFactory) {
        this(loop, sockets, config, options, policyFactory, null, null);
    }

    /**
     * The same beside other processes of this sidecar.
     *
     * @param inherited the listening socket that the platform holds; null where it listens itself
     * @param hotRestart what is known of the other processes; null where it is the only one
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
                        options.clientTimeouts(),
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
        EndpointTable.EndpointUpdate known =
                applyMaintenance(endpoints.update(UpdateKind.CACHED_SNAPSHOT, discovery.start()));
        cluster.coordinator.start(discovery, known.entries(), known.addresses());
        this.listening = listen(config, inherited);
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

    private void runWhenPublished(Runnable then) {
        if (hotRestart == null) {
            then.run();
        } else {
            hotRestart.runWhenPublished(then);
        }
    }

    /** Limits what it uses beside other processes of its sidecar. */
    void share(ResourceShare share) {
        cluster.listener.setConnectionShare(share.acceptsConnections(), share.connectionFraction());
        cluster.connectionPool.setConnectionShare(share.connectionFraction());
    }

    /** Takes in what operators have told other processes of this sidecar. */
    void mergeDirectives(List<MaintenanceDirective> directives) {
        if (admin != null) {
            admin.merge(directives);
        }
    }

    /** What operators have told this process. */
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

    /** Done when it listens, or failed when it can't. On any thread. */
    public ChannelFuture listening() {
        return listening;
    }

    /** From now on it says that it is ready, if some host is ready. */
    public void markWarmedUp() {
        cluster.listener.markWarmedUp();
        if (hotRestart != null) {
            hotRestart.phase(ProcessPhase.SERVING);
        }
    }

    /** Goes over to another discovery; requests go on untouched. */
    public void switchRegistry(InetSocketAddress otherDiscovery) {
        discovery.switchRegistry(otherDiscovery);
    }

    /**
     * Ends the service in order, from now on: see {@link appleridge.http1.ClientListener#drain}.
     */
    public void drain(Runnable whenDrained) {
        drain(0, whenDrained);
    }

    /** The same, where it was asked for so many nanoseconds ago. */
    void drain(long requestedAgoNanos, Runnable whenDrained) {
        cluster.listener.drain(requestedAgoNanos, whenDrained);
        if (hotRestart != null) {
            hotRestart.phase(ProcessPhase.DRAINING);
        }
    }

    /** Ends at once, whatever is open. */
    public void close() {
        if (admin != null) {
            admin.close();
        }
        discovery.close();
        cluster.close();
    }

    /** What is in flight. */
    public InFlightCounts inFlightCounts() {
        return cluster.coordinator.inFlightCounts();
    }

    /** Connections of clients that are open. */
    public int clientConnectionCount() {
        return cluster.listener.connectionCount();
    }

    /** Connections to upstream hosts that are open or being opened. */
    public int upstreamConnectionCount() {
        return cluster.connectionPool.connectionCount();
    }
}
