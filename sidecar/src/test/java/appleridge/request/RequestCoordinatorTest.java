package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.loadbalancing.Capabilities;
import appleridge.loadbalancing.DeduplicationScope;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.SafetyLimits;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import appleridge.loadbalancing.WeightKind;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** A request's life on a clock and with upstream hosts that the test moves. */
class RequestCoordinatorTest {
    private static final long MS = 1_000_000;
    private static final int MAX_OPEN_REQUESTS = 100;
    private static final InetSocketAddress ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final UpstreamRequest MESSAGE = new UpstreamRequest() {};

    /**
     * Time that stands until it is moved, and timers that fire on the way, the earlier made first.
     */
    private static final class ManualClock implements MonotonicClock, Scheduler {
        private record Timer(long at, int serial, Runnable what) {}

        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Integer.compare(a.serial, b.serial));
        private long now = 1_000_000 * MS;
        private int serials;

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public ScheduledTask scheduleAt(long when, Runnable what) {
            Timer alarm = new Timer(Math.max(now, when), serials++, what);
            timers.add(alarm);
            return () -> timers.remove(alarm);
        }

        @Override
        public void execute(Runnable what) {
            scheduleAt(now, what);
        }

        void advance(long by) {
            long end = now + by;
            while (!timers.isEmpty() && timers.peek().at <= end) {
                Timer next = timers.poll();
                now = Math.max(now, next.at);
                next.what.run();
            }
            now = end;
        }

        /** The event loop stalls for so long; timers that were due fire only afterwards. */
        void stall(long nanos) {
            now += nanos;
        }
    }

    /** An attempt as the transport sees it. */
    private static final class SentAttempt implements UpstreamTransport.AttemptHandle {
        final Endpoint to;
        final SendDeadlines deadlines;
        final UpstreamTransport.AttemptListener listener;
        boolean startedWriting;
        boolean fullyWritten;
        boolean cancelled;

        SentAttempt(Endpoint to, SendDeadlines window, UpstreamTransport.AttemptListener listener) {
            this.to = to;
            this.deadlines = window;
            this.listener = listener;
        }

        @Override
        public boolean hasStartedWriting() {
            return startedWriting;
        }

        @Override
        public boolean isFullyWritten() {
            return fullyWritten;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        SentAttempt write() {
            startedWriting = true;
            fullyWritten = true;
            return this;
        }
    }

    private static class Client implements ResponseSink {
        final List<String> responses = new ArrayList<>();

        @Override
        public void readPendingInput() {}

        @Override
        public void onServed(UpstreamResponse reply) {
            responses.add("served");
        }

        @Override
        public void onRejected(long wait) {
            responses.add("refused");
        }

        @Override
        public void onFailed(FailureCause cause) {
            responses.add("failed " + cause);
        }

        @Override
        public void onResponseStreaming(StreamedResponse answer) {
            responses.add("flows");
        }

        @Override
        public void onResponseComplete() {
            responses.add("flowed");
        }

        @Override
        public void abort() {
            responses.add("abort");
        }
    }

    private final ManualClock clock = new ManualClock();
    private final List<SentAttempt> sent = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final List<Runnable> pendingUpdates = new ArrayList<>();
    private final RequestCoordinator coordinator = coordinator(2000 * MS);

    private RequestCoordinator coordinator(long drainGrace) {
        return new RequestCoordinator(
                clock,
                clock,
                settings(drainGrace),
                MAX_OPEN_REQUESTS,
                new UpstreamTransport() {
                    @Override
                    public AttemptHandle send(
                            Endpoint to,
                            UpstreamRequest what,
                            SendDeadlines window,
                            AttemptListener listener) {
                        SentAttempt next = new SentAttempt(to, window, listener);
                        sent.add(next);
                        return next;
                    }

                    @Override
                    public void closeIdleConnections(Endpoint endpoint) {}
                },
                new EventLog() {
                    @Override
                    public void info(String line) {}

                    @Override
                    public void warning(String line) {}

                    @Override
                    public void event(LogEvent kind, Supplier<String> fields) {
                        events.add(kind.label() + " " + fields.get());
                    }

                    @Override
                    public void failure(String what, Throwable cause) {
                        failures.add(what + ": " + cause);
                    }
                },
                actions -> new SymmetricRoundRobinPolicy(settings(drainGrace), 7, actions));
    }

    private static PolicySettings settings(long drainGrace) {
        RequestClass hold =
                new RequestClass(
                        400 * MS,
                        0,
                        1000 * MS,
                        1,
                        0,
                        Idempotency.IDEMPOTENT_BY_KEY,
                        DeduplicationScope.ALL,
                        1000 * MS,
                        false);
        return new PolicySettings(
                0,
                1,
                0,
                5 * MS,
                DiscoveryMode.SUBSCRIBED,
                WeightKind.SILENT,
                List.of(hold),
                List.of(),
                new Capabilities(true, false, false, false, true, 6, 750 * MS, 100 * MS),
                new SafetyLimits(20 * MS, 10_000 * MS, drainGrace, 0.4, 7000 * MS, 4, 1500 * MS),
                List.of(),
                false,
                1);
    }

    private static UpstreamHost upstream(long id, HostState state) {
        return new UpstreamHost(id, 0, 0, 0, state, 1, 0);
    }

    private Runnable accept(Client client) {
        return coordinator.accept(
                new ClientRequest("a", clock.nanoTime(), 1000 * MS, 0, 0, 0, 0, false, MESSAGE),
                client);
    }

    /**
     * The first attempt of a request with a timeout of a second, whose response is being streamed.
     */
    private SentAttempt startStreaming(Client client) {
        accept(client);
        SentAttempt first = sent.get(0).write();
        assertTrue(first.listener.onResponseStarted(new StreamedResponse() {}));
        assertEquals(List.of("flows"), client.responses);
        return first;
    }

    /** Guards against a second response behind one that a client has a part of. */
    @Test
    void noOtherResponseFollowsAStreamedOne() {
        Client whole = new Client();
        SentAttempt first = startStreaming(whole);
        clock.advance(60_000 * MS);
        assertEquals(List.of("flows"), whole.responses, "its deadline no longer counts");
        assertEquals(1, sent.size());
        assertFalse(first.cancelled);
        first.listener.onAttemptEnded(Outcome.OK, null);
        assertEquals(List.of("flows", "flowed"), whole.responses);
        clock.advance(10_000 * MS);
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    @Test
    void brokenOffStreamedResponseIsNotRetried() {
        Client client = new Client();
        startStreaming(client).listener.onAttemptEnded(Outcome.RESET, null);
        clock.advance(10_000 * MS);
        assertEquals(List.of("flows", "abort"), client.responses);
        assertEquals(1, sent.size());
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    /** Guards against an upstream that goes on sending to nobody. */
    @Test
    void clientDisconnectCancelsAStreamedResponse() {
        Client client = new Client();
        Runnable hangUp = accept(client);
        SentAttempt first = sent.get(0).write();
        assertTrue(first.listener.onResponseStarted(new StreamedResponse() {}));
        hangUp.run();
        clock.advance(1 * MS);
        assertTrue(first.cancelled);
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    @Test
    void responseAfterTheDeadlineIsNotStreamed() {
        Client client = new Client();
        accept(client);
        SentAttempt first = sent.get(0).write();
        clock.advance(1100 * MS);
        assertFalse(first.listener.onResponseStarted(new StreamedResponse() {}));
        assertEquals(1, client.responses.size());
    }

    RequestCoordinatorTest() {
        start(coordinator);
    }

    private void start(RequestCoordinator which) {
        which.start(
                new EndpointSubscription() {
                    @Override
                    public void subscribe(boolean on) {}

                    @Override
                    public void fetchEndpoints() {}

                    @Override
                    public void readPendingUpdates() {
                        pendingUpdates.forEach(Runnable::run);
                        pendingUpdates.clear();
                    }
                },
                List.of(upstream(1, HostState.READY), upstream(2, HostState.READY)),
                Map.of(1L, ADDRESS, 2L, ADDRESS));
    }

    private Client ask(String name, long patience) {
        Client client = new Client();
        coordinator.accept(
                new ClientRequest(name, clock.nanoTime(), patience, 0, 0, 0, 0, false, MESSAGE),
                client);
        return client;
    }

    /** Time passes, with the listener's periodic ticks. */
    private void advanceWithTicks(long nanos) {
        for (long left = nanos; left > 0; left -= 40 * MS) {
            clock.advance(Math.min(left, 40 * MS));
            coordinator.tick();
        }
    }

    private void drain(long id) {
        coordinator.onEndpointUpdate(
                UpdateKind.DELTA, List.of(upstream(id, HostState.DRAINING)), Map.of(id, ADDRESS));
    }

    @Test
    void connectingAttemptIsCancelledWhenItsHostDrains() {
        Client client = ask("a", 900 * MS);
        SentAttempt first = sent.get(0);
        drain(first.to.upstream());
        assertTrue(first.cancelled);
        assertEquals(2, sent.size(), "it was not executed, and goes elsewhere");
        assertTrue(sent.get(1).to.upstream() != first.to.upstream());
        sent.get(1).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.responses);
    }

    @Test
    void writtenAttemptIsNotCancelledWhenItsHostDrains() {
        Client client = ask("a", 900 * MS);
        sent.get(0).write();
        drain(sent.get(0).to.upstream());
        assertEquals(1, sent.size());
        sent.get(0).listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.responses);
    }

    /** Guards against a retry that arrives after its idempotency key has been forgotten. */
    @Test
    void retryDeadlineCountsFromTheFirstPossiblyExecutedAttempt() {
        ask("a", 900 * MS);
        long first = clock.nanoTime();
        assertEquals(Long.MAX_VALUE, sent.get(0).deadlines.lastByteByNanos());
        clock.advance(50 * MS);
        sent.get(0).write().listener.onAttemptEnded(Outcome.RESET, null);
        assertEquals(first + 1000 * MS, sent.get(1).deadlines.lastByteByNanos());
        sent.get(1).listener.onAttemptEnded(Outcome.CONNECT_FAILED, null);
        assertEquals(2, sent.size());
    }

    /** Guards against input that waited unread during a stall and is taken for new. */
    @Test
    void inputMayHaveWaitedForAWhileAfterAStall() {
        advanceWithTicks(300 * MS);
        assertFalse(coordinator.mayHaveWaitedUnread());
        clock.stall(3_600_000 * MS);
        assertTrue(coordinator.mayHaveWaitedUnread());
        advanceWithTicks(900 * MS);
        assertTrue(coordinator.mayHaveWaitedUnread());
        advanceWithTicks(200 * MS);
        assertFalse(coordinator.mayHaveWaitedUnread(), "however long it was");
    }

    /** Guards against responses that are as late as the event loop was late to read the request. */
    @Test
    void inputReadAfterALateTurnCountsFromBeforeIt() {
        advanceWithTicks(300 * MS);
        long before = clock.nanoTime();
        assertEquals(before, coordinator.earliestArrivalNanos(), "no stall");
        clock.stall(400 * MS);
        assertEquals(before, coordinator.earliestArrivalNanos());
        assertEquals(
                before,
                coordinator.earliestArrivalNanos(),
                "also the next one that is read in the same turn");
        advanceWithTicks(100 * MS);
        assertEquals(
                before,
                coordinator.earliestArrivalNanos(),
                "connections are accepted a few at a time");
        advanceWithTicks(100 * MS);
        assertEquals(clock.nanoTime(), coordinator.earliestArrivalNanos());
    }

    /**
     * Guards against a start whose stalls add up: none alone is as long as what waited behind all.
     */
    @Test
    void inputReadAfterSeveralLateTurnsCountsFromBeforeTheFirst() {
        advanceWithTicks(300 * MS);
        long before = clock.nanoTime();
        for (int i = 0; i < 3; i++) {
            clock.stall(200 * MS);
            coordinator.tick();
            advanceWithTicks(100 * MS);
        }
        assertEquals(before, coordinator.earliestArrivalNanos());
        advanceWithTicks(200 * MS);
        assertEquals(clock.nanoTime(), coordinator.earliestArrivalNanos());
        for (int i = 0; i < 20; i++) {
            clock.stall(200 * MS);
            coordinator.tick();
        }
        assertEquals(
                clock.nanoTime() - 200 * MS,
                coordinator.earliestArrivalNanos(),
                "a loop that is always late serves on");
    }

    /** Guards against a slow machine that takes all input for too old. */
    @Test
    void shortRequestsAreServedThoughEveryTurnIsLate() {
        int served = 0;
        for (int i = 0; i < 100; i++) {
            clock.stall(160 * MS);
            Client client = new Client();
            int before = sent.size();
            coordinator.accept(
                    new ClientRequest(
                            "r" + i,
                            coordinator.earliestArrivalNanos(),
                            770 * MS,
                            0,
                            0,
                            0,
                            0,
                            false,
                            MESSAGE),
                    client);
            if (sent.size() > before) {
                sent.get(before).write().listener.onAttemptEnded(Outcome.OK, null);
            }
            served += client.responses.contains("served") ? 1 : 0;
            clock.advance(0);
        }
        assertTrue(served > 80, "served " + served + " of 100");
    }

    /** Guards against a deferral that is cut short by the end of an earlier one. */
    @Test
    void secondDeferralHasItsOwnEnd() {
        clock.stall(2500 * MS);
        coordinator.tick();
        drain(1);
        clock.stall(2500 * MS);
        coordinator.tick();
        ask("a", 900 * MS);
        clock.advance(300 * MS);
        assertEquals(0, sent.size());
        clock.advance(300 * MS);
        assertEquals(1, sent.size());
    }

    @Test
    void pendingUpdatesAreReadAfterAStallBeforeARequestIsSent() {
        clock.stall(700 * MS);
        pendingUpdates.add(() -> drain(1));
        ask("a", 2000 * MS);
        assertEquals(2, sent.get(0).to.upstream());
    }

    /** Guards against a drain grace of 250 ms of which a stall of 200 ms is ignored. */
    @Test
    void shorterDrainGraceReconcilesAfterAShorterStall() {
        RequestCoordinator soon = coordinator(250 * MS);
        start(soon);
        clock.stall(200 * MS);
        pendingUpdates.add(
                () ->
                        soon.onEndpointUpdate(
                                UpdateKind.DELTA,
                                List.of(
                                        upstream(1, HostState.DRAINING),
                                        upstream(2, HostState.DRAINING)),
                                Map.of(1L, ADDRESS, 2L, ADDRESS)));
        soon.accept(
                new ClientRequest("a", clock.nanoTime(), 2000 * MS, 0, 0, 0, 0, false, MESSAGE),
                new Client());
        assertEquals(0, sent.size(), "both drain");
    }

    /**
     * Guards against a drain that is undone: an update that lay unread during a stall is newer than
     * the one that is being handled.
     */
    @Test
    void updateReadWithinAnUpdateReachesThePolicyBehindIt() {
        clock.stall(700 * MS);
        pendingUpdates.add(() -> drain(1));
        coordinator.onEndpointUpdate(
                UpdateKind.DELTA,
                List.of(upstream(1, HostState.READY), upstream(2, HostState.DRAINING)),
                Map.of(1L, ADDRESS, 2L, ADDRESS));
        ask("a", 2000 * MS);
        assertEquals(0, sent.size(), "both drain");
    }

    /**
     * Guards against sending to a host that may have drained long since, before discovery was read.
     */
    @Test
    void requestsAreDeferredAfterAStallLongerThanTheDrainGrace() {
        clock.stall(2500 * MS);
        coordinator.tick();
        clock.advance(350 * MS);
        Client client = ask("a", 900 * MS);
        assertEquals(0, sent.size());
        drain(1);
        assertEquals(2, sent.get(0).to.upstream());
        sent.get(0).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.responses);
    }

    @Test
    void deferredRequestsResumeWithoutAnUpdateAfterAWhile() {
        clock.stall(2500 * MS);
        coordinator.tick();
        clock.advance(350 * MS);
        ask("a", 900 * MS);
        assertEquals(0, sent.size());
        advanceWithTicks(300 * MS);
        assertEquals(1, sent.size());
    }

    /** Guards against a policy that sends for a request that was expired without it. */
    @Test
    void policyIsNotifiedOfAnExpiredRequest() {
        Client client = ask("a", 900 * MS);
        sent.get(0).write();
        clock.stall(3000 * MS);
        advanceWithTicks(600 * MS);
        assertEquals(1, client.responses.size());
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
        assertEquals(List.of(), failures);
    }

    /**
     * Guards against a healthy host that is ejected because a request ran out of time while
     * connecting.
     */
    @Test
    void deadlineWhileConnectingDoesNotEjectTheHost() {
        Client late = ask("a", 50 * MS);
        advanceWithTicks(60 * MS);
        assertTrue(sent.get(0).cancelled);
        assertEquals(List.of("refused"), late.responses);
        for (int i = 0; i < 8; i++) {
            ask("b" + i, 900 * MS);
            sent.get(sent.size() - 1)
                    .write()
                    .listener
                    .onAttemptEnded(Outcome.OK, fields -> new float[0]);
        }
        assertEquals(
                2,
                sent.stream().skip(1).map(each -> each.to.upstream()).distinct().count(),
                "both hosts still get attempts");
    }

    /** Guards against a warm-up's policy that goes on for the life of the process. */
    @Test
    void policyGetsNoTimersAfterClose() {
        coordinator.close();
        clock.advance(60_000 * MS);
        assertTrue(clock.timers.isEmpty(), clock.timers.size() + " timers left");
    }

    @Test
    void failingResponseAbortsTheConnectionAndReachesThePolicy() {
        Client client =
                new Client() {
                    @Override
                    public void onServed(UpstreamResponse reply) {
                        throw new IllegalStateException("no");
                    }
                };
        coordinator.accept(
                new ClientRequest("a", clock.nanoTime(), 900 * MS, 0, 0, 0, 0, false, MESSAGE),
                client);
        sent.get(0).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("abort"), client.responses);
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
        assertEquals(1, failures.size());
    }

    /** Guards against a rejected request of which no log says which rule rejected it. */
    @Test
    void requestRejectedOnArrivalIsLoggedWithItsReason() {
        ask("a", 900 * MS);
        Client duplicate = ask("a", 900 * MS);
        for (int i = 1; i < MAX_OPEN_REQUESTS; i++) {
            ask("b" + i, 900 * MS);
        }
        events.clear();
        Client over = ask("c", 900 * MS);
        assertEquals(List.of("failed ID_IN_USE"), duplicate.responses);
        assertEquals(List.of("refused"), over.responses);
        assertEquals(
                List.of(
                        "request.ended id=c how=REJECTED reason=open_request_limit"
                                + " past_deadline=false class=0 age_ms=0 timeout_ms=900 attempts=0"
                                + " attempts_outstanding=0 last_outcome=null"),
                events);
    }

    @Test
    void disconnectedClientsRequestIsLoggedWithItsReason() {
        Runnable disconnect = accept(new Client());
        clock.advance(20 * MS);
        disconnect.run();
        assertEquals(
                List.of(
                        "request.ended id=a how=CLIENT_DISCONNECTED reason=client_disconnected"
                            + " past_deadline=false class=0 age_ms=20 timeout_ms=1000 attempts=1"
                            + " attempts_outstanding=1 last_outcome=null"),
                events);
    }
}
