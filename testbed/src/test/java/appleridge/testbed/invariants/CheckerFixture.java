package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A judge with a clock set by hand and sockets that show what a test says; one sidecar that runs.
 */
final class CheckerFixture implements SocketObserver, LoopLoad, ResourceProbe {
    static final long MS = TimeSpans.MS;
    static final long S = TimeSpans.SECOND;
    static final String SIDE = "side-0";
    static final int STOCK_CHECK = 0;
    static final int STOCK_HOLD = 1;
    static final int ORDER_CONFIRM = 2;
    static final int RAISE_INVOICE = 3;

    final InvariantBounds bounds = InvariantBounds.defaults();
    final InvariantChecker checker;
    final Set<String> unread = new HashSet<>();
    final Map<String, Integer> places = new HashMap<>();
    final Map<String, String> ahead = new HashMap<>();
    final Map<String, Long> closed = new HashMap<>();
    final Map<String, Long> accepted = new HashMap<>();
    final List<Span> busy = new ArrayList<>();

    /** What the sidecar says of itself, and what is there; null: no process runs. */
    ResourceCounts resources = ResourceCounts.empty();

    int clients;
    int upstreams;
    long now;
    private long keys;

    /** Servers named a-1, a-2, b-1 ...: their zones are their first letters. */
    CheckerFixture() {
        checker =
                InvariantChecker.ofDay(
                        bounds, () -> now, server -> server.substring(0, 1), this, this, this);
        checker.sidecarStarted(SIDE, 1);
        checker.sidecarReady(SIDE, 1);
    }

    @Override
    public int positionOnConnection(String id) {
        return places.getOrDefault(id, 2);
    }

    @Override
    public String idAhead(String id) {
        return ahead.get(id);
    }

    @Override
    public boolean wasRead(String id) {
        return !unread.contains(id);
    }

    @Override
    public long acceptedAt(String id) {
        return accepted.getOrDefault(id, -1L);
    }

    @Override
    public List<Span> busy(String sidecar) {
        return sidecar.equals(SIDE) ? busy : List.of();
    }

    @Override
    public ResourceCounts resources(String sidecar) {
        return resources;
    }

    @Override
    public int clientConnections(String sidecar) {
        return clients;
    }

    @Override
    public int upstreamConnections(String sidecar) {
        return upstreams;
    }

    @Override
    public long closedAt(String id) {
        return closed.getOrDefault(id, -1L);
    }

    /** Goes to a moment, with a look at what is due on the way. */
    CheckerFixture at(long moment) {
        now = moment;
        checker.check(now);
        return this;
    }

    CheckerFixture after(long nanos) {
        return at(now + nanos);
    }

    /**
     * A request is asked and taken now, by a client that waits for a second longer than its
     * deadline.
     */
    CheckerFixture taken(String id, int requestClass, long deadline) {
        return taken(id, requestClass, deadline, deadline + S);
    }

    CheckerFixture taken(String id, int requestClass, long deadline, long patience) {
        checker.requestStarted(
                new ClientAttempt(
                        id, id, 0, SIDE, requestClass, 0, null, ++keys, now, deadline, patience));
        checker.requestSent(id);
        return this;
    }

    /** The key of the request that was asked last. */
    long key() {
        return keys;
    }

    /** A server reads the first bytes of a request, sent a little ago. */
    CheckerFixture readId(String server, String id) {
        return readId(server, id, now - MS);
    }

    CheckerFixture readId(String server, String id, long sentAt) {
        checker.serverReadId(server, 1, SIDE, id, sentAt);
        return this;
    }

    /** A server reads all of a request, sent a little ago. */
    CheckerFixture received(String server, String id) {
        return received(server, id, now - MS);
    }

    CheckerFixture received(String server, String id, long sentAt) {
        checker.serverReadId(server, 1, SIDE, id, sentAt);
        checker.serverReceived(server, 1, SIDE, id, sentAt, sentAt, 5 * MS);
        return this;
    }

    CheckerFixture answered(String id, int status, String body) {
        checker.answered(id, status, body, -1, now - MS / 2);
        return this;
    }

    /** The server makes an answer and the client reads it. */
    CheckerFixture served(String server, String id) {
        checker.serverAnswered(server, 1, id, "for " + id);
        return answered(id, 200, "for " + id);
    }

    CheckerFixture delivered(String server, String state, long bornAt) {
        checker.listDelivered(SIDE, server, state, bornAt);
        return this;
    }

    CheckerFixture discoveryKnows(String server, String state, long bornAt) {
        checker.discoveryChanged(0, server, 1, state, bornAt);
        return this;
    }

    List<Rule> rules() {
        return checker.violations().stream().map(InvariantViolation::rule).toList();
    }
}
