package appleridge.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Embeds one policy under test: keeps the clock, fires timers and records the actions. Hosts with
 * even ids are in zone 0, hosts with odd ids in zone 1; three consecutive ids share a cell.
 */
final class SidecarHarness implements PolicyActions {
    static final long MS = 1_000_000;
    static final RequestClass IDEMPOTENT =
            requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    static final RequestClass NON_IDEMPOTENT =
            requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    static final RequestClass KEYED_BY_CELL =
            requestClass(Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.CELL);
    static final RequestClass KEYED =
            requestClass(Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.ALL);

    record SentAttempt(long request, int attempt, long upstream, long at) {}

    record Timer(long at, long token) {}

    final List<String> log = new ArrayList<>();
    final List<SentAttempt> sends = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final List<byte[]> gossip = new ArrayList<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    final SymmetricRoundRobinPolicy policy;
    long now = 1_000 * MS;
    int subscriptions;

    SidecarHarness(PolicySettings settings, long seed) {
        policy = new SymmetricRoundRobinPolicy(settings, seed, this);
        policy.start(now);
    }

    static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, idempotency, scope, 700 * MS, false);
    }

    static PolicySettings settings(RequestClass... classes) {
        return settings(DiscoveryMode.PUSHED, classes);
    }

    static PolicySettings settings(DiscoveryMode discovery, RequestClass... classes) {
        return TestSettings.of(classes).discovery(discovery).build();
    }

    static SidecarHarness of(RequestClass... classes) {
        return new SidecarHarness(settings(classes), 7);
    }

    /** One of many sidecars; its rank is also its seed. */
    static SidecarHarness ofMany(int rank, int replicas) {
        return ofMany(rank, replicas, rank);
    }

    static SidecarHarness ofMany(int rank, int replicas, long seed) {
        return new SidecarHarness(
                TestSettings.of(IDEMPOTENT).rank(rank).replicas(replicas).build(), seed);
    }

    static UpstreamHost upstreamHost(long id) {
        return upstreamHost(id, HostState.READY, 0);
    }

    static UpstreamHost upstreamHost(long id, HostState state, long startedAt) {
        return new UpstreamHost(id, (int) (id % 2), 0, (int) (id / 3), state, 1, startedAt);
    }

    /** Lists the hosts 0 to count - 1 as ready and warm. */
    SidecarHarness withHosts(int count) {
        List<UpstreamHost> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(upstreamHost(i));
        }
        policy.onEndpointUpdate(now, UpdateKind.CACHED_SNAPSHOT, list);
        return this;
    }

    void request(long id, int requestClass) {
        request(id, requestClass, 1_000 * MS);
    }

    void request(long id, int requestClass, long remainingNanos) {
        policy.onRequest(
                now, new RequestInfo(id, requestClass, 0, 0, remainingNanos, 0, false, false));
    }

    void outcome(SentAttempt sent, Outcome outcome) {
        policy.onAttemptEnded(
                now,
                sent.request,
                sent.attempt,
                sent.upstream,
                outcome,
                now - sent.at,
                outcome == Outcome.OK,
                new float[0]);
    }

    /** Advances the clock and fires every timer that becomes due. */
    void advance(long nanos) {
        long end = now + nanos;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            policy.onTimer(now, timer.token);
        }
        now = end;
    }

    /**
     * Sends the requests {@code from} to {@code to - 1} one by one, each served after {@code
     * responseNanos}.
     */
    void serve(long from, long to, int requestClass, long responseNanos) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
            SentAttempt sent = last();
            advance(responseNanos);
            outcome(sent, Outcome.OK);
        }
    }

    /** Sends the requests {@code from} to {@code to - 1} at once. */
    void burst(long from, long to, int requestClass) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
        }
    }

    /** The number of attempts sent to a host, without the first {@code since} attempts. */
    long sentTo(long upstream, int since) {
        return sends.stream().skip(since).filter(s -> s.upstream == upstream).count();
    }

    /**
     * Returns the hosts of requests that are served one by one, so that in-flight counts always
     * tie.
     */
    List<Long> takeTurns(int length, long firstId) {
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            request(firstId + i, 0);
            order.add(last().upstream());
            advance(MS);
            outcome(last(), Outcome.OK);
        }
        return order;
    }

    /** The hosts that got attempts, without the first {@code since} attempts. */
    Set<Long> hostsSentTo(int since) {
        return sends.subList(since, sends.size()).stream()
                .map(SentAttempt::upstream)
                .collect(Collectors.toSet());
    }

    /** The number of times that idle connections to a host were closed. */
    long closedConnections() {
        return log.stream().filter(line -> line.startsWith("close")).count();
    }

    /** The attempt that was sent last. */
    SentAttempt last() {
        return sends.get(sends.size() - 1);
    }

    /** All attempts of a request, in the order in which they were sent. */
    List<SentAttempt> sendsOf(long request) {
        return sends.stream().filter(s -> s.request == request).toList();
    }

    @Override
    public void sendAttempt(long request, long upstream, long timeout) {
        log.add("send " + request + " " + upstream + " " + timeout);
        sends.add(new SentAttempt(request, sendsOf(request).size(), upstream, now));
    }

    @Override
    public void reject(long request, long wait, AnswerReason reason) {
        log.add("reject " + request + " " + wait);
        answers.add("reject " + request);
    }

    @Override
    public void fail(long request, AnswerReason reason) {
        log.add("fail " + request);
        answers.add("fail " + request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        log.add("cancel " + request + " " + attempt);
    }

    @Override
    public void setTimer(long token, long at) {
        log.add("timer " + token + " " + at);
        timers.add(new Timer(at, token));
    }

    @Override
    public void sendHealthCheck(long upstream) {
        log.add("health-check " + upstream);
    }

    @Override
    public void closeIdleConnections(long upstream) {
        log.add("close " + upstream);
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        log.add("gossip " + peer);
        gossip.add(message);
    }

    @Override
    public void log(String line) {
        log.add("log " + line);
    }

    @Override
    public void subscribe(boolean on) {
        log.add("subscribe " + on);
        subscriptions++;
    }

    @Override
    public void fetchEndpoints() {
        log.add("fetch");
    }
}
