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
 * One real sidecar: its parts put together on one loop. To be called on that loop, but where told
 * otherwise.
 */
public final class Sidecar {
    private final UpstreamCluster service;
    private final EndpointTable directory;
    private final EndpointDiscovery source;
    private final ChannelFuture listening;

    /** What operators may ask; null where they have no way to. */
    private final AdminService operators;

    /** Null where the sidecar is one process. */
    private final HotRestart handover;

    /** Begins to listen and to follow the list; it is not ready before {@link #warm()}. */
    public Sidecar(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions tuning,
            PolicyFactory module) {
        this(loop, sockets, config, tuning, module, null, null);
    }

    /**
     * The same; with the listening socket that the platform holds, and what is known of other
     * processes of this sidecar that have it. Null where it listens itself.
     */
    Sidecar(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions tuning,
            PolicyFactory module,
            InheritedListener held,
            HotRestart handover) {
        this.handover = handover;
        this.service =
                new UpstreamCluster(
                        loop,
                        sockets,
                        config,
                        new UpstreamCluster.Size(
                                (int) (config.maxDescriptors() * tuning.clientsPart()),
                                (int) (config.maxDescriptors() * tuning.upstreamsPart())),
                        tuning.times(),
                        module);
        this.directory = new EndpointTable(loop::place);
        this.source = tuning.source().make(loop, sockets, config, this::told);
        this.operators =
                config.adminAddress().isEmpty()
                        ? null
                        : new AdminService(loop, sockets, config, service, this::told, this::keep);
        if (handover != null) {
            hear(handover.words());
        }
        EndpointTable.EndpointUpdate known =
                over(directory.update(UpdateKind.CACHED_SNAPSHOT, source.start()));
        service.exchanges.start(source, known.entries(), known.addresses());
        this.listening =
                held == null
                        ? service.server.listen(config.listenAddress())
                        : service.server.listen(
                                held, handover == null || handover.overlap().accepts());
        if (handover != null) {
            handover.attach(loop, this);
        }
    }

    private void keep(Runnable then) {
        if (handover == null) {
            then.run();
        } else {
            handover.keep(then);
        }
    }

    /** What it may use beside other processes of its sidecar. */
    void share(ResourceShare overlap) {
        service.server.share(overlap.accepts(), overlap.fraction());
        service.pool.share(overlap.fraction());
    }

    /** What operators have told others. */
    void hear(List<MaintenanceDirective> words) {
        if (operators != null) {
            operators.hear(words);
        }
    }

    /** What operators have told this one. */
    List<MaintenanceDirective> words() {
        return operators == null ? List.of() : operators.words();
    }

    private void told(UpdateKind kind, List<DiscoveredEndpoint> members) {
        told(over(directory.update(kind, members)));
    }

    private EndpointTable.EndpointUpdate over(EndpointTable.EndpointUpdate news) {
        return operators == null ? news : operators.over(news);
    }

    private void told(EndpointTable.EndpointUpdate news) {
        service.exchanges.onEndpointUpdate(news.kind(), news.entries(), news.addresses());
    }

    /** Done when it listens or can't. On any thread. */
    public ChannelFuture listening() {
        return listening;
    }

    /** From now on it says that it is ready, if it has a list to use. */
    public void warm() {
        service.server.warm();
        if (handover != null) {
            handover.phase(ProcessPhase.SERVING);
        }
    }

    /** Goes over to another discovery; requests go on untouched. */
    public void follow(InetSocketAddress otherDiscovery) {
        source.switchRegistry(otherDiscovery);
    }

    /**
     * Ends the service in order, from now on: see {@link appleridge.http1.ClientListener#drain}.
     */
    public void drain(Runnable drained) {
        drain(0, drained);
    }

    /** The same, told so many nanoseconds ago. */
    void drain(long toldAgo, Runnable drained) {
        service.server.drain(toldAgo, drained);
        if (handover != null) {
            handover.phase(ProcessPhase.DRAINING);
        }
    }

    /** Ends at once, whatever is open. */
    public void close() {
        if (operators != null) {
            operators.close();
        }
        source.close();
        service.close();
    }

    /** What is open. */
    public InFlightCounts books() {
        return service.exchanges.inFlightCounts();
    }

    /** Connections of clients that are open. */
    public int clients() {
        return service.server.connections();
    }

    /** Connections to upstreams that are open or being opened. */
    public int upstreams() {
        return service.pool.connections();
    }
}
