package appleridge.discovery.registry;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.loadbalancing.UpdateKind;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Follows the registry's endpoint list by watches, with one call at a time. The policy is notified
 * of each failure and decides when to subscribe again. Must be called on the event loop.
 */
public final class RegistryDiscovery implements EndpointDiscovery, RegistryCalls.Listener {
    /**
     * The shortest time between two watches if the first one brought no update, so that a registry
     * that answers each watch at once is not polled in a tight loop. Shorter than the 200 ms within
     * which a watch must be renewed and the 250 ms within which a drain may have to take effect.
     */
    private static final long MIN_WATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * The shortest time between two calls to a local agent if the first one failed: short against
     * any drain grace, in which the first answer after an outage has to arrive.
     */
    private static final long MIN_FAILED_CALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /** A call sent less than this ago was sent after an event-loop stall, not before it. */
    private static final long JUST_SENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final SidecarEventLoop loop;
    private final Optional<JsonNode> cachedEndpoints;
    private final EndpointListParser parser;
    private final DiscoveryListener listener;
    private final PollPolicy pollPolicy;
    private final ListStaleness staleness;
    private final RegistryCalls calls;

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

    /**
     * Creates a source that does nothing before {@link #start}.
     *
     * @param cachedEndpoints the list that the sidecar starts with, in the registry's format
     * @param drainGraceNanos the time within which a drain has to take effect
     */
    public RegistryDiscovery(
            SidecarEventLoop loop,
            SocketFactory sockets,
            InetSocketAddress address,
            Optional<JsonNode> cachedEndpoints,
            EndpointListParser parser,
            DiscoveryListener listener,
            PollPolicy pollPolicy,
            long drainGraceNanos) {
        this.loop = loop;
        this.cachedEndpoints = cachedEndpoints;
        this.parser = parser;
        this.listener = listener;
        this.pollPolicy = pollPolicy;
        this.staleness = new ListStaleness(pollPolicy, loop.processStartNanos(), drainGraceNanos);
        this.calls = new RegistryCalls(loop, sockets, address, pollPolicy, this);
        this.behind = pollPolicy.isLocalAgent();
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
        if (on && !calls.isInFlight()) {
            long rest = calls.sentAtNanos() + MIN_FAILED_CALL_INTERVAL_NANOS - loop.nanoTime();
            if (failing && pollPolicy.isLocalAgent() && rest > 0) {
                calls.scheduleNext(rest, this::watchAgain);
            } else {
                watch();
            }
        }
    }

    /** Polls a snapshot in place of the watch in flight; a watch follows it. */
    @Override
    public void fetchEndpoints() {
        calls.dropAll();
        calls.pollSnapshot();
    }

    /**
     * Reads what was received while the loop was stalled. The response to the watch may be old by
     * then, and later changes at the registry may count as notified too: applied alone, it would
     * let requests go to hosts that began to drain meanwhile. Therefore a snapshot is polled after
     * it. A watch that is still in flight had no update to bring.
     */
    @Override
    public void readPendingUpdates(long stalledSinceNanos) {
        long now = loop.nanoTime();
        long lastSentAtNanos = calls.sentAtNanos();
        boolean justSent = now - lastSentAtNanos < JUST_SENT_NANOS;
        long sentBeforeNanos = justSent ? calls.previousSentAtNanos() : lastSentAtNanos;
        boolean wasBehind = behind;
        boolean wasWatch = calls.isWatch();
        behind |= now - sentBeforeNanos > pollPolicy.notificationDelayNanos();
        catchingUp = true;
        calls.readNow();
        catchingUp = false;
        boolean sameCall = calls.isInFlight() && lastSentAtNanos == calls.sentAtNanos();
        boolean unanswered = !justSent && calls.isUnanswered(lastSentAtNanos);
        staleness.onStall(
                new ListStaleness.Stall(
                        stalledSinceNanos, now, sentBeforeNanos, wasWatch, unanswered, failing));
        boolean watchInFlight = watching && sameCall && calls.isWatch();
        if (watchInFlight && (behind && justSent || calls.isWatchOverdue(now))) {
            behind = true;
            calls.pollBesideWatch();
        } else if (watchInFlight) {
            behind = wasBehind;
            if (!failing) {
                // Requests that wait for an update must not wait for a watch that has none.
                listener.onUpdate(UpdateKind.DELTA, List.of());
            }
        } else if (behind && watching && !calls.isInFlight() && !failing) {
            watch();
        }
    }

    @Override
    public boolean isCaughtUp() {
        return !behind;
    }

    @Override
    public long staleSinceNanos() {
        return staleness.staleSinceNanos();
    }

    @Override
    public boolean isFailing() {
        return failing;
    }

    /**
     * Switches to another registry, starting with a snapshot, because its revisions need not
     * continue the old registry's. The call in flight is kept until the new registry responds,
     * because an update that the old registry has sent may still be on its way.
     */
    @Override
    public void switchRegistry(InetSocketAddress other) {
        calls.switchAddress(other, !snapshotRequired);
        overdueRevision = Long.MIN_VALUE;
        requireSnapshot();
        staleness.onRegistrySwitched(loop.nanoTime());
        behind |= pollPolicy.isLocalAgent();
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
        calls.dropAll();
    }

    private void watch() {
        if (snapshotRequired || behind || failing && pollPolicy.snapshotAfterFailure()) {
            calls.pollSnapshot();
        } else {
            calls.watch(revision);
        }
    }

    /**
     * Polls a snapshot beside a watch that is overdue. What the registry knows counts as notified
     * two seconds after the end of a watch, whether or not the watch was lost. Polling only once
     * the loss is certain would be too late for drains.
     */
    @Override
    public void onWatchOverdue() {
        calls.pollBesideWatch();
    }

    /** Handles the response to an overdue watch, beside which another call was sent. */
    @Override
    public void onOverdueList(JsonNode list) {
        EndpointListParser.Update update = parser.read(list);
        boolean old = update.revision() < revision && !snapshotRequired;
        if (!snapshotRequired && !old) {
            revision = update.revision();
            overdueRevision = revision;
        }
        calls.dropOverdue();
        if (old) {
            return;
        }
        // Before the update is published: the policy takes any update as proof of an active
        // subscription, and would not subscribe again.
        if (!calls.isInFlight()) {
            watchAgain();
        }
        publish(update);
    }

    @Override
    public void onList(JsonNode list) {
        boolean old = list.path("rev").asLong() < overdueRevision;
        overdueRevision = Long.MIN_VALUE;
        if (old) {
            calls.endCall();
            watchAgain();
            return;
        }
        EndpointListParser.Update update = parser.read(list);
        if (update.revision() < revision && !snapshotRequired) {
            // An older list may revert a drain. A registry whose revisions have restarted gives the
            // same one when polled for a snapshot, and is believed then.
            requireSnapshot();
            calls.failCall("list revision " + update.revision() + " is older than " + revision);
            return;
        }
        calls.endCall();
        calls.dropOverdue();
        behind &= catchingUp || calls.isWatch();
        if (!behind) {
            staleness.onListReceived();
        }
        boolean changed = update.revision() != revision;
        revision = update.revision();
        snapshotRequired &= update.kind() != UpdateKind.SNAPSHOT;
        long rest =
                calls.isWatch()
                        ? calls.sentAtNanos() + MIN_WATCH_INTERVAL_NANOS - loop.nanoTime()
                        : 0;
        if (changed || rest <= 0) {
            watchAgain();
        } else {
            calls.scheduleNext(rest, this::watchAgain);
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
    public void onCallFailed(String reason) {
        staleness.onCallFailed();
        if (!failing) {
            failing = true;
            loop.log().warning("discovery fails: " + reason);
        }
        listener.onUpdate(UpdateKind.FAILURE, List.of());
    }
}
