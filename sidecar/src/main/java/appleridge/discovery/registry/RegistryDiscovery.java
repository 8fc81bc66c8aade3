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
 * Follows the registry's endpoint list: one watch after the other, one call at a time. When to poll
 * again after a failure is the policy's decision: it is notified of each failure and subscribes
 * again. All methods are to be called on the event loop.
 */
public final class RegistryDiscovery implements EndpointDiscovery, RegistryConnection.Caller {
    private static final String LIST_PATH = "/registry/instances";

    /**
     * The shortest time from one watch to the next, where the first had no news: an agent or a
     * service that answers a watch at once must not be polled without rest. Below the 200 ms in
     * which a watch is renewed, and the 250 ms in which a drain may have to take effect.
     */
    private static final long MIN_WATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A call that is out for less was sent after an event-loop stall, not before it. */
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

    /** A watch whose response is overdue: still listened to, while another call polls. */
    private RegistryConnection overdueWatch;

    private Scheduler.ScheduledTask timeout = () -> {};
    private boolean calling;

    /** When the open watch was sent; 0 while a call that need not wait is open. */
    private long watchSentAtNanos;

    private long sentAtNanos;
    private long previousSentAtNanos;

    /** More may count as notified than was received; the next snapshot brings it. */
    private boolean behind;

    private boolean catchingUp;
    private boolean watching;
    private boolean failing;

    /** The next call is for a snapshot, which is believed whatever its revision. */
    private boolean snapshotRequired;

    private long revision;

    /**
     * The revision that the overdue watch brought; a call sent beside it may bring an older one.
     */
    private long overdueRevision = Long.MIN_VALUE;

    /** {@code cachedEndpoints}: the list that the sidecar was given, in the registry's form. */
    public RegistryDiscovery(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            Optional<JsonNode> cachedEndpoints,
            EndpointListParser parser,
            DiscoveryListener listener,
            PollPolicy pollPolicy) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.cachedEndpoints = cachedEndpoints;
        this.parser = parser;
        this.listener = listener;
        this.pollPolicy = pollPolicy;
        // What a local agent has counts as notified before a new process has polled it.
        this.behind = pollPolicy.notificationDelayNanos() == 0;
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

    /** Polls a snapshot in place of the open watch; a watch follows it. */
    @Override
    public void fetchEndpoints() {
        dropAll();
        call(LIST_PATH, 0);
    }

    /**
     * Reads what was received while the loop was stalled. The response to the open watch may be old
     * by then, and what the registry learnt after it may count as notified too: taken alone, it
     * would let requests go to hosts that began to drain meanwhile. So a snapshot is polled after
     * it. Where the watch is still open there was nothing to notify.
     */
    @Override
    public void readPendingUpdates() {
        long now = loop.nanoTime();
        long asked = sentAtNanos;
        boolean justAsked = now - asked < JUST_SENT_NANOS;
        boolean wasBehind = behind;
        behind |=
                now - (justAsked ? previousSentAtNanos : asked)
                        > pollPolicy.notificationDelayNanos();
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
                                > pollPolicy.watchNanos() + pollPolicy.watchGraceNanos())) {
            behind = true;
            timeout.cancel();
            pollBesideWatch();
        } else if (watchIsOut) {
            behind = wasBehind;
            if (!failing) {
                // Requests that wait for an update would wait for a watch that has none.
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
     * Follows another registry from now on, beginning with a snapshot, because its revisions need
     * not go on from the old one's. A call that is open does not fail with that: what the old
     * registry has notified may be on its way, so it is listened to until the new one answers.
     */
    @Override
    public void switchRegistry(InetSocketAddress other) {
        endCall();
        // Of an overdue watch and the call beside it, the call is the one that is answered.
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

    /** The next call is for a snapshot, which is believed whatever its revision. */
    private void requireSnapshot() {
        snapshotRequired = true;
    }

    @Override
    public void close() {
        watching = false;
        dropAll();
    }

    private void watch() {
        if (snapshotRequired || behind || failing && pollPolicy.snapshotAfterFailure()) {
            call(LIST_PATH, 0);
            return;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(pollPolicy.watchNanos());
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
            timeout = loop.schedule(wait + pollPolicy.watchGraceNanos(), this::pollBesideWatch);
        } else {
            // A machine that vanished sends nothing, and would be waited for without end.
            timeout =
                    loop.schedule(
                            wait + pollPolicy.callTimeoutNanos(),
                            () -> onFailure(connection, "no answer in time"));
        }
    }

    /**
     * Polls a snapshot beside a watch that is overdue. What the registry has counts as notified two
     * seconds after a watch's time is over, whether or not the watch is lost; polled only once the
     * loss is certain, it would come too late for drains.
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

    /** The overdue watch, for which another call was sent, has its response after all. */
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
        // Before the update is published: the policy takes any update for a subscription that
        // stands, and would not subscribe again.
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
            // An older list may take back a drain. A registry that began anew answers the same when
            // polled for a snapshot, and is believed then.
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
            timeout = loop.schedule(rest, this::watchAgain);
        }
        publish(update);
    }

    /**
     * Watches again at once: the registry keeps a watch's place only if the next call comes soon,
     * and no change in between is lost then.
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
        // An overdue watch may still bring its update, and is listened to all the more.
        endCall();
        dropConnection();
        if (!failing) {
            failing = true;
            loop.log().warning("discovery fails: " + why);
        }
        listener.onUpdate(UpdateKind.FAILURE, List.of());
    }

    /**
     * Gives the overdue watch up for the call beside it: a lost watch would go on holding the only
     * socket there is.
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
