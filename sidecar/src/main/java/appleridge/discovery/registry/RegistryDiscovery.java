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
 * Follows the registry's endpoint list by watches, with one call at a time. The policy is notified
 * of each failure and decides when to subscribe again. Must be called on the event loop.
 */
public final class RegistryDiscovery implements EndpointDiscovery, RegistryConnection.Caller {
    private static final String LIST_PATH = "/registry/instances";

    /**
     * The shortest time between two watches if the first one brought no update, so that a registry
     * that answers each watch at once is not polled in a tight loop. Shorter than the 200 ms within
     * which a watch must be renewed and the 250 ms within which a drain may have to take effect.
     */
    private static final long MIN_WATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A call sent less than this ago was sent after an event-loop stall, not before it. */
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

    /** A watch whose response is overdue and still accepted while another call polls. */
    private RegistryConnection overdueWatch;

    private Scheduler.ScheduledTask timeout = () -> {};
    private boolean callInFlight;

    /** When the watch in flight was sent; 0 while the call in flight is not a watch. */
    private long watchSentAtNanos;

    private long sentAtNanos;
    private long previousSentAtNanos;

    /** Whether more may count as notified than was received; the next snapshot contains it. */
    private boolean behind;

    private boolean catchingUp;
    private boolean watching;
    private boolean failing;

    /** The next call is for a snapshot, which is accepted whatever its revision. */
    private boolean snapshotRequired;

    private long revision;

    /** Revision that the overdue watch brought; the call sent beside it may bring an older one. */
    private long overdueRevision = Long.MIN_VALUE;

    /** {@code cachedEndpoints}: the list that the sidecar starts with, in the registry's format. */
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
        // What a local agent knows counts as notified even before this process first polls it.
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
        if (on && !callInFlight) {
            watch();
        }
    }

    /** Polls a snapshot in place of the watch in flight; a watch follows it. */
    @Override
    public void fetchEndpoints() {
        dropAll();
        call(LIST_PATH, 0);
    }

    /**
     * Reads what was received while the loop was stalled. The response to the watch may be old by
     * then, and later changes at the registry may count as notified too: applied alone, it would
     * let requests go to hosts that began to drain meanwhile. Therefore a snapshot is polled after
     * it. A watch that is still in flight had no update to bring.
     */
    @Override
    public void readPendingUpdates() {
        long now = loop.nanoTime();
        long lastSentAtNanos = sentAtNanos;
        boolean justSent = now - lastSentAtNanos < JUST_SENT_NANOS;
        boolean wasBehind = behind;
        behind |=
                now - (justSent ? previousSentAtNanos : lastSentAtNanos)
                        > pollPolicy.notificationDelayNanos();
        catchingUp = true;
        if (overdueWatch != null) {
            overdueWatch.readNow();
        }
        if (connection != null) {
            connection.readNow();
        }
        catchingUp = false;
        boolean watchInFlight =
                watching && callInFlight && watchSentAtNanos > 0 && lastSentAtNanos == sentAtNanos;
        if (watchInFlight
                && (behind && justSent
                        || now - watchSentAtNanos
                                > pollPolicy.watchNanos() + pollPolicy.watchGraceNanos())) {
            behind = true;
            timeout.cancel();
            pollBesideWatch();
        } else if (watchInFlight) {
            behind = wasBehind;
            if (!failing) {
                // Requests that wait for an update must not wait for a watch that has none.
                listener.onUpdate(UpdateKind.DELTA, List.of());
            }
        } else if (behind && watching && !callInFlight && !failing) {
            watch();
        }
    }

    @Override
    public boolean isCaughtUp() {
        return !behind;
    }

    /**
     * Switches to another registry, starting with a snapshot, because its revisions need not
     * continue the old registry's. The call in flight is kept until the new registry responds,
     * because an update that the old registry has sent may still be on its way.
     */
    @Override
    public void switchRegistry(InetSocketAddress other) {
        endCall();
        // Of an overdue watch and the call beside it, the call is the one likely to be answered.
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

    /** Makes the next call one for a snapshot, which is accepted whatever its revision. */
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

    private void call(String uri, long watchNanos) {
        timeout.cancel();
        callInFlight = true;
        previousSentAtNanos = sentAtNanos;
        sentAtNanos = loop.nanoTime();
        watchSentAtNanos = watchNanos > 0 ? sentAtNanos : 0;
        if (connection == null || !connection.isUsable()) {
            if (connection != null) {
                connection.drop();
            }
            connection = new RegistryConnection(loop, sockets, address, this);
        }
        connection.call(uri);
        if (watchNanos > 0) {
            timeout =
                    loop.schedule(watchNanos + pollPolicy.watchGraceNanos(), this::pollBesideWatch);
        } else {
            // A machine that has failed sends nothing, not even a reset.
            timeout =
                    loop.schedule(
                            watchNanos + pollPolicy.callTimeoutNanos(),
                            () -> onFailure(connection, "no response in time"));
        }
    }

    /**
     * Polls a snapshot beside a watch that is overdue. What the registry knows counts as notified
     * two seconds after the end of a watch, whether or not the watch was lost. Polling only once
     * the loss is certain would be too late for drains.
     */
    private void pollBesideWatch() {
        dropOverdue();
        overdueWatch = connection;
        connection = null;
        call(LIST_PATH, 0);
    }

    @Override
    public void onResponse(RegistryConnection source, FullHttpResponse response) {
        try {
            if (response.status().code() != 200) {
                onFailure(source, "response with status " + response.status().code());
                return;
            }
            JsonNode list = json.readTree(ByteBufUtil.getBytes(response.content()));
            if (source == overdueWatch) {
                onOverdueResponse(list);
            } else {
                onTimelyResponse(list);
            }
        } catch (IOException | IllegalArgumentException e) {
            onFailure(source, "malformed response: " + e.getMessage());
        }
    }

    /** Handles the response to an overdue watch, beside which another call was sent. */
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
        // Before the update is published: the policy takes any update as proof of an active
        // subscription, and would not subscribe again.
        if (!callInFlight) {
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
            // An older list may revert a drain. A registry whose revisions have restarted gives the
            // same one when polled for a snapshot, and is believed then.
            requireSnapshot();
            onFailure(
                    connection,
                    "list revision " + update.revision() + " is older than " + revision);
            return;
        }
        endCall();
        dropOverdue();
        behind &= catchingUp || watchSentAtNanos > 0;
        boolean changed = update.revision() != revision;
        revision = update.revision();
        snapshotRequired &= update.kind() != UpdateKind.SNAPSHOT;
        long rest = watchSentAtNanos + MIN_WATCH_INTERVAL_NANOS - loop.nanoTime();
        if (changed || rest <= 0) {
            watchAgain();
        } else {
            timeout = loop.schedule(rest, this::watchAgain);
        }
        publish(update);
    }

    /**
     * Sends the next watch at once: the registry keeps a watcher's position only if its next call
     * comes soon; then no change in between is lost.
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
    public void onFailure(RegistryConnection source, String reason) {
        if (source == overdueWatch) {
            dropOverdue();
            return;
        }
        // An overdue watch is kept, because it may still bring its update.
        endCall();
        dropConnection();
        if (!failing) {
            failing = true;
            loop.log().warning("discovery fails: " + reason);
        }
        listener.onUpdate(UpdateKind.FAILURE, List.of());
    }

    /**
     * Drops the overdue watch in favour of the call beside it: a lost watch would otherwise keep
     * the only available socket.
     */
    @Override
    public void onNoSocket(RegistryConnection source, String reason) {
        if (source == connection && overdueWatch != null) {
            dropOverdue();
            endCall();
            connection = null;
            call(LIST_PATH, 0);
        } else {
            onFailure(source, "no socket: " + reason);
        }
    }

    private void endCall() {
        callInFlight = false;
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
