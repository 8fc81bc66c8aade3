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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests requests from acceptance to response, with a manual clock and a transport whose responses
 * the test gives.
 */
class RequestCoordinatorTest {
    private static final long MS = 1_000_000;
    private static final int MAX_OPEN_REQUESTS = 100;
    private static final InetSocketAddress ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final UpstreamRequest MESSAGE = new UpstreamRequest() {};

    /**
     * A clock that only the test advances, and a scheduler that fires timers in order of time, then
     * of creation.
     */
    private static final class ManualClock implements MonotonicClock, Scheduler {
        private record Timer(long atNanos, int serial, Runnable task) {}

        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(
                        (a, b) ->
                                a.atNanos != b.atNanos
                                        ? Long.compare(a.atNanos, b.atNanos)
                                        : Integer.compare(a.serial, b.serial));
        private long now = 1_000_000 * MS;
        private int nextSerial;

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public ScheduledTask scheduleAt(long atNanos, Runnable task) {
            Timer timer = new Timer(Math.max(now, atNanos), nextSerial++, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        @Override
        public void execute(Runnable task) {
            scheduleAt(now, task);
        }

        void advance(long nanos) {
            long end = now + nanos;
            while (!timers.isEmpty() && timers.peek().atNanos <= end) {
                Timer next = timers.poll();
                now = Math.max(now, next.atNanos);
                next.task.run();
            }
            now = end;
        }

        /** Advances the time without firing timers, as a stall of the event loop does. */
        void stall(long nanos) {
            now += nanos;
        }
    }

    /** An attempt that was handed to the transport. */
    private static final class SentAttempt implements UpstreamTransport.AttemptHandle {
        final Endpoint endpoint;
        final SendDeadlines deadlines;
        final UpstreamTransport.AttemptListener listener;
        boolean startedWriting;
        boolean fullyWritten;
        boolean cancelled;

        /** Whether a long response has begun that is held for a retry. */
        boolean holdsResponse;

        SentAttempt(
                Endpoint endpoint,
                SendDeadlines deadlines,
                UpstreamTransport.AttemptListener listener) {
            this.endpoint = endpoint;
            this.deadlines = deadlines;
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
        public boolean streamHeldResponse() {
            return holdsResponse && listener.onResponseStarted(new StreamedResponse() {});
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        /** Marks the request as fully written. */
        SentAttempt write() {
            startedWriting = true;
            fullyWritten = true;
            return this;
        }
    }

    /** Records the responses that the client is given. */
    private static class Client implements ResponseSink {
        final List<String> responses = new ArrayList<>();
        final List<Runnable> waiting = new ArrayList<>();
        ClientPresence presence = ClientPresence.PRESENT;

        @Override
        public void readPendingInput() {}

        @Override
        public ClientPresence clientPresence() {
            return presence;
        }

        @Override
        public void whenMoreIsKnownOfClient(Runnable task) {
            waiting.add(task);
        }

        @Override
        public long clientSeenAgoNanos() {
            return 0;
        }

        @Override
        public void onServed(UpstreamResponse response) {
            responses.add("served");
        }

        @Override
        public void onRejected(long retryAfterNanos) {
            responses.add("rejected");
        }

        @Override
        public void onFailed(FailureCause cause) {
            responses.add("failed " + cause);
        }

        @Override
        public void onResponseStreaming(StreamedResponse response) {
            responses.add("streaming");
        }

        @Override
        public void onResponseComplete() {
            responses.add("complete");
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
    private long staleSinceNanos = EndpointSubscription.NOT_STALE;
    private boolean discoveryFails;
    private final RequestCoordinator coordinator = coordinator(2000 * MS);

    private RequestCoordinator coordinator(long drainGraceNanos) {
        return new RequestCoordinator(
                clock,
                clock,
                settings(drainGraceNanos),
                MAX_OPEN_REQUESTS,
                new UpstreamTransport() {
                    @Override
                    public AttemptHandle send(
                            Endpoint endpoint,
                            UpstreamRequest request,
                            SendDeadlines deadlines,
                            AttemptListener listener) {
                        SentAttempt attempt = new SentAttempt(endpoint, deadlines, listener);
                        sent.add(attempt);
                        return attempt;
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
                actions -> new SymmetricRoundRobinPolicy(settings(drainGraceNanos), 7, actions));
    }

    private static PolicySettings settings(long drainGraceNanos) {
        RequestClass idempotentByKey =
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
                List.of(idempotentByKey),
                List.of(),
                new Capabilities(true, false, false, false, true, 6, 750 * MS, 100 * MS),
                new SafetyLimits(
                        20 * MS, 10_000 * MS, drainGraceNanos, 0.4, 7000 * MS, 4, 1500 * MS),
                List.of(),
                false,
                1);
    }

    private static UpstreamHost host(long id, HostState state) {
        return new UpstreamHost(id, 0, 0, 0, state, 1, 0);
    }

    private AcceptedRequest accept(Client client) {
        return coordinator.accept(
                new ClientRequest("a", clock.nanoTime(), 1000 * MS, 0, 0, 0, 0, false, MESSAGE),
                client);
    }

    /**
     * Accepts a request with a timeout of 1 s and streams its response; returns its first attempt.
     */
    private SentAttempt startStreaming(Client client) {
        accept(client);
        SentAttempt first = sent.get(0).write();
        assertTrue(first.listener.onResponseStarted(new StreamedResponse() {}));
        assertEquals(List.of("streaming"), client.responses);
        return first;
    }

    /** Guards against a second response to a client that has received a part of the first one. */
    @Test
    void noOtherResponseFollowsAStreamedOne() {
        Client client = new Client();
        SentAttempt first = startStreaming(client);
        clock.advance(60_000 * MS);
        assertEquals(
                List.of("streaming"),
                client.responses,
                "the deadline does not apply to a response that is being streamed");
        assertEquals(1, sent.size());
        assertFalse(first.cancelled);
        first.listener.onAttemptEnded(Outcome.OK, null);
        assertEquals(List.of("streaming", "complete"), client.responses);
        clock.advance(10_000 * MS);
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    @Test
    void brokenOffStreamedResponseIsNotRetried() {
        Client client = new Client();
        startStreaming(client).listener.onAttemptEnded(Outcome.RESET, null);
        clock.advance(10_000 * MS);
        assertEquals(List.of("streaming", "abort"), client.responses);
        assertEquals(1, sent.size());
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    /** Guards against a response that breaks off and leaves no line with the request's id. */
    @Test
    void brokenOffResponseIsFoundInTheLogById() {
        startStreaming(new Client()).listener.onAttemptEnded(Outcome.RESET, null);
        coordinator.flushLog();
        assertTrue(
                events.stream().anyMatch(each -> each.contains("failed/response_broken_off:a:")),
                events::toString);
    }

    /** Guards against a host that keeps sending a response after the client has disconnected. */
    @Test
    void clientDisconnectCancelsAStreamedResponse() {
        Client client = new Client();
        AcceptedRequest accepted = accept(client);
        SentAttempt first = sent.get(0).write();
        assertTrue(first.listener.onResponseStarted(new StreamedResponse() {}));
        accepted.onClientDisconnected();
        clock.advance(1 * MS);
        assertTrue(first.cancelled);
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    /**
     * Guards against a long response that its upstream has begun in time and that is replaced by a
     * failure, because a stall of the event loop lets the deadline come before the response is
     * passed on.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 30, 300, 2000})
    void heldResponseIsStreamedAtADeadlineThatAStallHasBroughtForward(long stallMillis) {
        Client client = new Client();
        accept(client);
        SentAttempt first = sent.get(0).write();
        first.holdsResponse = true;
        clock.advance(900 * MS);
        clock.stall(stallMillis * MS);
        clock.advance(1000 * MS);
        assertEquals(List.of("streaming"), client.responses);
        assertFalse(first.cancelled);
        first.listener.onAttemptEnded(Outcome.OK, null);
        assertEquals(List.of("streaming", "complete"), client.responses);
        clock.advance(10_000 * MS);
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

    private void start(RequestCoordinator started) {
        started.start(
                new EndpointSubscription() {
                    @Override
                    public void subscribe(boolean on) {}

                    @Override
                    public void fetchEndpoints() {}

                    @Override
                    public void readPendingUpdates(long stalledSinceNanos) {
                        pendingUpdates.forEach(Runnable::run);
                        pendingUpdates.clear();
                    }

                    @Override
                    public long staleSinceNanos() {
                        return staleSinceNanos;
                    }

                    @Override
                    public boolean isFailing() {
                        return discoveryFails;
                    }
                },
                List.of(host(1, HostState.READY), host(2, HostState.READY)),
                Map.of(1L, ADDRESS, 2L, ADDRESS));
    }

    private Client sendRequest(String id, long timeoutNanos) {
        Client client = new Client();
        coordinator.accept(
                new ClientRequest(id, clock.nanoTime(), timeoutNanos, 0, 0, 0, 0, false, MESSAGE),
                client);
        return client;
    }

    /** Advances the time with the periodic ticks that the client listener makes. */
    private void advanceWithTicks(long nanos) {
        for (long left = nanos; left > 0; left -= 40 * MS) {
            clock.advance(Math.min(left, 40 * MS));
            coordinator.tick();
        }
    }

    private void drain(long id) {
        coordinator.onEndpointUpdate(
                UpdateKind.DELTA, List.of(host(id, HostState.DRAINING)), Map.of(id, ADDRESS));
    }

    @Test
    void connectingAttemptIsCancelledWhenItsHostDrains() {
        Client client = sendRequest("a", 900 * MS);
        SentAttempt first = sent.get(0);
        drain(first.endpoint.upstream());
        assertTrue(first.cancelled);
        assertEquals(
                2, sent.size(), "an attempt that was not executed is retried on the other host");
        assertTrue(sent.get(1).endpoint.upstream() != first.endpoint.upstream());
        sent.get(1).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.responses);
    }

    @Test
    void writtenAttemptIsNotCancelledWhenItsHostDrains() {
        Client client = sendRequest("a", 900 * MS);
        sent.get(0).write();
        drain(sent.get(0).endpoint.upstream());
        assertEquals(1, sent.size());
        sent.get(0).listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.responses);
    }

    /**
     * Guards against a duplicate execution: a retry must not reach a host after the host has
     * forgotten the idempotency key, counted from the first attempt that may have been executed.
     */
    @Test
    void retryDeadlineCountsFromTheFirstPossiblyExecutedAttempt() {
        sendRequest("a", 900 * MS);
        long first = clock.nanoTime();
        assertEquals(Long.MAX_VALUE, sent.get(0).deadlines.lastByteByNanos());
        clock.advance(50 * MS);
        sent.get(0).write().listener.onAttemptEnded(Outcome.RESET, null);
        assertEquals(first + 1000 * MS, sent.get(1).deadlines.lastByteByNanos());
        sent.get(1).listener.onAttemptEnded(Outcome.CONNECT_FAILED, null);
        assertEquals(2, sent.size());
    }

    /** Guards against input that waited unread during a stall and is handled as new. */
    @Test
    void inputMayHaveWaitedUnreadForASecondAfterAStall() {
        advanceWithTicks(300 * MS);
        assertFalse(coordinator.mayHaveWaitedUnread());
        clock.stall(3_600_000 * MS);
        assertTrue(coordinator.mayHaveWaitedUnread());
        advanceWithTicks(900 * MS);
        assertTrue(coordinator.mayHaveWaitedUnread());
        advanceWithTicks(200 * MS);
        assertFalse(coordinator.mayHaveWaitedUnread(), "1 s after a stall of any length");
    }

    /** Guards against responses that are late by the time the request waited to be read. */
    @Test
    void inputReadAfterALateTurnCountsFromBeforeIt() {
        advanceWithTicks(300 * MS);
        long before = clock.nanoTime();
        assertEquals(before, coordinator.earliestArrivalNanos(), "without a stall");
        clock.stall(400 * MS);
        assertEquals(before, coordinator.earliestArrivalNanos());
        assertEquals(
                before,
                coordinator.earliestArrivalNanos(),
                "a second request that is read in the same turn");
        advanceWithTicks(100 * MS);
        assertEquals(
                before,
                coordinator.earliestArrivalNanos(),
                "connections are accepted a few in each turn");
        advanceWithTicks(100 * MS);
        assertEquals(clock.nanoTime(), coordinator.earliestArrivalNanos());
    }

    /**
     * Guards against several stalls that add up, as at a start: input that waited during all of
     * them is older than any single stall.
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
                "on a loop that is always late, input counts from before the last turn");
    }

    /** Guards against a slow machine on which all input counts as too old to be served. */
    @Test
    void shortRequestsAreServedThoughEveryTurnIsLate() {
        int served = 0;
        for (int i = 0; i < 100; i++) {
            clock.stall(160 * MS);
            Client client = new Client();
            int sentBefore = sent.size();
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
            if (sent.size() > sentBefore) {
                sent.get(sentBefore).write().listener.onAttemptEnded(Outcome.OK, null);
            }
            served += client.responses.contains("served") ? 1 : 0;
            clock.advance(0);
        }
        assertTrue(served > 80, "served " + served + " of 100");
    }

    /** Guards against a deferral that the longest wait of an earlier deferral ends early. */
    @Test
    void secondDeferralHasItsOwnLongestWait() {
        clock.stall(2500 * MS);
        coordinator.tick();
        drain(1);
        clock.stall(2500 * MS);
        coordinator.tick();
        sendRequest("a", 900 * MS);
        clock.advance(300 * MS);
        assertEquals(0, sent.size());
        clock.advance(300 * MS);
        assertEquals(1, sent.size());
    }

    @Test
    void pendingUpdatesAreReadAfterAStallBeforeARequestIsSent() {
        clock.stall(700 * MS);
        pendingUpdates.add(() -> drain(1));
        sendRequest("a", 2000 * MS);
        assertEquals(2, sent.get(0).endpoint.upstream());
    }

    /**
     * Guards against a stall threshold that ignores the drain grace: with a grace of 250 ms,
     * updates are read after a stall of 200 ms.
     */
    @Test
    void shorterDrainGraceReconcilesAfterAShorterStall() {
        RequestCoordinator shortGrace = coordinator(250 * MS);
        start(shortGrace);
        clock.stall(200 * MS);
        pendingUpdates.add(
                () ->
                        shortGrace.onEndpointUpdate(
                                UpdateKind.DELTA,
                                List.of(host(1, HostState.DRAINING), host(2, HostState.DRAINING)),
                                Map.of(1L, ADDRESS, 2L, ADDRESS)));
        shortGrace.accept(
                new ClientRequest("a", clock.nanoTime(), 2000 * MS, 0, 0, 0, 0, false, MESSAGE),
                new Client());
        assertEquals(0, sent.size(), "both hosts are draining");
    }

    /**
     * Guards against a drain that is undone. An update that waited unread during a stall is read
     * while an older one is being handled; the policy must get the older one first.
     */
    @Test
    void updateReadWithinAnUpdateReachesThePolicyAfterIt() {
        clock.stall(700 * MS);
        pendingUpdates.add(() -> drain(1));
        coordinator.onEndpointUpdate(
                UpdateKind.DELTA,
                List.of(host(1, HostState.READY), host(2, HostState.DRAINING)),
                Map.of(1L, ADDRESS, 2L, ADDRESS));
        sendRequest("a", 2000 * MS);
        assertEquals(0, sent.size(), "both hosts are draining");
    }

    /**
     * Guards against sending to a host that may have drained during a stall, before discovery has
     * been read.
     */
    @Test
    void requestsAreDeferredAfterAStallLongerThanTheDrainGrace() {
        clock.stall(2500 * MS);
        coordinator.tick();
        clock.advance(350 * MS);
        Client client = sendRequest("a", 900 * MS);
        assertEquals(0, sent.size());
        drain(1);
        assertEquals(2, sent.get(0).endpoint.upstream());
        sent.get(0).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.responses);
    }

    @Test
    void deferredRequestsResumeAfterTheLongestWaitWithoutAnUpdate() {
        clock.stall(2500 * MS);
        coordinator.tick();
        clock.advance(350 * MS);
        sendRequest("a", 900 * MS);
        assertEquals(0, sent.size());
        advanceWithTicks(300 * MS);
        assertEquals(1, sent.size());
    }

    /** Guards against a policy that orders attempts of a request that the backstop has expired. */
    @Test
    void policyIsNotifiedOfAnExpiredRequest() {
        Client client = sendRequest("a", 900 * MS);
        sent.get(0).write();
        clock.stall(3000 * MS);
        advanceWithTicks(600 * MS);
        assertEquals(1, client.responses.size());
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
        assertEquals(List.of(), failures);
    }

    /**
     * Guards against the ejection of a healthy host because requests reached their deadline while
     * connecting to it.
     */
    @Test
    void deadlineWhileConnectingDoesNotEjectTheHost() {
        Client late = sendRequest("a", 50 * MS);
        advanceWithTicks(60 * MS);
        assertTrue(sent.get(0).cancelled);
        assertEquals(List.of("rejected"), late.responses);
        for (int i = 0; i < 8; i++) {
            sendRequest("b" + i, 900 * MS);
            sent.get(sent.size() - 1)
                    .write()
                    .listener
                    .onAttemptEnded(Outcome.OK, fields -> new float[0]);
        }
        assertEquals(
                2,
                sent.stream().skip(1).map(each -> each.endpoint.upstream()).distinct().count(),
                "both hosts must still get attempts");
    }

    /** Guards against a policy used for warm-up whose timers run as long as the process. */
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
                    public void onServed(UpstreamResponse response) {
                        throw new IllegalStateException("response not writable");
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

    /** Guards against requests that are rejected without a log line that gives the reason. */
    @Test
    void requestRejectedOnArrivalIsLoggedWithItsReason() {
        sendRequest("a", 900 * MS);
        Client duplicate = sendRequest("a", 900 * MS);
        for (int i = 1; i < MAX_OPEN_REQUESTS; i++) {
            sendRequest("b" + i, 900 * MS);
        }
        events.clear();
        Client overLimit = sendRequest("c", 900 * MS);
        assertEquals(List.of("failed ID_IN_USE"), duplicate.responses);
        assertEquals(List.of("rejected"), overLimit.responses);
        assertEquals(
                List.of(
                        "request.ended id=c how=REJECTED reason=open_request_limit"
                                + " past_deadline=false class=0 age_ms=0 timeout_ms=900 attempts=0"
                                + " attempts_outstanding=0 last_outcome=null"),
                events);
    }

    @Test
    void disconnectedClientsRequestIsLoggedWithItsReason() {
        AcceptedRequest accepted = accept(new Client());
        clock.advance(20 * MS);
        accepted.onClientDisconnected();
        assertEquals(
                List.of(
                        "request.ended id=a how=CLIENT_DISCONNECTED reason=client_disconnected"
                            + " past_deadline=false class=0 age_ms=20 timeout_ms=1000 attempts=1"
                            + " attempts_outstanding=1 last_outcome=null"),
                events);
    }

    /** Guards against a request that takes up a host although its client may have left. */
    @Test
    void requestOfAnUnknownClientIsSubmittedOnceItIsPresent() {
        Client client = new Client();
        client.presence = ClientPresence.UNKNOWN;
        accept(client);
        assertEquals(0, sent.size());
        client.presence = ClientPresence.PRESENT;
        client.waiting.get(0).run();
        assertEquals(1, sent.size());
        assertEquals(List.of(), client.responses);
    }

    /**
     * Guards against a client that waits for ever, or that is told that its request may have run.
     */
    @Test
    void requestOfAClientThatStaysUnknownIsRejectedWhenItsTimeIsUp() {
        Client client = new Client();
        client.presence = ClientPresence.UNKNOWN;
        accept(client);
        clock.advance(1000 * MS);
        assertEquals(List.of("rejected"), client.responses);
        assertEquals(0, sent.size());
        assertTrue(
                events.stream().anyMatch(each -> each.contains("reason=client_presence_unknown")),
                events.toString());
        client.presence = ClientPresence.PRESENT;
        client.waiting.get(0).run();
        assertEquals(0, sent.size(), "it has been answered");
        assertEquals(0, coordinator.inFlightCounts().openRequests());
    }

    /** Guards against an attempt that begins because it was ordered while its client was there. */
    @Test
    void attemptAsksForItsClientRightBeforeItsFirstByte() {
        Client client = new Client();
        accept(client);
        SentAttempt attempt = sent.get(0);
        client.presence = ClientPresence.UNKNOWN;
        List<String> resumed = new ArrayList<>();
        assertFalse(attempt.listener.mayBegin(() -> resumed.add("resumed")));
        client.waiting.get(0).run();
        assertEquals(List.of("resumed"), resumed);
        client.presence = ClientPresence.PRESENT;
        assertTrue(attempt.listener.mayBegin(() -> {}));
        client.presence = ClientPresence.DISCONNECTED;
        assertFalse(attempt.listener.mayBegin(() -> {}));
    }

    /** Makes the endpoint list stale, so that with the grace of 2 s it is not usable any more. */
    private void makeListUnusable() {
        staleSinceNanos = clock.nanoTime() - 1900 * MS;
    }

    private void failDiscovery() {
        discoveryFails = true;
        coordinator.onEndpointUpdate(UpdateKind.FAILURE, List.of(), Map.of());
    }

    private void makeListCurrent() {
        staleSinceNanos = EndpointSubscription.NOT_STALE;
        discoveryFails = false;
        coordinator.onEndpointUpdate(UpdateKind.DELTA, List.of(), Map.of());
    }

    /**
     * Guards against an attempt that begins when its connect completes, although its host may have
     * begun to drain unheard since the attempt was ordered.
     */
    @Test
    void connectingAttemptBeginsOnlyOnceTheListIsCurrent() {
        Client client = sendRequest("a", 900 * MS);
        makeListUnusable();
        List<SentAttempt> resumed = new ArrayList<>();
        SentAttempt attempt = sent.get(0);
        assertFalse(attempt.listener.mayBegin(() -> resumed.add(attempt)));
        clock.advance(100 * MS);
        assertEquals(List.of(), resumed);
        makeListCurrent();
        assertEquals(List.of(attempt), resumed);
        assertTrue(attempt.listener.mayBegin(() -> {}));
        assertEquals(List.of(), client.responses);
    }

    /** Guards against a list that stays usable because nothing happens when its time is over. */
    @Test
    void listIsNotUsableFromTheEndOfTheDrainGrace() {
        staleSinceNanos = clock.nanoTime();
        sendRequest("a", 10_000 * MS);
        assertTrue(sent.get(0).listener.mayBegin(() -> {}));
        advanceWithTicks(1840 * MS);
        assertTrue(sent.get(0).listener.mayBegin(() -> {}));
        advanceWithTicks(20 * MS);
        assertFalse(sent.get(0).listener.mayBegin(() -> {}));
    }

    /** Guards against requests that wait for discovery although it is known to fail. */
    @Test
    void requestsAreRejectedAtOnceWhenWaitingForTheListIsInVain() {
        Client connecting = sendRequest("a", 900 * MS);
        makeListUnusable();
        failDiscovery();
        assertEquals(List.of("rejected"), connecting.responses);
        assertTrue(sent.get(0).cancelled);
        Client later = sendRequest("b", 900 * MS);
        clock.advance(1 * MS);
        assertEquals(List.of("rejected"), later.responses);
        assertEquals(1, sent.size());
        assertTrue(events.stream().anyMatch(each -> each.contains("endpoint_list_stale")));
    }

    /** Guards against a rejection so late that the client has no time for another try. */
    @Test
    void requestWaitsForTheListForHalfOfItsTime() {
        makeListUnusable();
        Client client = sendRequest("a", 900 * MS);
        clock.advance(400 * MS);
        assertEquals(List.of(), client.responses);
        clock.advance(50 * MS);
        assertEquals(List.of("rejected"), client.responses);
        assertEquals(0, sent.size());
    }

    /** Guards against a retry by a list that may hide a drain, and against two answers. */
    @Test
    void retryDoesNotBeginByAnUnusableListAndTheRequestIsAnsweredOnce() {
        Client client = sendRequest("a", 900 * MS);
        assertTrue(sent.get(0).listener.mayBegin(() -> {}));
        sent.get(0).write();
        makeListUnusable();
        failDiscovery();
        assertEquals(List.of(), client.responses, "it may still be served");
        sent.get(0).listener.onAttemptEnded(Outcome.RESET, null);
        for (int i = 1; i < sent.size(); i++) {
            assertFalse(sent.get(i).listener.mayBegin(() -> {}));
        }
        clock.advance(1000 * MS);
        assertEquals(1, client.responses.size(), client.responses.toString());
        assertEquals(new InFlightCounts(0, 0, 0, 0), coordinator.inFlightCounts());
    }

    /** Guards against a sidecar that is never ready, or ready at once without a usable list. */
    @Test
    void readinessIsDelayedWithoutAUsableListButNotForLong() {
        makeListUnusable();
        assertFalse(coordinator.isReady());
        clock.advance(1900 * MS);
        assertFalse(coordinator.isReady());
        clock.advance(100 * MS);
        assertTrue(coordinator.isReady());
    }

    /** Guards against a ready sidecar that is taken out of service by an outage of discovery. */
    @Test
    void readySidecarStaysReadyWhenItsListBecomesUnusable() {
        assertTrue(coordinator.isReady());
        makeListUnusable();
        assertTrue(coordinator.isReady());
    }
}
