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
import org.junit.jupiter.api.Test;

/** A request's life on a clock and before upstreams that the test moves. */
class RequestCoordinatorTest {
    private static final long MS = 1_000_000;
    private static final InetSocketAddress ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final UpstreamRequest MESSAGE = new UpstreamRequest() {};

    /**
     * Time that stands until it is moved, and timers that ring on the way, the earlier made first.
     */
    private static final class Hand implements MonotonicClock, Scheduler {
        private record Alarm(long at, int serial, Runnable what) {}

        private final PriorityQueue<Alarm> alarms =
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
            Alarm alarm = new Alarm(Math.max(now, when), serials++, what);
            alarms.add(alarm);
            return () -> alarms.remove(alarm);
        }

        @Override
        public void execute(Runnable what) {
            scheduleAt(now, what);
        }

        void advance(long by) {
            long end = now + by;
            while (!alarms.isEmpty() && alarms.peek().at <= end) {
                Alarm next = alarms.poll();
                now = Math.max(now, next.at);
                next.what.run();
            }
            now = end;
        }

        /** The thread does nothing for so long; what was due rings only after. */
        void standStill(long nanos) {
            now += nanos;
        }
    }

    /** Attempts as the upstreams' side sees them. */
    private static final class Sent implements UpstreamTransport.AttemptHandle {
        final Endpoint to;
        final SendDeadlines window;
        final UpstreamTransport.AttemptListener listener;
        boolean begun;
        boolean committed;
        boolean abandoned;

        Sent(Endpoint to, SendDeadlines window, UpstreamTransport.AttemptListener listener) {
            this.to = to;
            this.window = window;
            this.listener = listener;
        }

        @Override
        public boolean hasStartedWriting() {
            return begun;
        }

        @Override
        public boolean isFullyWritten() {
            return committed;
        }

        @Override
        public void cancel() {
            abandoned = true;
        }

        Sent write() {
            begun = true;
            committed = true;
            return this;
        }
    }

    private static class Client implements ResponseSink {
        final List<String> answers = new ArrayList<>();

        @Override
        public void readPendingInput() {}

        @Override
        public void onServed(UpstreamResponse reply) {
            answers.add("served");
        }

        @Override
        public void onRejected(long wait) {
            answers.add("refused");
        }

        @Override
        public void onFailed(FailureCause cause) {
            answers.add("failed " + cause);
        }

        @Override
        public void onResponseStreaming(StreamedResponse answer) {
            answers.add("flows");
        }

        @Override
        public void onResponseComplete() {
            answers.add("flowed");
        }

        @Override
        public void abort() {
            answers.add("abort");
        }
    }

    private final Hand hand = new Hand();
    private final List<Sent> sent = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final List<Runnable> unread = new ArrayList<>();
    private final RequestCoordinator exchanges = exchanges(2000 * MS);

    private RequestCoordinator exchanges(long drainGrace) {
        return new RequestCoordinator(
                hand,
                hand,
                settings(drainGrace),
                100,
                new UpstreamTransport() {
                    @Override
                    public AttemptHandle send(
                            Endpoint to,
                            UpstreamRequest what,
                            SendDeadlines window,
                            AttemptListener listener) {
                        Sent next = new Sent(to, window, listener);
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
        return exchanges.accept(
                new ClientRequest("a", hand.nanoTime(), 1000 * MS, 0, 0, 0, 0, false, MESSAGE),
                client);
    }

    /**
     * An answer that begins to go out, at the first attempt of a request that waits for a second.
     */
    private Sent begins(Client client) {
        accept(client);
        Sent first = sent.get(0).write();
        assertTrue(first.listener.onResponseStarted(new StreamedResponse() {}));
        assertEquals(List.of("flows"), client.answers);
        return first;
    }

    /** Guards against a second answer behind one that a client has a part of, whatever happens. */
    @Test
    void onceAnAnswerHasBegunOnlyItsEndOrItsBreakFollows() {
        Client whole = new Client();
        Sent first = begins(whole);
        hand.advance(60_000 * MS);
        assertEquals(List.of("flows"), whole.answers, "its deadline no longer counts");
        assertEquals(1, sent.size());
        assertFalse(first.abandoned);
        first.listener.onAttemptEnded(Outcome.OK, null);
        assertEquals(List.of("flows", "flowed"), whole.answers);
        hand.advance(10_000 * MS);
        assertEquals(new InFlightCounts(0, 0, 0, 0), exchanges.inFlightCounts());
    }

    @Test
    void anAnswerThatBreaksOffIsNotTriedAgain() {
        Client client = new Client();
        begins(client).listener.onAttemptEnded(Outcome.RESET, null);
        hand.advance(10_000 * MS);
        assertEquals(List.of("flows", "abort"), client.answers);
        assertEquals(1, sent.size());
        assertEquals(new InFlightCounts(0, 0, 0, 0), exchanges.inFlightCounts());
    }

    /** Guards against a server that goes on sending to nobody. */
    @Test
    void aClientThatLeavesInTheMiddleEndsTheAttempt() {
        Client client = new Client();
        Runnable hangUp = accept(client);
        Sent first = sent.get(0).write();
        assertTrue(first.listener.onResponseStarted(new StreamedResponse() {}));
        hangUp.run();
        hand.advance(1 * MS);
        assertTrue(first.abandoned);
        assertEquals(new InFlightCounts(0, 0, 0, 0), exchanges.inFlightCounts());
    }

    @Test
    void anAnswerThatComesTooLateIsNotBegun() {
        Client client = new Client();
        accept(client);
        Sent first = sent.get(0).write();
        hand.advance(1100 * MS);
        assertFalse(first.listener.onResponseStarted(new StreamedResponse() {}));
        assertEquals(1, client.answers.size());
    }

    RequestCoordinatorTest() {
        start(exchanges);
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
                        unread.forEach(Runnable::run);
                        unread.clear();
                    }
                },
                List.of(upstream(1, HostState.READY), upstream(2, HostState.READY)),
                Map.of(1L, ADDRESS, 2L, ADDRESS));
    }

    private Client ask(String name, long patience) {
        Client client = new Client();
        exchanges.accept(
                new ClientRequest(name, hand.nanoTime(), patience, 0, 0, 0, 0, false, MESSAGE),
                client);
        return client;
    }

    /** Ticks as the clients' side does. */
    private void pass(long nanos) {
        for (long left = nanos; left > 0; left -= 40 * MS) {
            hand.advance(Math.min(left, 40 * MS));
            exchanges.tick();
        }
    }

    private void drain(long id) {
        exchanges.onEndpointUpdate(
                UpdateKind.DELTA, List.of(upstream(id, HostState.DRAINING)), Map.of(id, ADDRESS));
    }

    @Test
    void anAttemptThatWaitsForItsConnectionDoesNotReachAnUpstreamThatDrains() {
        Client client = ask("a", 900 * MS);
        Sent first = sent.get(0);
        drain(first.to.upstream());
        assertTrue(first.abandoned);
        assertEquals(2, sent.size(), "it never ran, and goes elsewhere");
        assertTrue(sent.get(1).to.upstream() != first.to.upstream());
        sent.get(1).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.answers);
    }

    @Test
    void whatIsWrittenToAnUpstreamThatDrainsIsItsToFinish() {
        Client client = ask("a", 900 * MS);
        sent.get(0).write();
        drain(sent.get(0).to.upstream());
        assertEquals(1, sent.size());
        sent.get(0).listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.answers);
    }

    /** Guards against a repeat that reaches an upstream after repeats have ceased to be dropped. */
    @Test
    void aFurtherAttemptHasItsWindowFromTheFirstThatMayHaveRun() {
        ask("a", 900 * MS);
        long first = hand.nanoTime();
        assertEquals(Long.MAX_VALUE, sent.get(0).window.lastByteByNanos());
        hand.advance(50 * MS);
        sent.get(0).write().listener.onAttemptEnded(Outcome.RESET, null);
        assertEquals(first + 1000 * MS, sent.get(1).window.lastByteByNanos());
        sent.get(1).listener.onAttemptEnded(Outcome.CONNECT_FAILED, null);
        assertEquals(2, sent.size());
    }

    /**
     * Guards against what waited unread while the thread stood still, and was sent as if it had
     * just come.
     */
    @Test
    void whatMayHaveWaitedWhileTheThreadStoodStillIsKnownForAWhile() {
        pass(300 * MS);
        assertFalse(exchanges.mayHaveWaitedUnread());
        hand.standStill(3_600_000 * MS);
        assertTrue(exchanges.mayHaveWaitedUnread());
        pass(900 * MS);
        assertTrue(exchanges.mayHaveWaitedUnread());
        pass(200 * MS);
        assertFalse(exchanges.mayHaveWaitedUnread(), "however long it was");
    }

    /**
     * Guards against answers that come as much too late as the thread was late to read what was
     * asked.
     */
    @Test
    void whatIsReadAfterTheThreadWasLateMayHaveComeWhileItWas() {
        pass(300 * MS);
        long before = hand.nanoTime();
        assertEquals(before, exchanges.earliestArrivalNanos(), "a thread in time");
        hand.standStill(400 * MS);
        assertEquals(before, exchanges.earliestArrivalNanos());
        assertEquals(
                before,
                exchanges.earliestArrivalNanos(),
                "the next one that is read in the same turn, too");
        pass(100 * MS);
        assertEquals(before, exchanges.earliestArrivalNanos(), "what it accepts one by one");
        pass(100 * MS);
        assertEquals(hand.nanoTime(), exchanges.earliestArrivalNanos());
    }

    /**
     * Guards against a start whose waits add up: none of them alone is as long as what waited
     * behind all.
     */
    @Test
    void whatWaitsBehindSeveralLateTurnsMayHaveComeBeforeTheFirst() {
        pass(300 * MS);
        long before = hand.nanoTime();
        for (int i = 0; i < 3; i++) {
            hand.standStill(200 * MS);
            exchanges.tick();
            pass(100 * MS);
        }
        assertEquals(before, exchanges.earliestArrivalNanos());
        pass(200 * MS);
        assertEquals(hand.nanoTime(), exchanges.earliestArrivalNanos());
        for (int i = 0; i < 20; i++) {
            hand.standStill(200 * MS);
            exchanges.tick();
        }
        assertEquals(
                hand.nanoTime() - 200 * MS,
                exchanges.earliestArrivalNanos(),
                "a thread that is late for good serves on");
    }

    /** Guards against a slow machine that takes all that is read for too old. */
    @Test
    void whereEachTurnIsLateRequestsOfLessThanASecondAreStillServed() {
        int served = 0;
        for (int i = 0; i < 100; i++) {
            hand.standStill(160 * MS);
            Client client = new Client();
            int before = sent.size();
            exchanges.accept(
                    new ClientRequest(
                            "r" + i,
                            exchanges.earliestArrivalNanos(),
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
            served += client.answers.contains("served") ? 1 : 0;
            hand.advance(0);
        }
        assertTrue(served > 80, "served " + served + " of 100");
    }

    /** Guards against a wait for the list that is cut short by the end of an earlier one. */
    @Test
    void aSecondWaitForTheListHasItsOwnEnd() {
        hand.standStill(2500 * MS);
        exchanges.tick();
        drain(1);
        hand.standStill(2500 * MS);
        exchanges.tick();
        ask("a", 900 * MS);
        hand.advance(300 * MS);
        assertEquals(0, sent.size());
        hand.advance(300 * MS);
        assertEquals(1, sent.size());
    }

    @Test
    void whatDiscoveryToldMeanwhileIsReadBeforeAnythingIsDecided() {
        hand.standStill(700 * MS);
        unread.add(() -> drain(1));
        ask("a", 2000 * MS);
        assertEquals(2, sent.get(0).to.upstream());
    }

    /**
     * Guards against who must stop sending in 250 ms and takes 200 ms in which nothing was read for
     * nothing.
     */
    @Test
    void whereDrainsAreToBeHeededSoonALessLongStandStillIsLookedAfter() {
        RequestCoordinator soon = exchanges(250 * MS);
        start(soon);
        hand.standStill(200 * MS);
        unread.add(
                () ->
                        soon.onEndpointUpdate(
                                UpdateKind.DELTA,
                                List.of(
                                        upstream(1, HostState.DRAINING),
                                        upstream(2, HostState.DRAINING)),
                                Map.of(1L, ADDRESS, 2L, ADDRESS)));
        soon.accept(
                new ClientRequest("a", hand.nanoTime(), 2000 * MS, 0, 0, 0, 0, false, MESSAGE),
                new Client());
        assertEquals(0, sent.size(), "both drain");
    }

    /**
     * Guards against a drain that is undone: what a stand-still kept is newer than the list being
     * told.
     */
    @Test
    void whatAStandStillKeptIsToldBehindTheListThatIsBeingTold() {
        hand.standStill(700 * MS);
        unread.add(() -> drain(1));
        exchanges.onEndpointUpdate(
                UpdateKind.DELTA,
                List.of(upstream(1, HostState.READY), upstream(2, HostState.DRAINING)),
                Map.of(1L, ADDRESS, 2L, ADDRESS));
        ask("a", 2000 * MS);
        assertEquals(0, sent.size(), "both drain");
    }

    /**
     * Guards against sending to who may have drained long since, before discovery could be asked.
     */
    @Test
    void afterLongerThanDrainsAllowRequestsWaitForWordOfTheList() {
        hand.standStill(2500 * MS);
        exchanges.tick();
        hand.advance(350 * MS);
        Client client = ask("a", 900 * MS);
        assertEquals(0, sent.size());
        drain(1);
        assertEquals(2, sent.get(0).to.upstream());
        sent.get(0).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("served"), client.answers);
    }

    @Test
    void butNotForLongWhereThereIsNoWord() {
        hand.standStill(2500 * MS);
        exchanges.tick();
        hand.advance(350 * MS);
        ask("a", 900 * MS);
        assertEquals(0, sent.size());
        pass(300 * MS);
        assertEquals(1, sent.size());
    }

    /** Guards against a module that sends for a request that has been answered over its head. */
    @Test
    void theBackstopsAnswerIsToldToTheModule() {
        Client client = ask("a", 900 * MS);
        sent.get(0).write();
        hand.standStill(3000 * MS);
        pass(600 * MS);
        assertEquals(1, client.answers.size());
        assertEquals(new InFlightCounts(0, 0, 0, 0), exchanges.inFlightCounts());
        assertEquals(List.of(), failures);
    }

    /**
     * Guards against a healthy upstream that is shut out because a request ran out of time on its
     * way there.
     */
    @Test
    void aDeadlineThatPassesWhileConnectingTellsNothingOfTheUpstream() {
        Client late = ask("a", 50 * MS);
        pass(60 * MS);
        assertTrue(sent.get(0).abandoned);
        assertEquals(List.of("refused"), late.answers);
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
                "both still take their turns");
    }

    /** Guards against a warm-up's module that goes on for the life of the process. */
    @Test
    void afterItsEndTheModuleIsLeftAlone() {
        exchanges.close();
        hand.advance(60_000 * MS);
        assertTrue(hand.alarms.isEmpty(), hand.alarms.size() + " alarms left");
    }

    @Test
    void anAnswerThatCantBeGivenClosesTheConnectionAndIsKnownToTheModule() {
        Client client =
                new Client() {
                    @Override
                    public void onServed(UpstreamResponse reply) {
                        throw new IllegalStateException("no");
                    }
                };
        exchanges.accept(
                new ClientRequest("a", hand.nanoTime(), 900 * MS, 0, 0, 0, 0, false, MESSAGE),
                client);
        sent.get(0).write().listener.onAttemptEnded(Outcome.OK, fields -> new float[0]);
        assertEquals(List.of("abort"), client.answers);
        assertEquals(new InFlightCounts(0, 0, 0, 0), exchanges.inFlightCounts());
        assertEquals(1, failures.size());
    }
}
