package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.daemon.LoopbackNode.Figures;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The list and what becomes of it, over loopback sockets. */
@Timeout(60)
class RegistryDiscoveryTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.says(StubUpstream.answer("200 OK", "fine"));

    /** Watches that have their time also where the machine is slow. */
    private static final Figures LONG_WATCHES =
            new Figures(TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.SECONDS.toNanos(60));

    private static void assertServed(LoopbackNode host, StubUpstream by, StubUpstream notBy)
            throws Exception {
        int before = notBy.requests.size();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, TestClient.status(host.ask(TestClient.request("pay", "2.0"))));
        }
        assertTrue(by.requests.size() >= 6);
        assertEquals(before, notBy.requests.size());
    }

    /** Guards against connections kept to an upstream that gets nothing any more. */
    @Test
    void idleConnectionsAreClosedWhenTheirHostIsRemoved() throws Exception {
        StubUpstream.Script slow =
                (socket, request) -> {
                    // Long enough that the module does not take the connection for one that is
                    // hardly used.
                    Thread.sleep(300);
                    return GOOD.serve(socket, request);
                };
        // Upstreams that keep idle connections far longer than any wait of this test.
        Figures patient =
                new Figures(TimeUnit.SECONDS.toNanos(600), 1000, TimeUnit.SECONDS.toNanos(1));
        try (StubUpstream one = new StubUpstream(slow);
                LoopbackNode host = new LoopbackNode(patient, LoopbackNode.targets(one))) {
            watchSince(host, 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(200, TestClient.status(host.ask(TestClient.request("pay", "2.0"))));
            }
            one.closed.clear();
            host.tell(LoopbackNode.list(2, true));
            one.awaitClosed();
        }
    }

    private static String watchSince(LoopbackNode host, long revision) throws Exception {
        String call = host.discovery.nextRequest();
        assertTrue(
                call.startsWith("GET /registry/instances?since=" + revision + "&timeout_ms="),
                call);
        return call;
    }

    @Test
    void deltasApplyToTheCachedListAndADrainingHostGetsNoNewRequests() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host =
                        new LoopbackNode(LONG_WATCHES, LoopbackNode.targets(one, two))) {
            watchSince(host, 1);
            host.tell(
                    LoopbackNode.list(
                            2, false, LoopbackNode.target("u0", one.address(), "Terminating")));
            watchSince(host, 2);
            assertServed(host, two, one);
            host.tell(
                    LoopbackNode.list(3, false, LoopbackNode.target("u0", one.address(), "Gone")));
            watchSince(host, 3);
            assertServed(host, two, one);
        }
    }

    @Test
    void hostMissingFromASnapshotIsRemoved() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host =
                        new LoopbackNode(LONG_WATCHES, LoopbackNode.targets(one, two))) {
            watchSince(host, 1);
            host.tell(
                    LoopbackNode.list(7, true, LoopbackNode.target("u1", two.address(), "Ready")));
            watchSince(host, 7);
            assertServed(host, two, one);
        }
    }

    @Test
    void hostMayMoveToAnotherAddress() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host = new LoopbackNode(LONG_WATCHES, LoopbackNode.targets(one))) {
            assertEquals(200, TestClient.status(host.ask(TestClient.request("pay", "2.0"))));
            watchSince(host, 1);
            host.tell(
                    LoopbackNode.list(2, false, LoopbackNode.target("u0", two.address(), "Ready")));
            watchSince(host, 2);
            assertServed(host, two, one);
        }
    }

    /** Guards against a list lost with the call that failed: the last one stays in force. */
    @Test
    void afterAFailureTheListStaysAndDiscoveryIsPolledAgain() throws Exception {
        String[] failures = {
            "",
            StubUpstream.answer("503 Service Unavailable", ""),
            StubUpstream.answer("200 OK", "{\"rev\":"),
            StubUpstream.answer("200 OK", "{\"rev\":9}"),
            StubUpstream.answer(
                    "200 OK",
                    LoopbackNode.list(9, true, LoopbackNode.target("u0", "nowhere", "Ready"))),
            StubUpstream.answer(
                    "200 OK",
                    LoopbackNode.list(
                            9, true, LoopbackNode.target("u0", "127.0.0.1:9", "Sleeping"))),
            "noise\r\n\r\n"
        };
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host = new LoopbackNode(one)) {
            for (String failure : failures) {
                watchSince(host, 1);
                host.news.add(failure);
            }
            watchSince(host, 1);
            assertServed(host, one, two);
        }
    }

    /**
     * Guards against a list of another discovery's taken for changes, and a move taken for a
     * failure.
     */
    @Test
    void switchedDiscoveryIsFollowedFromItsSnapshotOn() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                StubUpstream other =
                        new StubUpstream(
                                StubUpstream.firstThen(
                                        new CountDownLatch(1),
                                        StubUpstream.says(
                                                StubUpstream.answer(
                                                        "200 OK",
                                                        LoopbackNode.list(
                                                                1,
                                                                true,
                                                                LoopbackNode.target(
                                                                        "u1",
                                                                        two.address(),
                                                                        "Ready")))),
                                        StubUpstream.SILENT));
                LoopbackNode host = new LoopbackNode(LONG_WATCHES, LoopbackNode.targets(one))) {
            watchSince(host, 1);
            host.tell(LoopbackNode.list(7, true, LoopbackNode.targets(one)));
            watchSince(host, 7);
            host.node.switchRegistry(SidecarConfig.literalAddress(other.address()));
            assertTrue(
                    other.nextRequest().startsWith("GET /registry/instances HTTP"),
                    "the list first");
            assertTrue(
                    other.nextRequest().startsWith("GET /registry/instances?since=1&"),
                    "then a watch");
            assertServed(host, two, one);
            assertEquals(0, host.discovery.requests.size(), "the old one is asked no more");
        }
    }

    /**
     * Guards against a lost watch, which looks like one without news: what discovery had to tell
     * counts as told 2 s after the watch's time is over, so it is asked beside it before that, and
     * in time for a drain.
     */
    @Test
    void overdueWatchIsPolledBeforeItCountsAsCaughtUp() throws Exception {
        Figures shortWatch =
                new Figures(TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host = new LoopbackNode(shortWatch, LoopbackNode.targets(one, two))) {
            watchSince(host, 1);
            long asked = System.nanoTime();
            assertTrue(host.discovery.nextRequest().startsWith("GET /registry/instances HTTP"));
            assertTrue(System.nanoTime() - asked < TimeUnit.MILLISECONDS.toNanos(2000));
            assertEquals(
                    2, host.discovery.accepted.size(), "and the first one is still listened to");
            host.tell(
                    LoopbackNode.list(
                            2, false, LoopbackNode.target("u0", one.address(), "Terminating")));
            host.tell(
                    LoopbackNode.list(
                            2,
                            true,
                            LoopbackNode.target("u0", one.address(), "Terminating"),
                            LoopbackNode.target("u1", two.address(), "Ready")));
            watchSince(host, 2);
            assertServed(host, two, one);
        }
    }

    /**
     * Guards against a new discovery whose first list looks old beside what the old one told late.
     */
    @Test
    void firstSnapshotOfTheNewDiscoveryIsUsedAfterALateUpdateOfTheOld() throws Exception {
        Figures shortWatch =
                new Figures(TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host = new LoopbackNode(shortWatch, LoopbackNode.targets(one, two));
                StubUpstream other =
                        new StubUpstream(
                                (socket, request) -> {
                                    if (request.contains("since=")) {
                                        return true;
                                    }
                                    StubUpstream.write(
                                            socket,
                                            StubUpstream.answer(
                                                    "200 OK",
                                                    LoopbackNode.list(
                                                            5,
                                                            true,
                                                            LoopbackNode.target(
                                                                    "u1",
                                                                    two.address(),
                                                                    "Ready"))));
                                    return true;
                                })) {
            watchSince(host, 1);
            assertTrue(host.discovery.nextRequest().startsWith("GET /registry/instances HTTP"));
            host.tell(
                    LoopbackNode.list(
                            43, false, LoopbackNode.target("u0", one.address(), "Ready")));
            // Whichever of the two calls has it: the overdue one is closed then, or the other goes
            // on.
            while (host.discovery.closed.poll(10, TimeUnit.MILLISECONDS) == null
                    && host.discovery.requests.poll(10, TimeUnit.MILLISECONDS) == null) {
                Thread.onSpinWait();
            }
            host.node.switchRegistry(SidecarConfig.literalAddress(other.address()));
            assertTrue(other.nextRequest().startsWith("GET /registry/instances HTTP"));
            String second = other.nextRequest();
            assertTrue(second.startsWith("GET /registry/instances?since=5&"), second);
        }
    }

    private static String pushed(String json) {
        return json.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replaceAll("\"askWithin\":[0-9]*,", "");
    }

    /** An agent that answers with what it has, at once or when that changes; or not at all. */
    private static final class Agent implements StubUpstream.Script {
        private String list;
        private long revision;
        private boolean silent;

        synchronized void has(long version, String... targets) {
            revision = version;
            list = LoopbackNode.list(version, true, targets);
            notifyAll();
        }

        synchronized void silent(boolean now) {
            silent = now;
            notifyAll();
        }

        @Override
        public synchronized boolean serve(Socket socket, String request)
                throws IOException, InterruptedException {
            int since = request.indexOf("since=");
            if (silent) {
                return true;
            }
            if (since >= 0) {
                long known =
                        Long.parseLong(request.substring(since + 6, request.indexOf('&', since)));
                long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1000);
                while (known >= revision && !silent && until - System.nanoTime() > 0) {
                    wait(10);
                }
            }
            if (!silent) {
                StubUpstream.write(socket, StubUpstream.answer("200 OK", list));
            }
            return true;
        }
    }

    private static void untilAsked(StubUpstream agent, String how) throws Exception {
        while (!agent.nextRequest().startsWith("GET /registry/instances" + how)) {
            Thread.onSpinWait();
        }
    }

    /**
     * Guards against a start that fails where lists are pushed: the agent that has them is watched.
     * And against an agent's return that is noticed late: while discovery is down it says nothing,
     * and nothing tells that it is back, but what it has then counts as told at once. So it is
     * asked for all it has, over and over; here five times before it is back.
     */
    @Test
    void pushedListIsWatchedAtTheAgentAndASilentAgentIsPolled() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD)) {
            Agent agent = new Agent();
            agent.has(1, LoopbackNode.targets(one, two));
            try (StubUpstream there = new StubUpstream(agent);
                    LoopbackNode host =
                            new LoopbackNode(
                                    Figures.USUAL,
                                    null,
                                    json ->
                                            pushed(json)
                                                    .replaceAll(
                                                            "\"discovery\":\"127[^\"]*\"",
                                                            "\"discovery\":\""
                                                                    + there.address()
                                                                    + "\""),
                                    LoopbackNode.targets(one, two))) {
                untilAsked(there, "?since=1&");
                agent.has(2, LoopbackNode.target("u1", two.address(), "Ready"));
                untilAsked(there, "?since=2&");
                assertServed(host, two, one);
                agent.silent(true);
                untilAsked(there, " HTTP");
                long silent = System.nanoTime();
                for (int i = 0; i < 5; i++) {
                    untilAsked(there, " HTTP");
                }
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent);
                assertTrue(took < 2500, "five calls took " + took);
                assertServed(host, two, one);
                agent.has(3, LoopbackNode.target("u0", one.address(), "Ready"));
                agent.silent(false);
                untilAsked(there, "?since=3&");
                assertServed(host, one, two);
            }
        }
    }

    /**
     * Guards against a drain taken back by whoever answers with less than it has told. One that has
     * begun anew, and so counts from the beginning, is believed when it says so to who asks for all
     * it has.
     */
    @Test
    void olderListIsIgnoredUnlessItIsTheOnlyOne() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host =
                        new LoopbackNode(LONG_WATCHES, LoopbackNode.targets(one, two))) {
            watchSince(host, 1);
            host.tell(
                    LoopbackNode.list(
                            7,
                            true,
                            LoopbackNode.target("u0", one.address(), "Terminating"),
                            LoopbackNode.target("u1", two.address(), "Ready")));
            watchSince(host, 7);
            host.tell(LoopbackNode.list(6, true, LoopbackNode.targets(one, two)));
            assertTrue(
                    host.discovery.nextRequest().startsWith("GET /registry/instances HTTP"),
                    "all it has");
            assertServed(host, two, one);
            host.tell(
                    LoopbackNode.list(3, true, LoopbackNode.target("u0", one.address(), "Ready")));
            watchSince(host, 3);
            assertServed(host, one, two);
        }
    }

    private static String startedAt(long millis, String target) {
        return target.replace("\"boot_ms\":0", "\"boot_ms\":" + millis);
    }

    /**
     * Guards against news lost whole, here a drain, because an upstream that came back within one
     * list of changes, or went again, was forgotten where it is needed: when another one takes its
     * address.
     */
    @Test
    void hostThatComesAndGoesWithinOneDeltaLosesNoUpdate() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD)) {
            String gone = LoopbackNode.target("u0", one.address(), "Gone");
            String again = startedAt(1000, LoopbackNode.target("u0", one.address(), "Ready"));
            for (String[] changes : new String[][] {{gone, again}, {again, gone}}) {
                try (LoopbackNode host =
                        new LoopbackNode(LONG_WATCHES, LoopbackNode.targets(one, two))) {
                    watchSince(host, 1);
                    host.tell(LoopbackNode.list(2, false, changes));
                    watchSince(host, 2);
                    host.tell(
                            LoopbackNode.list(
                                    3,
                                    false,
                                    startedAt(
                                            2000,
                                            LoopbackNode.target("u2", one.address(), "Ready")),
                                    LoopbackNode.target("u1", two.address(), "Terminating")));
                    watchSince(host, 3);
                    assertServed(host, one, two);
                    assertEquals(0, host.discovery.requests.size(), "its news were no failure");
                }
            }
        }
    }

    /**
     * Guards against a loop that does nothing but ask, where watches are answered at once though
     * there is no news: the next one waits, but not for longer than a watch goes on. For an agent
     * and for a service that is asked.
     */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void whoAnswersWatchesAtOnceIsNotAskedWithoutRest(String mode) throws Exception {
        BlockingQueue<Long> asked = new LinkedBlockingQueue<>();
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                StubUpstream hasty =
                        new StubUpstream(
                                (socket, request) -> {
                                    asked.add(System.nanoTime());
                                    StubUpstream.write(
                                            socket,
                                            StubUpstream.answer(
                                                    "200 OK",
                                                    LoopbackNode.list(
                                                            2,
                                                            true,
                                                            LoopbackNode.target(
                                                                    "u1",
                                                                    two.address(),
                                                                    "Ready"))));
                                    return true;
                                });
                LoopbackNode host =
                        new LoopbackNode(
                                LONG_WATCHES,
                                null,
                                json ->
                                        json.replaceAll(
                                                        "\"discovery\":\"127[^\"]*\"",
                                                        "\"discovery\":\"" + hasty.address() + "\"")
                                                .replace(
                                                        "\"discovery\":\"subscribe\"",
                                                        "\"discovery\":\"" + mode + "\""),
                                LoopbackNode.targets(one, two))) {
            // The first call is for the whole list, and is followed by a watch at once.
            asked.take();
            long second = asked.take();
            long last = second;
            for (int i = 0; i < 10; i++) {
                last = asked.take();
            }
            long took = TimeUnit.NANOSECONDS.toMillis(last - second);
            assertTrue(took >= 500, "ten watches took " + took);
            boolean agent = mode.equals("automatic");
            assertTrue(
                    hasty.nextRequest()
                            .contains(agent ? "/registry/instances HTTP/1.1" : "?since=1&"));
            assertTrue(hasty.nextRequest().contains("?since=2&"));
            assertServed(host, two, one);
        }
    }

    /**
     * Guards against a drain that is lost with the call beside an overdue watch: discovery has it
     * already as the sidecar is told to ask another one, which says nothing yet.
     */
    @Test
    void pollOfTheOldDiscoveryIsUsedWhileTheNewOneIsSilent() throws Exception {
        Figures shortWatch =
                new Figures(TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        CountDownLatch moved = new CountDownLatch(1);
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                StubUpstream old =
                        new StubUpstream(
                                (socket, request) -> {
                                    if (!request.contains("since=")) {
                                        moved.await();
                                        StubUpstream.write(
                                                socket,
                                                StubUpstream.answer(
                                                        "200 OK",
                                                        LoopbackNode.list(
                                                                2,
                                                                true,
                                                                LoopbackNode.target(
                                                                        "u0",
                                                                        one.address(),
                                                                        "Terminating"),
                                                                LoopbackNode.target(
                                                                        "u1",
                                                                        two.address(),
                                                                        "Ready"))));
                                    }
                                    return true;
                                });
                LoopbackNode host =
                        new LoopbackNode(
                                shortWatch,
                                null,
                                json ->
                                        json.replaceAll(
                                                "\"discovery\":\"127[^\"]*\"",
                                                "\"discovery\":\"" + old.address() + "\""),
                                LoopbackNode.targets(one, two))) {
            untilAsked(old, " HTTP");
            host.node.switchRegistry(SidecarConfig.literalAddress(silent.address()));
            untilAsked(silent, " HTTP");
            moved.countDown();
            // One is closed with the move, the other one when its answer has been read.
            old.awaitClosed();
            old.closed.poll(2, TimeUnit.SECONDS);
            assertServed(host, two, one);
        }
    }

    /**
     * Guards against a list that is bad in part and taken in part, and against harm done by its
     * size.
     */
    @Test
    void malformedListIsIgnoredAndALongOneIsUsed() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackNode host =
                        new LoopbackNode(
                                new Figures(
                                        TimeUnit.SECONDS.toNanos(10),
                                        1000,
                                        TimeUnit.SECONDS.toNanos(20)),
                                LoopbackNode.targets(one, two))) {
            String drains = LoopbackNode.target("u0", one.address(), "Terminating");
            String endless = LoopbackNode.list(9, false, drains) + " ".repeat(5 << 20);
            String[] bad = {
                LoopbackNode.list(9, false, drains, "null"),
                LoopbackNode.list(9, false, drains, "7"),
                LoopbackNode.list(
                        9, false, drains, drains.replace("\"uid\":\"u0\"", "\"uid\":\"\"")),
                LoopbackNode.list(
                        9, false, drains, drains.replace("\"az\":\"a\"", "\"az\":\"none\"")),
                LoopbackNode.list(9, false, drains, startedAt(-1, drains)),
                LoopbackNode.list(9, false, drains).replace("\"rev\":9", "\"rev\":1e400"),
                LoopbackNode.list(9, false, drains).replace("\"rev\":9", "\"rev\":\"9\""),
                LoopbackNode.list(9, false, drains).replace("\"all\":false", "\"all\":\"no\""),
                LoopbackNode.list(9, false, "[".repeat(100_000)),
                "{\"rev\":9,\"all\":false,\"targets\":{\"u0\":" + drains + "}}",
                "",
                "null",
                endless
            };
            long revision = 1;
            for (String each : bad) {
                watchSince(host, revision);
                host.tell(each);
                watchSince(host, revision);
                revision++;
                host.tell(LoopbackNode.list(revision, true, LoopbackNode.targets(one, two)));
            }
            watchSince(host, revision);
            String[] many = new String[10_000];
            for (int i = 0; i < many.length; i++) {
                many[i] =
                        LoopbackNode.target(
                                "n" + i, "127.1." + i / 250 + "." + i % 250 + ":9", "Terminating");
            }
            many[0] = drains;
            many[1] = LoopbackNode.target("u1", two.address(), "Ready");
            host.tell(LoopbackNode.list(revision + 1, true, many));
            watchSince(host, revision + 1);
            assertServed(host, two, one);
        }
    }
}
