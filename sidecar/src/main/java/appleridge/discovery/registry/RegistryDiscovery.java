package appleridge.discovery.registry;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.loadbalancing.UpdateKind;
import appleridge.request.Scheduler;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Follows the list of upstreams: one watch after the other, one call at a time. When to ask again
 * after a failure is the module's to say: it is told of each and subscribes again.
 */
public final class RegistryDiscovery implements EndpointDiscovery, RegistryConnection.Caller {
    /**
     * How long what is asked may take, in nanoseconds.
     *
     * @param watch a watch without news
     * @param onOverdueResponse what a watch may take beyond that before discovery is asked beside
     *     it
     * @param patience a call that need not wait
     * @param wholeAgain what has failed is followed by a call for the whole list, which need not
     *     wait, and not by a watch
     * @param holds for so long after a call no more counts as told than what was written
     */
    public record PollPolicy(
            long watchNanos,
            long watchGraceNanos,
            long callTimeoutNanos,
            boolean snapshotAfterFailure,
            long notificationDelayNanos) {
        /**
         * Where an agent on the same machine has what is pushed. It answers at once or, while what
         * is behind it is down, not at all; and when it is back what it has counts as told, by
         * whatever call.
         */
        public static final PollPolicy AGENT =
                new PollPolicy(
                        TimeUnit.SECONDS.toNanos(1),
                        TimeUnit.MILLISECONDS.toNanos(250),
                        TimeUnit.MILLISECONDS.toNanos(150),
                        true,
                        0);

        /** The protocol's longest wait. */
        private static final long MAX_WATCH_NANOS = TimeUnit.SECONDS.toNanos(60);

        /**
         * Where one service is asked by all, which gives a call up after two seconds itself.
         * Danger: a watch that discovery has lost looks like one without news until its time is
         * over, and all that is replaced meanwhile is missed. Short ones cost discovery a few calls
         * more.
         *
         * @param within nanoseconds in which discovery has to be asked at least once
         */
        public static PollPolicy asked(long within) {
            return new PollPolicy(
                    Math.min(MAX_WATCH_NANOS, within / 4),
                    TimeUnit.MILLISECONDS.toNanos(500),
                    TimeUnit.SECONDS.toNanos(3),
                    false,
                    within);
        }
    }

    private static final String LIST_PATH = "/registry/instances";

    /**
     * From one watch to the next, where the first had no news. Invariant: nobody is asked without
     * rest, as an agent or a service would be that answers a watch at once with what it has. Less
     * than the 200 ms in which a watch goes on, and than the 250 ms in which drains may have to
     * take effect.
     */
    private static final long MIN_WATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A call that is out for less was made after a stand-still, and not before it. */
    private static final long JUST_SENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private InetSocketAddress address;
    private final Optional<JsonNode> cachedEndpoints;
    private final EndpointListParser parser;
    private final DiscoveryListener listener;
    private final ObjectMapper json = new ObjectMapper();
    private final PollPolicy pollPolicy;
    private RegistryConnection connection;

    /** A watch whose answer is overdue: still listened to, while another one asks. */
    private RegistryConnection overdueWatch;

    private Scheduler.ScheduledTask timeout = () -> {};
    private boolean calling;

    /** When the watch that is out was asked; for a call that need not wait, 0. */
    private long watchSentAtNanos;

    private long sentAtNanos;
    private long previousSentAtNanos;

    /** More may count as told than has come; the answer to a call for the whole list brings it. */
    private boolean behind;

    private boolean catchingUp;
    private boolean watching;
    private boolean failing;

    /** Nothing that this discovery says builds on what another one said. */
    private boolean snapshotRequired;

    private long revision;

    /** What the overdue watch has told; what was asked beside it may be older. */
    private long overdueRevision = Long.MIN_VALUE;

    /** {@code cachedEndpoints}: the list that the sidecar was given, in the registry's form. */
    public RegistryDiscovery(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            Optional<JsonNode> cachedEndpoints,
            EndpointListParser lists,
            DiscoveryListener sink,
            PollPolicy pace) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.cachedEndpoints = cachedEndpoints;
        this.parser = lists;
        this.listener = sink;
        this.pollPolicy = pace;
        // Danger: where lists are pushed, what the agent has counts as told before a new process
        // has asked.
        this.behind = pace.notificationDelayNanos == 0;
    }

    @Override
    public List<DiscoveredEndpoint> start() {
        EndpointListParser.Update update =
                cachedEndpoints
                        .map(parser::read)
                        .orElseGet(
                                () ->
                                        new EndpointListParser.Update(
                                                0, UpdateKind.CACHED_SNAPSHOT, List.of()));
        revision = update.revision();
        return update.members();
    }

    @Override
    public void subscribe(boolean on) {
        watching = on;
        if (on && !calling) {
            watch();
        }
    }

    /** A whole list takes the place of a watch that is out; the watch goes on after it. */
    @Override
    public void fetchEndpoints() {
        dropAll();
        call(LIST_PATH, 0);
    }

    /**
     * Danger: a watch may have been answered long since, and what has come to discovery after that
     * may count as told too; the old answer alone would let requests go on to who has drained
     * meanwhile. So after one all is asked for, and that answer tells. Where a watch is still out
     * there was nothing to tell.
     */
    @Override
    public void readPendingUpdates() {
        long now = loop.nanoTime();
        long asked = sentAtNanos;
        boolean justAsked = now - asked < JUST_SENT_NANOS;
        boolean wasBehind = behind;
        behind |=
                now - (justAsked ? previousSentAtNanos : asked) > pollPolicy.notificationDelayNanos;
        catchingUp = true;
        if (overdueWatch != null) {
            overdueWatch.readNow();
        }
        if (connection != null) {
            connection.readNow();
        }
        catchingUp = false;
        boolean watchIsOut = watching && calling && watchSentAtNanos > 0 && asked == sentAtNanos;
        if (watchIsOut
                && (behind && justAsked
                        || now - watchSentAtNanos
                                > pollPolicy.watchNanos + pollPolicy.watchGraceNanos)) {
            behind = true;
            timeout.cancel();
            pollBesideWatch();
        } else if (watchIsOut) {
            behind = wasBehind;
            if (!failing) {
                // Danger: kept back for word of the list, requests would wait for a watch that has
                // none.
                listener.onUpdate(UpdateKind.DELTA, List.of());
            }
        } else if (behind && watching && !calling && !failing) {
            watch();
        }
    }

    @Override
    public boolean isCaughtUp() {
        return !behind;
    }

    /**
     * Follows another discovery from now on: first its whole list, whose versions need not go on
     * from the old one's. A call that is out does not fail with that: what the old one has told may
     * be on its way, so it is listened to until the new one answers.
     */
    @Override
    public void switchRegistry(InetSocketAddress other) {
        endCall();
        // Danger: of a watch that is overdue and the call beside it, the call is the one that is
        // answered.
        if (connection != null && !snapshotRequired) {
            dropOverdue();
        }
        if (overdueWatch == null) {
            overdueWatch = connection;
        } else if (connection != null) {
            connection.drop();
        }
        connection = null;
        overdueRevision = Long.MIN_VALUE;
        address = other;
        requireSnapshot();
        if (watching) {
            watch();
        }
    }

    /** What is asked next is the whole list, and it is believed whatever its version. */
    private void requireSnapshot() {
        snapshotRequired = true;
    }

    @Override
    public void close() {
        watching = false;
        dropAll();
    }

    private void watch() {
        if (snapshotRequired || behind || failing && pollPolicy.snapshotAfterFailure) {
            call(LIST_PATH, 0);
            return;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(pollPolicy.watchNanos);
        call(
                LIST_PATH + "?since=" + revision + "&timeout_ms=" + millis,
                TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private void call(String uri, long wait) {
        timeout.cancel();
        calling = true;
        previousSentAtNanos = sentAtNanos;
        sentAtNanos = loop.nanoTime();
        watchSentAtNanos = wait > 0 ? sentAtNanos : 0;
        if (connection == null || !connection.isUsable()) {
            if (connection != null) {
                connection.drop();
            }
            connection = new RegistryConnection(loop, sockets, address, this);
        }
        connection.call(uri);
        if (wait > 0) {
            timeout = loop.after(wait + pollPolicy.watchGraceNanos, this::pollBesideWatch);
        } else {
            // Danger: a machine that vanished says nothing, and would be waited for without end.
            timeout =
                    loop.after(
                            wait + pollPolicy.callTimeoutNanos,
                            () -> onFailure(connection, "no answer in time"));
        }
    }

    /**
     * Danger: what discovery has to tell counts as told two seconds after a watch's time is over,
     * whether or not the watch is lost; given up only when that is certain, it would be asked again
     * too late for drains.
     */
    private void pollBesideWatch() {
        dropOverdue();
        overdueWatch = connection;
        connection = null;
        call(LIST_PATH, 0);
    }

    @Override
    public void onResponse(RegistryConnection by, FullHttpResponse answer) {
        try {
            if (answer.status().code() != 200) {
                onFailure(by, "answer " + answer.status().code());
                return;
            }
            JsonNode list = json.readTree(ByteBufUtil.getBytes(answer.content()));
            if (by == overdueWatch) {
                onOverdueResponse(list);
            } else {
                onTimelyResponse(list);
            }
        } catch (IOException | IllegalArgumentException e) {
            onFailure(by, "malformed answer: " + e.getMessage());
        }
    }

    /** The watch that another call was to make up for has its answer after all. */
    private void onOverdueResponse(JsonNode list) {
        EndpointListParser.Update update = parser.read(list);
        boolean old = update.revision() < revision && !snapshotRequired;
        if (!snapshotRequired && !old) {
            revision = update.revision();
            overdueRevision = revision;
        }
        dropOverdue();
        if (old) {
            return;
        }
        // Danger: the module takes any news for a subscription that stands, and would not subscribe
        // again.
        if (!calling) {
            watchAgain();
        }
        publish(update);
    }

    private void onTimelyResponse(JsonNode list) {
        boolean old = list.path("rev").asLong() < overdueRevision;
        overdueRevision = Long.MIN_VALUE;
        if (old) {
            endCall();
            watchAgain();
            return;
        }
        EndpointListParser.Update update = parser.read(list);
        if (update.revision() < revision && !snapshotRequired) {
            // Danger: whoever answers with less than it has told may take back a drain. One that
            // began anew
            // says so again when asked for all it has, and is believed then.
            requireSnapshot();
            onFailure(connection, "a list older than the last one: " + update.revision());
            return;
        }
        endCall();
        dropOverdue();
        behind &= catchingUp || watchSentAtNanos > 0;
        boolean news = update.revision() != revision;
        revision = update.revision();
        snapshotRequired &= update.kind() != UpdateKind.SNAPSHOT;
        long rest = watchSentAtNanos + MIN_WATCH_INTERVAL_NANOS - loop.nanoTime();
        if (news || rest <= 0) {
            watchAgain();
        } else {
            timeout = loop.after(rest, this::watchAgain);
        }
        publish(update);
    }

    /**
     * At once: a watch goes on only if the next call comes soon, and news in between is not lost
     * so.
     */
    private void watchAgain() {
        if (watching) {
            watch();
        }
    }

    private void publish(EndpointListParser.Update update) {
        if (failing) {
            failing = false;
            loop.log().info("discovery answers again");
        }
        listener.onUpdate(update.kind(), update.members());
    }

    @Override
    public void onFailure(RegistryConnection by, String why) {
        if (by == overdueWatch) {
            dropOverdue();
            return;
        }
        // What is overdue may tell its news yet, and is all the more listened to.
        endCall();
        dropConnection();
        if (!failing) {
            failing = true;
            loop.log().warning("discovery fails: " + why);
        }
        listener.onUpdate(UpdateKind.FAILURE, List.of());
    }

    /**
     * Danger: a lost watch would go on holding the one socket there is, while the call that is to
     * make up for it finds none.
     */
    @Override
    public void onNoSocket(RegistryConnection by, String why) {
        if (by == connection && overdueWatch != null) {
            dropOverdue();
            endCall();
            connection = null;
            call(LIST_PATH, 0);
        } else {
            onFailure(by, "no socket: " + why);
        }
    }

    private void endCall() {
        calling = false;
        timeout.cancel();
    }

    private void dropOverdue() {
        if (overdueWatch != null) {
            overdueWatch.drop();
            overdueWatch = null;
        }
    }

    private void dropConnection() {
        if (connection != null) {
            connection.drop();
            connection = null;
        }
    }

    private void dropAll() {
        endCall();
        dropOverdue();
        dropConnection();
    }
}
