package appleridge.daemon;

import appleridge.config.Config;
import appleridge.discovery.Directory;
import appleridge.discovery.ListSource;
import appleridge.discovery.Member;
import appleridge.hotrestart.Overlap;
import appleridge.hotrestart.Phase;
import appleridge.hotrestart.Word;
import appleridge.loadbalancing.Balancer.ListKind;
import appleridge.request.Books;
import appleridge.transport.HeldListener;
import appleridge.transport.Loop;
import appleridge.transport.Sockets;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One real sidecar: its parts put together on one loop. To be called on that loop, but where told
 * otherwise.
 */
public final class Node {
    private final Service service;
    private final Directory directory;
    private final ListSource source;
    private final ChannelFuture listening;

    /** What operators may ask; null where they have no way to. */
    private final OperatorsDesk operators;

    /** Null where the sidecar is one process. */
    private final Handover handover;

    /** Begins to listen and to follow the list; it is not ready before {@link #warm()}. */
    public Node(Loop loop, Sockets sockets, Config config, Tuning tuning, ModuleFactory module) {
        this(loop, sockets, config, tuning, module, null, null);
    }

    /**
     * The same; with the listening socket that the platform holds, and what is known of other
     * processes of this sidecar that have it. Null where it listens itself.
     */
    Node(
            Loop loop,
            Sockets sockets,
            Config config,
            Tuning tuning,
            ModuleFactory module,
            HeldListener held,
            Handover handover) {
        this.handover = handover;
        this.service =
                new Service(
                        loop,
                        sockets,
                        config,
                        new Service.Size(
                                (int) (config.sockets() * tuning.clientsPart()),
                                (int) (config.sockets() * tuning.upstreamsPart())),
                        tuning.times(),
                        module);
        this.directory = new Directory(loop::place);
        this.source = tuning.source().make(loop, sockets, config, this::told);
        this.operators =
                config.admin() == null
                        ? null
                        : new OperatorsDesk(loop, sockets, config, service, this::told, this::keep);
        if (handover != null) {
            hear(handover.words());
        }
        Directory.News known = over(directory.news(ListKind.CACHED, source.begin()));
        service.exchanges.start(source, known.entries(), known.addresses());
        this.listening =
                held == null
                        ? service.server.listen(config.listen())
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
    void share(Overlap overlap) {
        service.server.share(overlap.accepts(), overlap.part());
        service.pool.share(overlap.part());
    }

    /** What operators have told others. */
    void hear(List<Word> words) {
        if (operators != null) {
            operators.hear(words);
        }
    }

    /** What operators have told this one. */
    List<Word> words() {
        return operators == null ? List.of() : operators.words();
    }

    private void told(ListKind kind, List<Member> members) {
        told(over(directory.news(kind, members)));
    }

    private Directory.News over(Directory.News news) {
        return operators == null ? news : operators.over(news);
    }

    private void told(Directory.News news) {
        service.exchanges.listChanged(news.kind(), news.entries(), news.addresses());
    }

    /** Done when it listens or can't. On any thread. */
    public ChannelFuture listening() {
        return listening;
    }

    /** From now on it says that it is ready, if it has a list to use. */
    public void warm() {
        service.server.warm();
        if (handover != null) {
            handover.phase(Phase.SERVING);
        }
    }

    /** Goes over to another discovery; requests go on untouched. */
    public void follow(InetSocketAddress otherDiscovery) {
        source.moveTo(otherDiscovery);
    }

    /** Ends the service in order, from now on: see {@link appleridge.http1.ClientServer#drain}. */
    public void drain(Runnable drained) {
        drain(0, drained);
    }

    /** The same, told so many nanoseconds ago. */
    void drain(long toldAgo, Runnable drained) {
        service.server.drain(toldAgo, drained);
        if (handover != null) {
            handover.phase(Phase.ENDING);
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
    public Books books() {
        return service.exchanges.books();
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
