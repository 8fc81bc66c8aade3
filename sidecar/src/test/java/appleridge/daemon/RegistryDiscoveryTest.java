package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.daemon.LoopbackSidecar.SettingValues;
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
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** Watches that have their time also where the machine is slow. */
    private static final SettingValues LONG_WATCHES =
            new SettingValues(TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.SECONDS.toNanos(60));

    private static void assertServed(LoopbackSidecar host, StubUpstream by, StubUpstream notBy)
            throws Exception {
        int before = notBy.requests.size();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, TestClient.status(host.exchange(TestClient.request("pay", "2.0"))));
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
        SettingValues patient =
                new SettingValues(TimeUnit.SECONDS.toNanos(600), 1000, TimeUnit.SECONDS.toNanos(1));
        try (StubUpstream one = new StubUpstream(slow);
                LoopbackSidecar host = new LoopbackSidecar(patient, LoopbackSidecar.targets(one))) {
            watchSince(host, 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        200, TestClient.status(host.exchange(TestClient.request("pay", "2.0"))));
            }
            one.closed.clear();
            host.queueList(LoopbackSidecar.list(2, true));
            one.awaitClosed();
        }
    }

    private static String watchSince(LoopbackSidecar host, long revision) throws Exception {
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
                LoopbackSidecar host =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
            watchSince(host, 1);
            host.queueList(
                    LoopbackSidecar.list(
                            2, false, LoopbackSidecar.target("u0", one.address(), "Terminating")));
            watchSince(host, 2);
            assertServed(host, two, one);
            host.queueList(
                    LoopbackSidecar.list(
                            3, false, LoopbackSidecar.target("u0", one.address(), "Gone")));
            watchSince(host, 3);
            assertServed(host, two, one);
        }
    }

    @Test
    void hostMissingFromASnapshotIsRemoved() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar host =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
            watchSince(host, 1);
            host.queueList(
                    LoopbackSidecar.list(
                            7, true, LoopbackSidecar.target("u1", two.address(), "Ready")));
            watchSince(host, 7);
            assertServed(host, two, one);
        }
    }

    @Test
    void hostMayMoveToAnotherAddress() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar host =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one))) {
            assertEquals(200, TestClient.status(host.exchange(TestClient.request("pay", "2.0"))));
            watchSince(host, 1);
            host.queueList(
                    LoopbackSidecar.list(
                            2, false, LoopbackSidecar.target("u0", two.address(), "Ready")));
            watchSince(host, 2);
            assertServed(host, two, one);
        }
    }

    /** Guards against a list lost with the call that failed: the last one stays in force. */
    @Test
    void afterAFailureTheListStaysAndDiscoveryIsPolledAgain() throws Exception {
        String[] failures = {
            "",
            StubUpstream.response("503 Service Unavailable", ""),
            StubUpstream.response("200 OK", "{\"rev\":"),
            StubUpstream.response("200 OK", "{\"rev\":9}"),
            StubUpstream.response(
                    "200 OK",
                    LoopbackSidecar.list(
                            9, true, LoopbackSidecar.target("u0", "nowhere", "Ready"))),
            StubUpstream.response(
                    "200 OK",
                    LoopbackSidecar.list(
                            9, true, LoopbackSidecar.target("u0", "127.0.0.1:9", "Sleeping"))),
            "noise\r\n\r\n"
        };
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar host = new LoopbackSidecar(one)) {
            for (String failure : failures) {
                watchSince(host, 1);
                host.discoveryResponses.add(failure);
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
                                        StubUpstream.respondWith(
                                                StubUpstream.response(
                                                        "200 OK",
                                                        LoopbackSidecar.list(
                                                                1,
                                                                true,
                                                                LoopbackSidecar.target(
                                                                        "u1",
                                                                        two.address(),
                                                                        "Ready")))),
                                        StubUpstream.SILENT));
                LoopbackSidecar host =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one))) {
            watchSince(host, 1);
            host.queueList(LoopbackSidecar.list(7, true, LoopbackSidecar.targets(one)));
            watchSince(host, 7);
            host.runner.follow(SidecarConfig.literalAddress(other.address()));
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
        SettingValues shortWatch =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar host =
                        new LoopbackSidecar(shortWatch, LoopbackSidecar.targets(one, two))) {
            watchSince(host, 1);
            long asked = System.nanoTime();
            assertTrue(host.discovery.nextRequest().startsWith("GET /registry/instances HTTP"));
            assertTrue(System.nanoTime() - asked < TimeUnit.MILLISECONDS.toNanos(2000));
            assertEquals(
                    2, host.discovery.accepted.size(), "and the first one is still listened to");
            host.queueList(
                    LoopbackSidecar.list(
                            2, false, LoopbackSidecar.target("u0", one.address(), "Terminating")));
            host.queueList(
                    LoopbackSidecar.list(
                            2,
                            true,
                            LoopbackSidecar.target("u0", one.address(), "Terminating"),
                            LoopbackSidecar.target("u1", two.address(), "Ready")));
            watchSince(host, 2);
            assertServed(host, two, one);
        }
    }

    /**
     * Guards against a new discovery whose first list looks old beside what the old one told late.
     */
    @Test
    void firstSnapshotOfTheNewDiscoveryIsUsedAfterALateUpdateOfTheOld() throws Exception {
        SettingValues shortWatch =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar host =
                        new LoopbackSidecar(shortWatch, LoopbackSidecar.targets(one, two));
                StubUpstream other =
                        new StubUpstream(
                                (socket, request) -> {
                                    if (request.contains("since=")) {
                                        return true;
                                    }
                                    StubUpstream.write(
                                            socket,
                                            StubUpstream.response(
                                                    "200 OK",
                                                    LoopbackSidecar.list(
                                                            5,
                                                            true,
                                                            LoopbackSidecar.target(
                                                                    "u1",
                                                                    two.address(),
                                                                    "Ready"))));
                                    return true;
                                })) {
            watchSince(host, 1);
            assertTrue(host.discovery.nextRequest().startsWith("GET /registry/instances HTTP"));
            host.queueList(
                    LoopbackSidecar.list(
                            43, false, LoopbackSidecar.target("u0", one.address(), "Ready")));
            // Whichever of the two calls has it: the overdue one is closed then, or the other goes
            // on.
            while (host.discovery.closed.poll(10, TimeUnit.MILLISECONDS) == null
                    && host.discovery.requests.poll(10, TimeUnit.MILLISECONDS) == null) {
                Thread.onSpinWait();
            }
            host.runner.follow(SidecarConfig.literalAddress(other.address()));
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
            list = LoopbackSidecar.list(version, true, targets);
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
                StubUpstream.write(socket, StubUpstream.response("200 OK", list));
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
            agent.has(1, LoopbackSidecar.targets(one, two));
            try (StubUpstream there = new StubUpstream(agent);
                    LoopbackSidecar host =
                            new LoopbackSidecar(
                                    SettingValues.DEFAULT,
                                    null,
                                    json ->
                                            pushed(json)
                                                    .replaceAll(
                                                            "\"discovery\":\"127[^\"]*\"",
                                                            "\"discovery\":\""
                                                                    + there.address()
                                                                    + "\""),
                                    LoopbackSidecar.targets(one, two))) {
                untilAsked(there, "?since=1&");
                agent.has(2, LoopbackSidecar.target("u1", two.address(), "Ready"));
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
                agent.has(3, LoopbackSidecar.target("u0", one.address(), "Ready"));
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
                LoopbackSidecar host =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
            watchSince(host, 1);
            host.queueList(
                    LoopbackSidecar.list(
                            7,
                            true,
                            LoopbackSidecar.target("u0", one.address(), "Terminating"),
                            LoopbackSidecar.target("u1", two.address(), "Ready")));
            watchSince(host, 7);
            host.queueList(LoopbackSidecar.list(6, true, LoopbackSidecar.targets(one, two)));
            assertTrue(
                    host.discovery.nextRequest().startsWith("GET /registry/instances HTTP"),
                    "all it has");
            assertServed(host, two, one);
            host.queueList(
                    LoopbackSidecar.list(
                            3, true, LoopbackSidecar.target("u0", one.address(), "Ready")));
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
            String gone = LoopbackSidecar.target("u0", one.address(), "Gone");
            String again = startedAt(1000, LoopbackSidecar.target("u0", one.address(), "Ready"));
            for (String[] changes : new String[][] {{gone, again}, {again, gone}}) {
                try (LoopbackSidecar host =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
                    watchSince(host, 1);
                    host.queueList(LoopbackSidecar.list(2, false, changes));
                    watchSince(host, 2);
                    host.queueList(
                            LoopbackSidecar.list(
                                    3,
                                    false,
                                    startedAt(
                                            2000,
                                            LoopbackSidecar.target("u2", one.address(), "Ready")),
                                    LoopbackSidecar.target("u1", two.address(), "Terminating")));
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
                                            StubUpstream.response(
                                                    "200 OK",
                                                    LoopbackSidecar.list(
                                                            2,
                                                            true,
                                                            LoopbackSidecar.target(
                                                                    "u1",
                                                                    two.address(),
                                                                    "Ready"))));
                                    return true;
                                });
                LoopbackSidecar host =
                        new LoopbackSidecar(
                                LONG_WATCHES,
                                null,
                                json ->
                                        json.replaceAll(
                                                        "\"discovery\":\"127[^\"]*\"",
                                                        "\"discovery\":\"" + hasty.address() + "\"")
                                                .replace(
                                                        "\"discovery\":\"subscribe\"",
                                                        "\"discovery\":\"" + mode + "\""),
                                LoopbackSidecar.targets(one, two))) {
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
        SettingValues shortWatch =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
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
                                                StubUpstream.response(
                                                        "200 OK",
                                                        LoopbackSidecar.list(
                                                                2,
                                                                true,
                                                                LoopbackSidecar.target(
                                                                        "u0",
                                                                        one.address(),
                                                                        "Terminating"),
                                                                LoopbackSidecar.target(
                                                                        "u1",
                                                                        two.address(),
                                                                        "Ready"))));
                                    }
                                    return true;
                                });
                LoopbackSidecar host =
                        new LoopbackSidecar(
                                shortWatch,
                                null,
                                json ->
                                        json.replaceAll(
                                                "\"discovery\":\"127[^\"]*\"",
                                                "\"discovery\":\"" + old.address() + "\""),
                                LoopbackSidecar.targets(one, two))) {
            untilAsked(old, " HTTP");
            host.runner.follow(SidecarConfig.literalAddress(silent.address()));
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
                LoopbackSidecar host =
                        new LoopbackSidecar(
                                new SettingValues(
                                        TimeUnit.SECONDS.toNanos(10),
                                        1000,
                                        TimeUnit.SECONDS.toNanos(20)),
                                LoopbackSidecar.targets(one, two))) {
            String drains = LoopbackSidecar.target("u0", one.address(), "Terminating");
            String endless = LoopbackSidecar.list(9, false, drains) + " ".repeat(5 << 20);
            String[] bad = {
                LoopbackSidecar.list(9, false, drains, "null"),
                LoopbackSidecar.list(9, false, drains, "7"),
                LoopbackSidecar.list(
                        9, false, drains, drains.replace("\"uid\":\"u0\"", "\"uid\":\"\"")),
                LoopbackSidecar.list(
                        9, false, drains, drains.replace("\"az\":\"a\"", "\"az\":\"none\"")),
                LoopbackSidecar.list(9, false, drains, startedAt(-1, drains)),
                LoopbackSidecar.list(9, false, drains).replace("\"rev\":9", "\"rev\":1e400"),
                LoopbackSidecar.list(9, false, drains).replace("\"rev\":9", "\"rev\":\"9\""),
                LoopbackSidecar.list(9, false, drains).replace("\"all\":false", "\"all\":\"no\""),
                LoopbackSidecar.list(9, false, "[".repeat(100_000)),
                "{\"rev\":9,\"all\":false,\"targets\":{\"u0\":" + drains + "}}",
                "",
                "null",
                endless
            };
            long revision = 1;
            for (String each : bad) {
                watchSince(host, revision);
                host.queueList(each);
                watchSince(host, revision);
                revision++;
                host.queueList(
                        LoopbackSidecar.list(revision, true, LoopbackSidecar.targets(one, two)));
            }
            watchSince(host, revision);
            String[] many = new String[10_000];
            for (int i = 0; i < many.length; i++) {
                many[i] =
                        LoopbackSidecar.target(
                                "n" + i, "127.1." + i / 250 + "." + i % 250 + ":9", "Terminating");
            }
            many[0] = drains;
            many[1] = LoopbackSidecar.target("u1", two.address(), "Ready");
            host.queueList(LoopbackSidecar.list(revision + 1, true, many));
            watchSince(host, revision + 1);
            assertServed(host, two, one);
        }
    }
}
