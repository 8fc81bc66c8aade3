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

/** Discovery of upstream hosts from the registry, over loopback sockets. */
@Timeout(60)
class RegistryDiscoveryTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** Watches long enough not to expire on a slow machine. */
    private static final SettingValues LONG_WATCHES =
            new SettingValues(TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.SECONDS.toNanos(60));

    private static void assertServed(LoopbackSidecar sidecar, StubUpstream by, StubUpstream notBy)
            throws Exception {
        int before = notBy.requests.size();
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    200, TestClient.status(sidecar.exchange(TestClient.request("pay", "2.0"))));
        }
        assertTrue(by.requests.size() >= 6);
        assertEquals(before, notBy.requests.size());
    }

    /** Guards against idle connections kept open to an upstream host that was removed. */
    @Test
    void idleConnectionsAreClosedWhenTheirHostIsRemoved() throws Exception {
        StubUpstream.Script slow =
                (socket, request) -> {
                    // Long enough that the connection doesn't count as rarely used and is kept.
                    Thread.sleep(300);
                    return GOOD.serve(socket, request);
                };
        // The upstream's idle time-out is far longer than any wait in this test.
        SettingValues patient =
                new SettingValues(TimeUnit.SECONDS.toNanos(600), 1000, TimeUnit.SECONDS.toNanos(1));
        try (StubUpstream one = new StubUpstream(slow);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(patient, LoopbackSidecar.targets(one))) {
            watchSince(sidecar, 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        200, TestClient.status(sidecar.exchange(TestClient.request("pay", "2.0"))));
            }
            one.closed.clear();
            sidecar.queueList(LoopbackSidecar.list(2, true));
            one.awaitClosed();
        }
    }

    private static String watchSince(LoopbackSidecar sidecar, long revision) throws Exception {
        String call = sidecar.discovery.nextRequest();
        assertTrue(
                call.startsWith("GET /registry/instances?since=" + revision + "&timeout_ms="),
                call);
        return call;
    }

    @Test
    void deltasApplyToTheCachedListAndADrainingHostGetsNoNewRequests() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
            watchSince(sidecar, 1);
            sidecar.queueList(
                    LoopbackSidecar.list(
                            2, false, LoopbackSidecar.target("u0", one.address(), "Terminating")));
            watchSince(sidecar, 2);
            assertServed(sidecar, two, one);
            sidecar.queueList(
                    LoopbackSidecar.list(
                            3, false, LoopbackSidecar.target("u0", one.address(), "Gone")));
            watchSince(sidecar, 3);
            assertServed(sidecar, two, one);
        }
    }

    @Test
    void hostMissingFromASnapshotIsRemoved() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
            watchSince(sidecar, 1);
            sidecar.queueList(
                    LoopbackSidecar.list(
                            7, true, LoopbackSidecar.target("u1", two.address(), "Ready")));
            watchSince(sidecar, 7);
            assertServed(sidecar, two, one);
        }
    }

    @Test
    void hostMayMoveToAnotherAddress() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one))) {
            assertEquals(
                    200, TestClient.status(sidecar.exchange(TestClient.request("pay", "2.0"))));
            watchSince(sidecar, 1);
            sidecar.queueList(
                    LoopbackSidecar.list(
                            2, false, LoopbackSidecar.target("u0", two.address(), "Ready")));
            watchSince(sidecar, 2);
            assertServed(sidecar, two, one);
        }
    }

    /** Guards against a failed call that discards the last endpoint list. */
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
                LoopbackSidecar sidecar = new LoopbackSidecar(one)) {
            for (String failure : failures) {
                watchSince(sidecar, 1);
                sidecar.discoveryResponses.add(failure);
            }
            watchSince(sidecar, 1);
            assertServed(sidecar, one, two);
        }
    }

    /**
     * Guards against a snapshot of the new registry that is treated as a delta of the old one, and
     * against a switch that is treated as a failure.
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
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one))) {
            watchSince(sidecar, 1);
            sidecar.queueList(LoopbackSidecar.list(7, true, LoopbackSidecar.targets(one)));
            watchSince(sidecar, 7);
            sidecar.runner.switchRegistry(SidecarConfig.literalAddress(other.address()));
            assertTrue(
                    other.nextRequest().startsWith("GET /registry/instances HTTP"),
                    "the snapshot is fetched first");
            assertTrue(
                    other.nextRequest().startsWith("GET /registry/instances?since=1&"),
                    "then the list is watched");
            assertServed(sidecar, two, one);
            assertEquals(
                    0, sidecar.discovery.requests.size(), "the old registry is not polled anymore");
        }
    }

    /**
     * A lost watch looks like a watch without updates, but pending updates count as notified 2 s
     * after the watch's time-out. Guards against a lost update: the sidecar has to poll in parallel
     * before that, and in time for a drain.
     */
    @Test
    void overdueWatchIsPolledBeforeItCountsAsCaughtUp() throws Exception {
        SettingValues shortWatch =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(shortWatch, LoopbackSidecar.targets(one, two))) {
            watchSince(sidecar, 1);
            long calledAt = System.nanoTime();
            assertTrue(sidecar.discovery.nextRequest().startsWith("GET /registry/instances HTTP"));
            assertTrue(System.nanoTime() - calledAt < TimeUnit.MILLISECONDS.toNanos(2000));
            assertEquals(2, sidecar.discovery.accepted.size(), "the overdue watch stays open");
            sidecar.queueList(
                    LoopbackSidecar.list(
                            2, false, LoopbackSidecar.target("u0", one.address(), "Terminating")));
            sidecar.queueList(
                    LoopbackSidecar.list(
                            2,
                            true,
                            LoopbackSidecar.target("u0", one.address(), "Terminating"),
                            LoopbackSidecar.target("u1", two.address(), "Ready")));
            watchSince(sidecar, 2);
            assertServed(sidecar, two, one);
        }
    }

    /**
     * Guards against a new registry whose first snapshot is rejected as old, because a late update
     * of the old registry had a higher revision.
     */
    @Test
    void firstSnapshotOfTheNewDiscoveryIsUsedAfterALateUpdateOfTheOld() throws Exception {
        SettingValues shortWatch =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
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
            watchSince(sidecar, 1);
            assertTrue(sidecar.discovery.nextRequest().startsWith("GET /registry/instances HTTP"));
            sidecar.queueList(
                    LoopbackSidecar.list(
                            43, false, LoopbackSidecar.target("u0", one.address(), "Ready")));
            // Either call may receive the update. Then the overdue one is closed, or the next call
            // follows the other one.
            while (sidecar.discovery.closed.poll(10, TimeUnit.MILLISECONDS) == null
                    && sidecar.discovery.requests.poll(10, TimeUnit.MILLISECONDS) == null) {
                Thread.onSpinWait();
            }
            sidecar.runner.switchRegistry(SidecarConfig.literalAddress(other.address()));
            assertTrue(other.nextRequest().startsWith("GET /registry/instances HTTP"));
            String second = other.nextRequest();
            assertTrue(second.startsWith("GET /registry/instances?since=5&"), second);
        }
    }

    private static String pushed(String json) {
        return json.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replaceAll("\"askWithin\":[0-9]*,", "");
    }

    /** A local agent that returns its list at once, or on a change for a watch, or never. */
    private static final class Agent implements StubUpstream.Script {
        private String list;
        private long revision;
        private boolean silent;

        synchronized void setList(long version, String... targets) {
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

    private static void awaitCall(StubUpstream agent, String prefix) throws Exception {
        while (!agent.nextRequest().startsWith("GET /registry/instances" + prefix)) {
            Thread.onSpinWait();
        }
    }

    /**
     * Guards against a start that fails where lists are pushed: the local agent that has them is
     * watched. Also guards against a late reaction to an agent that recovers: it doesn't respond
     * while it is down and doesn't announce its return, but its list counts as notified from then
     * on. So the sidecar polls it for the whole list; here five times before it is back.
     */
    @Test
    void pushedListIsWatchedAtTheAgentAndASilentAgentIsPolled() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD)) {
            Agent agent = new Agent();
            agent.setList(1, LoopbackSidecar.targets(one, two));
            try (StubUpstream there = new StubUpstream(agent);
                    LoopbackSidecar sidecar =
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
                awaitCall(there, "?since=1&");
                agent.setList(2, LoopbackSidecar.target("u1", two.address(), "Ready"));
                awaitCall(there, "?since=2&");
                assertServed(sidecar, two, one);
                agent.silent(true);
                awaitCall(there, " HTTP");
                long silent = System.nanoTime();
                for (int i = 0; i < 5; i++) {
                    awaitCall(there, " HTTP");
                }
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent);
                assertTrue(took < 2500, "five calls took " + took + " ms");
                assertServed(sidecar, two, one);
                agent.setList(3, LoopbackSidecar.target("u0", one.address(), "Ready"));
                agent.silent(false);
                awaitCall(there, "?since=3&");
                assertServed(sidecar, one, two);
            }
        }
    }

    /**
     * Guards against a drain that is undone by a list with a lower revision than the last one. A
     * registry that has restarted counts from the beginning again; its list is accepted as the
     * response to a request for the whole list.
     */
    @Test
    void listWithALowerRevisionIsUsedOnlyIfTheWholeListIsFetched() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
            watchSince(sidecar, 1);
            sidecar.queueList(
                    LoopbackSidecar.list(
                            7,
                            true,
                            LoopbackSidecar.target("u0", one.address(), "Terminating"),
                            LoopbackSidecar.target("u1", two.address(), "Ready")));
            watchSince(sidecar, 7);
            sidecar.queueList(LoopbackSidecar.list(6, true, LoopbackSidecar.targets(one, two)));
            assertTrue(
                    sidecar.discovery.nextRequest().startsWith("GET /registry/instances HTTP"),
                    "the whole list is fetched");
            assertServed(sidecar, two, one);
            sidecar.queueList(
                    LoopbackSidecar.list(
                            3, true, LoopbackSidecar.target("u0", one.address(), "Ready")));
            watchSince(sidecar, 3);
            assertServed(sidecar, one, two);
        }
    }

    private static String startedAt(long millis, String target) {
        return target.replace("\"boot_ms\":0", "\"boot_ms\":" + millis);
    }

    /**
     * A delta may both remove and add the same host. Guards against a later delta that is lost as a
     * whole, here with a drain, because the host's old entry is missing when another host takes
     * over its address.
     */
    @Test
    void hostThatComesAndGoesWithinOneDeltaLosesNoUpdate() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD)) {
            String gone = LoopbackSidecar.target("u0", one.address(), "Gone");
            String again = startedAt(1000, LoopbackSidecar.target("u0", one.address(), "Ready"));
            for (String[] changes : new String[][] {{gone, again}, {again, gone}}) {
                try (LoopbackSidecar sidecar =
                        new LoopbackSidecar(LONG_WATCHES, LoopbackSidecar.targets(one, two))) {
                    watchSince(sidecar, 1);
                    sidecar.queueList(LoopbackSidecar.list(2, false, changes));
                    watchSince(sidecar, 2);
                    sidecar.queueList(
                            LoopbackSidecar.list(
                                    3,
                                    false,
                                    startedAt(
                                            2000,
                                            LoopbackSidecar.target("u2", one.address(), "Ready")),
                                    LoopbackSidecar.target("u1", two.address(), "Terminating")));
                    watchSince(sidecar, 3);
                    assertServed(sidecar, one, two);
                    assertEquals(
                            0,
                            sidecar.discovery.requests.size(),
                            "the deltas were not treated as failures");
                }
            }
        }
    }

    /**
     * Guards against a busy loop of calls to a registry that answers watches at once although there
     * is no update: the next call is delayed, but no longer than a watch lasts. Applies to a local
     * agent and to a registry.
     */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void registryThatAnswersWatchesAtOnceIsPolledWithDelay(String mode) throws Exception {
        BlockingQueue<Long> calledAt = new LinkedBlockingQueue<>();
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                StubUpstream immediate =
                        new StubUpstream(
                                (socket, request) -> {
                                    calledAt.add(System.nanoTime());
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
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(
                                LONG_WATCHES,
                                null,
                                json ->
                                        json.replaceAll(
                                                        "\"discovery\":\"127[^\"]*\"",
                                                        "\"discovery\":\""
                                                                + immediate.address()
                                                                + "\"")
                                                .replace(
                                                        "\"discovery\":\"subscribe\"",
                                                        "\"discovery\":\"" + mode + "\""),
                                LoopbackSidecar.targets(one, two))) {
            // The first call fetches the whole list; a watch follows at once.
            calledAt.take();
            long second = calledAt.take();
            long last = second;
            for (int i = 0; i < 10; i++) {
                last = calledAt.take();
            }
            long took = TimeUnit.NANOSECONDS.toMillis(last - second);
            assertTrue(took >= 500, "ten watches took " + took + " ms");
            boolean agent = mode.equals("automatic");
            assertTrue(
                    immediate
                            .nextRequest()
                            .contains(agent ? "/registry/instances HTTP/1.1" : "?since=1&"));
            assertTrue(immediate.nextRequest().contains("?since=2&"));
            assertServed(sidecar, two, one);
        }
    }

    /**
     * The old registry has a drain that it returns to the poll in parallel to an overdue watch,
     * while the sidecar is switched to a new registry that doesn't respond yet. Guards against a
     * drain that is lost because that poll is dropped.
     */
    @Test
    void pollOfTheOldDiscoveryIsUsedWhileTheNewOneIsSilent() throws Exception {
        SettingValues shortWatch =
                new SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.MILLISECONDS.toNanos(400));
        CountDownLatch switched = new CountDownLatch(1);
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                StubUpstream old =
                        new StubUpstream(
                                (socket, request) -> {
                                    if (!request.contains("since=")) {
                                        switched.await();
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
                LoopbackSidecar sidecar =
                        new LoopbackSidecar(
                                shortWatch,
                                null,
                                json ->
                                        json.replaceAll(
                                                "\"discovery\":\"127[^\"]*\"",
                                                "\"discovery\":\"" + old.address() + "\""),
                                LoopbackSidecar.targets(one, two))) {
            awaitCall(old, " HTTP");
            sidecar.runner.switchRegistry(SidecarConfig.literalAddress(silent.address()));
            awaitCall(silent, " HTTP");
            switched.countDown();
            // One call is closed by the switch, the other one after its response has been read.
            old.awaitClosed();
            old.closed.poll(2, TimeUnit.SECONDS);
            assertServed(sidecar, two, one);
        }
    }

    /**
     * Guards against a partly invalid list that is partly used, and against failures caused by a
     * list's size.
     */
    @Test
    void malformedListIsIgnoredAndALongListIsUsed() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD);
                LoopbackSidecar sidecar =
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
                watchSince(sidecar, revision);
                sidecar.queueList(each);
                watchSince(sidecar, revision);
                revision++;
                sidecar.queueList(
                        LoopbackSidecar.list(revision, true, LoopbackSidecar.targets(one, two)));
            }
            watchSince(sidecar, revision);
            String[] many = new String[10_000];
            for (int i = 0; i < many.length; i++) {
                many[i] =
                        LoopbackSidecar.target(
                                "n" + i, "127.1." + i / 250 + "." + i % 250 + ":9", "Terminating");
            }
            many[0] = drains;
            many[1] = LoopbackSidecar.target("u1", two.address(), "Ready");
            sidecar.queueList(LoopbackSidecar.list(revision + 1, true, many));
            watchSince(sidecar, revision + 1);
            assertServed(sidecar, two, one);
        }
    }
}
