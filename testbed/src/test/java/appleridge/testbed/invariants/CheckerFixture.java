package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A checker with a manual clock, a running sidecar, and sockets and counts that the test sets. */
final class CheckerFixture implements SocketObserver, LoopLoad, ResourceProbe {
    /** When the sidecar began to write the answer of every request; -1 before that. */
    long answerBegunAt = -1;

    /** When the sidecar last read a part of an answer to any request; -1 before that. */
    long lastAnswerReadAt = -1;

    static final long MS = TimeSpans.MS;
    static final long S = TimeSpans.SECOND;
    static final String SIDECAR = "side-0";
    static final int STOCK_CHECK = 0;
    static final int STOCK_HOLD = 1;
    static final int ORDER_CONFIRM = 2;
    static final int RAISE_INVOICE = 3;

    final InvariantBounds bounds = InvariantBounds.defaults();
    final InvariantChecker checker;
    final Set<String> unreadIds = new HashSet<>();
    final Map<String, Integer> positions = new HashMap<>();
    final Map<String, String> idsAhead = new HashMap<>();
    final Map<String, Long> closeTimes = new HashMap<>();
    final Map<String, Long> acceptTimes = new HashMap<>();
    final List<Span> busy = new ArrayList<>();

    /** What the sidecar reports; null if no process runs. */
    ResourceCounts resources = ResourceCounts.empty();

    boolean running = true;
    BufferCounts buffers = new BufferCounts(0, 1000);
    WriteBacklogCounts writeBacklogs = new WriteBacklogCounts(0, 1000, 0, 1000);

    int clientConnections;
    int serverConnections;
    long now;
    private long lastKey;

    /**
     * Creates the fixture. Servers are named a-1, a-2, b-1 and so on; their zone is the first
     * letter.
     */
    CheckerFixture() {
        checker =
                InvariantChecker.ofDay(
                        bounds, () -> now, server -> server.substring(0, 1), this, this, this);
        checker.sidecarStarted(SIDECAR, 1);
        checker.sidecarReady(SIDECAR, 1);
    }

    @Override
    public int positionOnConnection(String id) {
        return positions.getOrDefault(id, 2);
    }

    @Override
    public String idAhead(String id) {
        return idsAhead.get(id);
    }

    @Override
    public boolean wasRead(String id) {
        return !unreadIds.contains(id);
    }

    @Override
    public long acceptedAt(String id) {
        return acceptTimes.getOrDefault(id, -1L);
    }

    @Override
    public List<Span> busy(String sidecar) {
        return sidecar.equals(SIDECAR) ? busy : List.of();
    }

    @Override
    public boolean isRunning(String sidecar) {
        return running;
    }

    @Override
    public BufferCounts buffers(String sidecar) {
        return buffers;
    }

    @Override
    public WriteBacklogCounts writeBacklogs(String sidecar) {
        return writeBacklogs;
    }

    @Override
    public ResourceCounts resources(String sidecar) {
        return resources;
    }

    @Override
    public int clientConnections(String sidecar) {
        return clientConnections;
    }

    @Override
    public int upstreamConnections(String sidecar) {
        return serverConnections;
    }

    @Override
    public long answerBegunAt(String id) {
        return answerBegunAt;
    }

    @Override
    public long lastAnswerReadAt(String id) {
        return lastAnswerReadAt;
    }

    @Override
    public long closedAt(String id) {
        return closeTimes.getOrDefault(id, -1L);
    }

    /** Moves the clock and runs the checks that are due on the way. */
    CheckerFixture at(long moment) {
        now = moment;
        checker.check(now);
        return this;
    }

    CheckerFixture after(long nanos) {
        return at(now + nanos);
    }

    /**
     * Starts a request that is accepted at once, by a client that waits a second longer than its
     * deadline.
     */
    CheckerFixture accepted(String id, int requestClass, long deadline) {
        return accepted(id, requestClass, deadline, deadline + S);
    }

    CheckerFixture accepted(String id, int requestClass, long deadline, long patience) {
        checker.requestStarted(
                new ClientAttempt(
                        id,
                        id,
                        0,
                        SIDECAR,
                        requestClass,
                        0,
                        null,
                        ++lastKey,
                        now,
                        deadline,
                        patience));
        checker.requestSent(id);
        return this;
    }

    /** Returns the key of the request that was started last. */
    long key() {
        return lastKey;
    }

    /** A server reads the first bytes of a request that were sent one millisecond ago. */
    CheckerFixture readId(String server, String id) {
        return readId(server, id, now - MS);
    }

    CheckerFixture readId(String server, String id, long sentAt) {
        checker.serverReadId(server, 1, SIDECAR, id, sentAt);
        return this;
    }

    /** A server reads all of a request that was sent one millisecond ago. */
    CheckerFixture received(String server, String id) {
        return received(server, id, now - MS);
    }

    CheckerFixture received(String server, String id, long sentAt) {
        checker.serverReadId(server, 1, SIDECAR, id, sentAt);
        checker.serverReceived(server, 1, SIDECAR, id, sentAt, sentAt, 5 * MS);
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
        checker.listDelivered(SIDECAR, server, state, bornAt);
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
