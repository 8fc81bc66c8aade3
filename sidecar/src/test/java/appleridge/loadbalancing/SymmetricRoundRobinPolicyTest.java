package appleridge.loadbalancing;

import static appleridge.loadbalancing.Recorder.BY_ANY;
import static appleridge.loadbalancing.Recorder.BY_CELL;
import static appleridge.loadbalancing.Recorder.MS;
import static appleridge.loadbalancing.Recorder.ONCE;
import static appleridge.loadbalancing.Recorder.REPEATABLE;
import static appleridge.loadbalancing.Recorder.settings;
import static appleridge.loadbalancing.Recorder.upstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class SymmetricRoundRobinPolicyTest {

    private static Recorder host(RequestClass... classes) {
        return new Recorder(settings(classes), 7);
    }

    /** One turn of upstreams by requests that are answered at once, so that counts always tie. */
    private static List<Long> turn(Recorder host, int length, long firstId) {
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            host.request(firstId + i, 0);
            order.add(host.last().upstream());
            host.advance(MS);
            host.outcome(host.last(), Outcome.OK);
        }
        return order;
    }

    // ---------------------------------------------------------------- the mechanism

    @Test
    void orderIsCycledAndEvenWhileCountsTie() {
        Recorder host = host(REPEATABLE).withUpstreams(5);
        List<Long> first = turn(host, 5, 0);
        assertEquals(5, new HashSet<>(first).size());
        assertEquals(first, turn(host, 5, 5));
        assertEquals(first, turn(host, 5, 10));
    }

    @Test
    void everyPermutationIsAboutEquallyLikely() {
        Map<List<Long>, Integer> seen = new HashMap<>();
        for (int seed = 0; seed < 6_000; seed++) {
            Recorder host = new Recorder(settings(REPEATABLE), seed).withUpstreams(3);
            seen.merge(turn(host, 3, 0), 1, Integer::sum);
        }
        assertEquals(6, seen.size());
        // 1000 expected each; 150 is over five standard deviations.
        seen.values().forEach(count -> assertTrue(Math.abs(count - 1_000) < 150, seen.toString()));
    }

    @Test
    void lessBusyOfPointedAndNextIsChosen() {
        Recorder host = host(REPEATABLE).withUpstreams(3);
        List<Long> order = turn(host, 3, 0);
        host.request(10, 0);
        assertEquals(order.get(0), host.last().upstream());
        host.request(11, 0);
        host.request(12, 0);
        assertEquals(order.get(2), host.last().upstream());
        host.outcome(host.sendsOf(11).get(0), Outcome.OK);
        host.request(13, 0);
        assertEquals(order.get(1), host.last().upstream(), "pointed holds one, the next none");
    }

    /**
     * Guards against servers that are closed to all by a few clients that read or send slowly:
     * forty long bodies at two servers leave their room free, are no lateness, and nothing is tried
     * again for them.
     */
    @Test
    void whatHasBegunToGoOutTakesNoRoomAndHasNoOtherEnd() {
        for (long elapsed : new long[] {20 * MS, -1}) {
            Recorder host = host(REPEATABLE).withUpstreams(2);
            for (int i = 0; i < 40; i++) {
                host.request(i, 0);
                assertEquals(1, host.sendsOf(i).size(), "there is room for " + i);
                host.logic.onResponseStarted(
                        host.now, i, 0, host.sendsOf(i).get(0).upstream(), elapsed);
                host.advance(5 * MS);
            }
            host.advance(60_000 * MS);
            assertEquals(List.of(), host.answers, "their deadlines no longer count");
            for (int i = 0; i < 40; i++) {
                host.outcome(host.sendsOf(i).get(0), i % 2 == 0 ? Outcome.OK : Outcome.RESET);
                assertEquals(1, host.sendsOf(i).size());
            }
            host.request(100, 0);
            assertEquals(1, host.sendsOf(100).size(), "nothing is left of them");
            assertEquals(List.of(), host.answers);
        }
    }

    @Test
    void redrawnOnlyWhenTheReadySetChanges() {
        Recorder host = host(REPEATABLE).withUpstreams(6);
        List<Long> before = turn(host, 6, 0);
        host.logic.onEndpointUpdate(host.now, UpdateKind.DELTA, List.of(upstream(3)));
        assertEquals(before, turn(host, 6, 20));
        host.logic.onEndpointUpdate(
                host.now, UpdateKind.DELTA, List.of(upstream(3, HostState.GONE, 0)));
        List<Long> after = turn(host, 5, 40);
        assertFalse(after.contains(3L));
        before.remove(3L);
        assertNotEquals(before, after, "a fresh draw; this seed gives another order");
    }

    @Test
    void withNothingReadyTheRequestIsRefusedAtOnce() {
        Recorder host = host(ONCE).withUpstreams(0);
        host.request(1, 0);
        assertEquals(List.of("refuse 1"), host.answers);
    }

    @Test
    void sameEventsGiveSameActions() {
        List<List<String>> logs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Recorder host = host(REPEATABLE, ONCE).withUpstreams(6);
            host.serve(0, 60, 0, 3 * MS);
            for (int i = 100; i < 160; i++) {
                host.request(i, i % 2);
                host.advance(2 * MS);
            }
            host.advance(2_000 * MS);
            logs.add(host.log);
        }
        assertEquals(logs.get(0), logs.get(1));
    }

    // ---------------------------------------------------------------- rule 1

    @Test
    void aTimerThatRingsEarlyDoesNotLoseRequests() {
        Recorder host = host(ONCE).withUpstreams(1);
        host.request(1, 0);
        Recorder.Timer timer = host.timers.poll();
        host.now = timer.at() - 30;
        host.logic.onTimer(host.now, timer.token());
        host.advance(2_000 * MS);
        assertEquals(List.of("fail 1"), host.answers);
    }

    @Test
    void heldRequestsAreAnsweredBeforeTheirDeadline() {
        Recorder host = host(ONCE).withUpstreams(1);
        host.burst(0, 50, 0);
        host.advance(1_000 * MS);
        assertEquals(50, new HashSet<>(host.answers).size());
        assertEquals(50, host.answers.size());
    }

    @Test
    void noTimeLeftIsAnsweredAtOnce() {
        Recorder host = host(ONCE).withUpstreams(3);
        host.request(1, 0, 0);
        assertEquals(List.of("refuse 1"), host.answers);
        assertTrue(host.sends.isEmpty());
    }

    @Test
    void timeOutAtTheDeadlineIsFailedOnce() {
        Recorder host = host(ONCE).withUpstreams(3);
        host.request(1, 0);
        Recorder.Sent sent = host.last();
        host.now += 1_000 * MS;
        host.outcome(sent, Outcome.TIMEOUT);
        host.advance(100 * MS);
        assertEquals(List.of("fail 1"), host.answers);
    }

    // ---------------------------------------------------------------- rule 2

    @Test
    void onceIsResentOnlyAfterProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Recorder host = host(ONCE).withUpstreams(4);
            host.request(1, 0);
            host.outcome(host.last(), outcome);
            assertEquals(
                    outcome.provesNotExecuted() ? 2 : 1, host.sends.size(), outcome.toString());
            if (!outcome.provesNotExecuted()) {
                assertEquals(List.of("fail 1"), host.answers);
            }
        }
    }

    @Test
    void keyedStaysInItsCellAndWithinItsTime() {
        Recorder host = host(BY_CELL).withUpstreams(9);
        host.request(1, 0);
        long cell = host.last().upstream() / 3;
        host.outcome(host.last(), Outcome.ERROR);
        assertEquals(2, host.sends.size());
        assertEquals(cell, host.last().upstream() / 3);
        host.now += 699 * MS;
        host.outcome(host.last(), Outcome.ERROR);
        assertEquals(2, host.sends.size(), "the key is about to be forgotten");
        assertEquals(List.of("fail 1"), host.answers);
    }

    @Test
    void keyedWithScopeAllMayBeRefusedAfterDoubt() {
        Recorder host = host(BY_ANY).withUpstreams(1);
        host.request(1, 0);
        host.outcome(host.last(), Outcome.RESET);
        host.advance(1_000 * MS);
        assertEquals(List.of("refuse 1"), host.answers);
    }

    @Test
    void tryLimitIsKept() {
        Recorder host = host(REPEATABLE).withUpstreams(9);
        host.request(1, 0);
        for (int i = 0; i < 5 && host.answers.isEmpty(); i++) {
            host.outcome(host.last(), Outcome.REJECTED);
        }
        assertEquals(3, host.sends.size());
        assertEquals(List.of("refuse 1"), host.answers);
    }

    // ---------------------------------------------------------------- rule 3

    @Test
    void drainingAndMissingUpstreamsGetNothingNew() {
        Recorder host = host(REPEATABLE).withUpstreams(4);
        host.logic.onEndpointUpdate(
                host.now, UpdateKind.DELTA, List.of(upstream(2, HostState.DRAINING, 0)));
        assertFalse(turn(host, 12, 0).contains(2L));
        host.logic.onEndpointUpdate(
                host.now, UpdateKind.SNAPSHOT, List.of(upstream(0), upstream(1)));
        assertEquals(Set.of(0L, 1L), new HashSet<>(turn(host, 12, 20)));
    }

    @Test
    void failedSubscriptionKeepsTheListAndBacksOff() {
        Recorder host =
                new Recorder(settings(DiscoveryMode.SUBSCRIBED, REPEATABLE), 7).withUpstreams(3);
        assertEquals(1, host.subscriptions);
        for (int i = 0; i < 8; i++) {
            host.logic.onEndpointUpdate(host.now, UpdateKind.FAILURE, List.of());
            host.advance(5_000 * MS);
            assertEquals(i + 2, host.subscriptions);
        }
        host.request(1, 0);
        assertEquals(1, host.sends.size());
        host.logic.onEndpointUpdate(host.now, UpdateKind.FAILURE, List.of());
        host.advance(2_000 * MS);
        assertEquals(9, host.subscriptions, "after eight failures it waits");
    }

    @Test
    void unansweredSubscriptionIsRepeated() {
        Recorder host =
                new Recorder(settings(DiscoveryMode.SUBSCRIBED, REPEATABLE), 7).withUpstreams(3);
        host.advance(6_000 * MS);
        assertEquals(2, host.subscriptions);
    }

    // ---------------------------------------------------------------- rule 4

    @Test
    void coldUpstreamGetsNoMoreThanItsShareOfAWarmOne() {
        Recorder host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 2_000, 0, 5 * MS);
        host.logic.onEndpointUpdate(
                host.now, UpdateKind.DELTA, List.of(upstream(9, HostState.READY, host.now)));
        int before = host.sends.size();
        host.serve(5_000, 5_300, 0, 5 * MS);
        long cold = host.sentTo(9, before);
        // 1.5 s at 200 a second over 4 warm servers: 75 each; the cold share is 0.3 and has hardly
        // grown.
        assertTrue(cold > 5 && cold < 40, "cold upstream got " + cold);
    }

    @Test
    void manyQuietSidecarsDoNotRushAColdUpstreamTogether() {
        int sent = 0;
        long cold = 0;
        for (int sidecar = 0; sidecar < 600; sidecar++) {
            Recorder host = ofMany(sidecar, 600).withUpstreams(10);
            for (int id = 0; id < 20; id++) {
                host.serve(id, id + 1, 0, 20 * MS);
                host.advance(480 * MS);
            }
            host.logic.onEndpointUpdate(
                    host.now, UpdateKind.DELTA, List.of(upstream(99, HostState.READY, host.now)));
            int before = host.sends.size();
            for (int id = 100; id < 103; id++) {
                host.serve(id, id + 1, 0, 20 * MS);
                host.advance(480 * MS);
            }
            sent += host.sends.size() - before;
            cold += host.sentTo(99, before);
        }
        // 1800 requests in 1.5 s over 11 servers: 164 each; the cold share grows from 0.3 to 0.43.
        assertEquals(1_800, sent);
        assertTrue(cold > 5 && cold < 70, "cold upstream got " + cold);
    }

    @Test
    void turnsFollowTheRegisteredSize() {
        PolicySettings base = settings(REPEATABLE);
        Recorder host =
                new Recorder(
                        new PolicySettings(
                                0,
                                3,
                                0,
                                5 * MS,
                                DiscoveryMode.PUSHED,
                                WeightKind.ROUGH,
                                base.classes(),
                                List.of(),
                                base.capabilities(),
                                base.safetyLimits(),
                                List.of(),
                                false,
                                1),
                        7);
        host.logic.onEndpointUpdate(
                host.now,
                UpdateKind.CACHED_SNAPSHOT,
                List.of(
                        new UpstreamHost(0, 0, 0, 0, HostState.READY, 4, 0),
                        new UpstreamHost(1, 0, 0, 0, HostState.READY, 2, 0),
                        new UpstreamHost(2, 0, 0, 0, HostState.READY, 2, 0)));
        host.serve(0, 400, 0, 20 * MS);
        assertEquals(200, host.sentTo(0, 0), 2);
        assertEquals(100, host.sentTo(1, 0), 2);
    }

    @Test
    void absurdWeightsDoNoHarm() {
        for (float weight : new float[] {0, -1, Float.NaN, Float.POSITIVE_INFINITY}) {
            PolicySettings base = settings(REPEATABLE);
            Recorder host =
                    new Recorder(
                            new PolicySettings(
                                    0,
                                    3,
                                    0,
                                    5 * MS,
                                    DiscoveryMode.PUSHED,
                                    WeightKind.NOMINAL,
                                    base.classes(),
                                    List.of(),
                                    base.capabilities(),
                                    base.safetyLimits(),
                                    List.of(),
                                    false,
                                    1),
                            7);
            host.logic.onEndpointUpdate(
                    host.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(
                            new UpstreamHost(0, 0, 0, 0, HostState.READY, weight, host.now - MS),
                            new UpstreamHost(1, 0, 0, 0, HostState.READY, 1, 0)));
            host.serve(0, 100, 0, 20 * MS);
            assertTrue(host.sentTo(1, 0) > 50, "weight " + weight);
            assertEquals(100, host.sends.size());
        }
    }

    // ---------------------------------------------------------------- health

    @Test
    void silentUpstreamLosesItsTurns() {
        Recorder host = host(ONCE, REPEATABLE).withUpstreams(4);
        host.serve(0, 40, 0, 20 * MS);
        int before = host.sends.size();
        for (int i = 100; i < 160; i++) {
            host.request(i, 0);
            Recorder.Sent sent = host.last();
            host.advance(20 * MS);
            if (sent.upstream() != 2) {
                host.outcome(sent, Outcome.OK);
            }
        }
        long lost = host.sentTo(2, before);
        assertTrue(lost <= 4, "silent upstream got " + lost + " of 60");
    }

    @Test
    void fastErrorsDoNotWinTurns() {
        Recorder host = host(ONCE, REPEATABLE).withUpstreams(4);
        host.serve(0, 40, 0, 20 * MS);
        int before = host.sends.size();
        for (int i = 100; i < 200; i++) {
            host.request(i, 0);
            Recorder.Sent sent = host.last();
            host.advance(sent.upstream() == 2 ? MS : 20 * MS);
            host.outcome(sent, sent.upstream() == 2 ? Outcome.ERROR : Outcome.OK);
        }
        long lost = host.sentTo(2, before);
        assertTrue(lost <= 10, "failing upstream got " + lost + " of 100");
    }

    @Test
    void commonSlownessDoesNotEmptyThePattern() {
        Recorder host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 200, 0, 20 * MS);
        host.serve(1_000, 1_100, 0, 80 * MS);
        int before = host.sends.size();
        host.serve(2_000, 2_040, 0, 80 * MS);
        Map<Long, Integer> turns = new HashMap<>();
        host.sends
                .subList(before, before + 40)
                .forEach(s -> turns.merge(s.upstream(), 1, Integer::sum));
        turns.values().forEach(count -> assertEquals(10, count));
        assertTrue(host.answers.isEmpty(), "nothing refused: " + host.answers);
    }

    @Test
    void allUnreachableIsStillTried() {
        Recorder host = host(REPEATABLE).withUpstreams(2);
        for (int i = 0; i < 4; i++) {
            host.request(i, 0);
            host.outcome(host.last(), Outcome.CONNECT_FAILED);
        }
        int before = host.sends.size();
        host.request(10, 0);
        assertTrue(host.sends.size() > before, "with every gate shut the pattern decides alone");
    }

    @Test
    void silenceBringsNoSecondCopy() {
        Recorder host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 80, 0, 20 * MS);
        host.request(100, 0);
        host.advance(300 * MS);
        assertEquals(1, host.sendsOf(100).size(), "one attempt at a time");
    }

    /** A service of many sidecars that may tell each other. */
    private static Recorder peered(int replicas) {
        PolicySettings base = settings(ONCE);
        return new Recorder(
                        new PolicySettings(
                                0,
                                replicas,
                                0,
                                5 * MS,
                                DiscoveryMode.PUSHED,
                                WeightKind.SILENT,
                                base.classes(),
                                List.of(),
                                new Capabilities(
                                        true, false, true, true, true, 3, 1_000 * MS, 250 * MS),
                                base.safetyLimits(),
                                List.of(),
                                false,
                                1),
                        7)
                .withUpstreams(5);
    }

    @Test
    void whatAPeerNotesThinsAServersTurnsAndFades() {
        Recorder one = peered(300);
        one.serve(0, 20, 0, 20 * MS);
        one.request(100, 0);
        one.advance(900 * MS);
        assertEquals(
                1,
                one.told.size(),
                "an attempt out for long is told once; the budget allows no more");
        Recorder other = peered(300);
        for (int i = 0; i < 12; i++) {
            other.logic.onGossip(other.now, 3, one.told.get(0));
        }
        other.serve(0, 100, 0, 5 * MS);
        long suspect = other.sentTo(one.sendsOf(100).get(0).upstream(), 0);
        assertTrue(suspect <= 10, "noted server got " + suspect + " of 100");
        assertTrue(other.told.isEmpty(), "hearsay is not passed on");
        other.advance(10_000 * MS);
        int before = other.sends.size();
        other.serve(200, 300, 0, 5 * MS);
        assertTrue(
                other.sentTo(one.sendsOf(100).get(0).upstream(), before) >= 18,
                "an even part again");
    }

    @Test
    void foreignNotesDoNoHarm() {
        Recorder host = peered(3);
        Recorder control = peered(3);
        for (byte[] note : new byte[][] {{}, {1, 2, 3}, new byte[256], {0, 0, 0, 0, 0, 77, 0, 1}}) {
            host.logic.onGossip(host.now, 2, note);
        }
        host.serve(0, 50, 0, 20 * MS);
        control.serve(0, 50, 0, 20 * MS);
        assertEquals(control.log, host.log);
        for (int i = 0; i < 5; i++) {
            for (int repeat = 0; repeat < 1_000; repeat++) {
                host.logic.onGossip(host.now, 2, new byte[] {0, 0, 0, 0, 0, (byte) i, -1, -1});
            }
        }
        int before = host.sends.size();
        host.serve(100, 150, 0, 20 * MS);
        assertEquals(
                50,
                host.sends.size() - before,
                "notes of every server leave the pattern as it was");
        assertEquals(10, host.sentTo(2, before));
    }

    /** One of many sidecars, each with a rank and a seed of its own. */
    private static Recorder ofMany(int rank, int replicas) {
        return ofMany(rank, replicas, rank);
    }

    private static Recorder ofMany(int rank, int replicas, long seed) {
        PolicySettings base = settings(REPEATABLE);
        return new Recorder(
                new PolicySettings(
                        rank,
                        replicas,
                        0,
                        5 * MS,
                        DiscoveryMode.PUSHED,
                        base.weightKind(),
                        base.classes(),
                        List.of(),
                        base.capabilities(),
                        base.safetyLimits(),
                        List.of(),
                        false,
                        1),
                seed);
    }

    private static Set<Long> asked(Recorder host, int from) {
        return host.sends.subList(from, host.sends.size()).stream()
                .map(Recorder.Sent::upstream)
                .collect(Collectors.toSet());
    }

    private static long closed(Recorder host) {
        return host.log.stream().filter(line -> line.startsWith("close")).count();
    }

    @Test
    void aTrickleGoesToFewServersAndKeepsItsConnections() {
        Recorder host = ofMany(7, 95).withUpstreams(60);
        for (int id = 0; id < 200; id++) {
            host.serve(id, id + 1, 0, 20 * MS);
            host.advance(80 * MS);
        }
        assertEquals(
                6, asked(host, 0).size(), "each request would pay for a connection of its own");
        assertEquals(0, closed(host));
    }

    @Test
    void whatManySidecarsAskCoversTheFleetEvenly() {
        int[] askedBy = new int[60];
        for (int rank = 0; rank < 95; rank++) {
            Recorder host = ofMany(rank, 95).withUpstreams(60);
            host.serve(0, 30, 0, 20 * MS);
            asked(host, 0).forEach(id -> askedBy[id.intValue()]++);
        }
        // 95 times 6 over 60 are 9.5 each; parts drawn by chance would range from 3 to 18.
        assertTrue(Arrays.stream(askedBy).min().orElseThrow() >= 8, Arrays.toString(askedBy));
        assertTrue(Arrays.stream(askedBy).max().orElseThrow() <= 11, Arrays.toString(askedBy));
    }

    /** Guards against a whole fleet on six servers where the platform tells no ranks. */
    @Test
    void withoutRanksSidecarsAskServersDrawnByChance() {
        int[] askedBy = new int[60];
        for (int seed = 100; seed < 195; seed++) {
            Recorder host = ofMany(-1, 95, seed).withUpstreams(60);
            host.serve(0, 30, 0, 20 * MS);
            asked(host, 0).forEach(id -> askedBy[id.intValue()]++);
        }
        assertTrue(Arrays.stream(askedBy).max().orElseThrow() < 30, Arrays.toString(askedBy));
    }

    /** Guards against a fleet that starts anew as a whole, of which only what lies near is used. */
    @Test
    void aLargeFleetThatIsColdAsAWholeIsUsedAsAWhole() {
        Recorder host = ofMany(1, 3).withUpstreams(60);
        int seen = 0;
        int refusedBefore = 0;
        for (int tick = 0; tick < 4_000; tick++) {
            host.advance(6 * MS);
            if (tick == 2_700) {
                List<UpstreamHost> fresh = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    fresh.add(upstream(i, HostState.READY, host.now));
                }
                host.logic.onEndpointUpdate(host.now, UpdateKind.DELTA, fresh);
                refusedBefore = host.answers.size();
            }
            for (;
                    seen < host.sends.size() && host.sends.get(seen).at() <= host.now - 50 * MS;
                    seen++) {
                host.outcome(host.sends.get(seen), Outcome.OK);
            }
            host.request(tick, 0);
        }
        int refused = host.answers.size() - refusedBefore;
        assertTrue(refused < 520, "refused " + refused + " of 1300");
    }

    /**
     * Guards against notes of the whole fleet that are taken for notes of the few that lie near.
     */
    @Test
    void whatPeersNoteOfTheWholeFleetStillTellsOfOneThatLiesNear() {
        PolicySettings base = settings(REPEATABLE);
        Recorder host =
                new Recorder(
                                new PolicySettings(
                                        7,
                                        95,
                                        0,
                                        5 * MS,
                                        DiscoveryMode.PUSHED,
                                        base.weightKind(),
                                        base.classes(),
                                        List.of(),
                                        new Capabilities(
                                                true,
                                                false,
                                                true,
                                                true,
                                                true,
                                                3,
                                                1_000 * MS,
                                                250 * MS),
                                        base.safetyLimits(),
                                        List.of(),
                                        false,
                                        1),
                                7)
                        .withUpstreams(60);
        host.serve(0, 60, 0, 20 * MS);
        long slow = asked(host, 0).iterator().next();
        for (int id = 0; id < 60; id++) {
            for (int i = 0; i < (id == slow ? 20 : 3); i++) {
                byte[] note = ByteBuffer.allocate(8).putLong((long) id << 16 | 1).array();
                host.logic.onGossip(host.now, 3, note);
            }
        }
        int before = host.sends.size();
        host.serve(100, 200, 0, 5 * MS);
        assertTrue(
                host.sentTo(slow, before) <= 8, "the noted one got " + host.sentTo(slow, before));
    }

    @Test
    void aLongAnswerFromAFarServerLeavesNoConnection() {
        Recorder host = ofMany(7, 95).withUpstreams(60);
        host.serve(0, 60, 0, 20 * MS);
        Set<Long> near = asked(host, 0);
        int id = 100;
        host.request(id, 0);
        while (near.contains(host.last().upstream())) {
            host.outcome(host.last(), Outcome.CONNECT_FAILED);
            if (host.last().request() != id
                    || near.contains(host.last().upstream()) && host.sendsOf(id).size() == 3) {
                host.request(++id, 0);
            }
        }
        Recorder.Sent far = host.last();
        host.logic.onResponseStarted(
                host.now, far.request(), far.attempt(), far.upstream(), 20 * MS);
        host.advance(200 * MS);
        host.outcome(far, Outcome.OK);
        assertTrue(host.log.contains("close " + far.upstream()), "its connection stays idle");
    }

    @Test
    void aBusySidecarAsksAllAndGivesUpWhatItNoLongerNeeds() {
        Recorder host = ofMany(7, 95).withUpstreams(20);
        for (int id = 0; id < 2_000; id++) {
            host.request(id, 0);
            if (id >= 40) {
                host.outcome(host.sends.get(id - 40), Outcome.OK);
            }
            host.advance(2 * MS);
        }
        assertEquals(20, asked(host, 1_000).size());
        long early = closed(host);
        for (int id = 1_960; id < 2_000; id++) {
            host.outcome(host.sends.get(id), Outcome.OK);
        }
        int quiet = host.sends.size();
        for (int id = 3_000; id < 3_200; id++) {
            host.serve(id, id + 1, 0, 20 * MS);
            host.advance(480 * MS);
        }
        int kept = asked(host, quiet + 150).size();
        assertTrue(kept <= 12, "it falls by halves: " + kept);
        assertEquals(20 - kept, closed(host) - early, "their connections would stand idle");
    }

    @Test
    void whereNoneThatLiesNearCanBeReachedTheOthersAreAsked() {
        Recorder host = ofMany(7, 95).withUpstreams(60);
        host.serve(0, 30, 0, 20 * MS);
        Set<Long> near = asked(host, 0);
        int served = 0;
        for (int id = 100; id < 200; id++) {
            host.request(id, 0);
            for (int i = 0;
                    i < 3 && !host.sendsOf(id).isEmpty() && host.last().request() == id;
                    i++) {
                boolean down = near.contains(host.last().upstream());
                served += down ? 0 : 1;
                host.advance(10 * MS);
                host.outcome(host.last(), down ? Outcome.CONNECT_FAILED : Outcome.OK);
                if (!down) {
                    break;
                }
            }
        }
        assertTrue(served > 90, "served " + served);
        assertTrue(closed(host) > 80, "a connection beyond what lies near is not worth its place");
    }

    @Test
    void shutOutAndReturnAreLoggedOnceEach() {
        Recorder host = host(REPEATABLE).withUpstreams(2);
        host.serve(0, 10, 0, 20 * MS);
        for (int i = 100; i < 400; i++) {
            host.request(i, 0);
            boolean down = host.last().upstream() == 1 && i < 300;
            host.advance(20 * MS);
            host.outcome(host.last(), down ? Outcome.CONNECT_FAILED : Outcome.OK);
            if (down && host.last().request() == i && host.sendsOf(i).size() > 1) {
                host.outcome(host.last(), Outcome.OK);
            }
        }
        host.advance(5_000 * MS);
        host.serve(500, 520, 0, 20 * MS);
        List<String> logged = host.log.stream().filter(l -> l.startsWith("log ")).toList();
        assertEquals(
                List.of("log upstream 1 shut out: no connection", "log upstream 1 answers again"),
                logged);
    }

    /**
     * Sites are the ids' halves: a failed connect takes its time-out, and all of one site's fail.
     */
    private static int connectsInto(Recorder host, int site, int requests) {
        int before = host.sends.size();
        for (int i = 0; i < requests; i++) {
            host.request(1_000 + i, 0);
            while (host.sendsOf(1_000 + i).stream().anyMatch(s -> s == host.last())
                    && host.last().upstream() % 2 == site) {
                Recorder.Sent cut = host.last();
                host.advance(100 * MS);
                host.outcome(cut, Outcome.CONNECT_FAILED);
                if (host.last() == cut) {
                    break;
                }
            }
            host.advance(20 * MS);
            if (host.last().upstream() % 2 != site) {
                host.outcome(host.last(), Outcome.OK);
            }
        }
        return (int) host.sends.stream().skip(before).filter(s -> s.upstream() % 2 == site).count();
    }

    /** Guards against a hundred sidecars that each find out of each server of a lost site alone. */
    @Test
    void aSiteThatCantBeReachedIsTriedAsOneServerIs() {
        Recorder host = host(REPEATABLE).withUpstreams(40);
        host.serve(0, 80, 0, 20 * MS);
        int tried = connectsInto(host, 1, 100);
        assertTrue(tried <= 4, "twenty servers, in some three seconds: " + tried);
        assertTrue(host.log.contains("log site 1 shut out: no connection"));
        host.advance(10_000 * MS);
        int before = host.sends.size();
        host.serve(5_000, 5_120, 0, 20 * MS);
        assertTrue(host.log.contains("log site 1 answers again"));
        long back = host.sends.stream().skip(before).filter(s -> s.upstream() % 2 == 1).count();
        assertTrue(back >= 50, "its servers have their turns again: " + back);
    }

    @Test
    void oneServerThatCantBeReachedSaysNothingOfItsSite() {
        Recorder host = host(REPEATABLE).withUpstreams(8);
        for (int i = 0; i < 200; i++) {
            host.request(i, 0);
            boolean down = host.last().upstream() == 1;
            host.advance(20 * MS);
            host.outcome(host.last(), down ? Outcome.CONNECT_FAILED : Outcome.OK);
            if (down) {
                host.outcome(host.last(), Outcome.OK);
            }
        }
        assertTrue(host.log.contains("log upstream 1 shut out: no connection"));
        assertFalse(host.log.contains("log site 1 shut out: no connection"));
        assertTrue(host.sentTo(3, 0) > 15 && host.sentTo(5, 0) > 15);
    }

    /** Where there is one site alone, to shut it out would take every other gate away as well. */
    @Test
    void theOnlySiteIsNeverShutOut() {
        Recorder host = host(REPEATABLE);
        List<UpstreamHost> list = new ArrayList<>();
        for (int id = 0; id < 16; id += 2) {
            list.add(upstream(id));
        }
        host.logic.onEndpointUpdate(host.now, UpdateKind.CACHED_SNAPSHOT, list);
        for (int i = 0; i < 40; i++) {
            host.request(i, 0);
            Recorder.Sent sent = host.last();
            host.advance(20 * MS);
            host.outcome(sent, sent.upstream() < 8 ? Outcome.CONNECT_FAILED : Outcome.OK);
        }
        assertFalse(host.log.contains("log site 0 shut out: no connection"));
    }

    @Test
    void anEmptyOrNeverArrivingListAnswersEveryRequest() {
        Recorder host = new Recorder(settings(DiscoveryMode.SUBSCRIBED, ONCE, REPEATABLE), 7);
        host.request(1, 0);
        host.logic.onEndpointUpdate(host.now, UpdateKind.CACHED_SNAPSHOT, List.of());
        host.request(2, 1);
        host.logic.onEndpointUpdate(host.now, UpdateKind.FAILURE, List.of());
        host.request(3, 0);
        assertEquals(List.of("refuse 1", "refuse 2", "refuse 3"), host.answers);
    }

    /**
     * Guards against a process that is new before a server that is cold: its first answer was all
     * that it knew of what a server can do, and everything else was refused for seconds.
     */
    @Test
    void aNewProcessGoesOnSendingToALoneColdServer() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            Recorder host = ofMany(0, 1, seed);
            host.logic.onEndpointUpdate(
                    host.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(upstream(1, HostState.READY, host.now)));
            host.advance(300 * MS);
            host.burst(0, 6, 0);
            answerAtOnce(host, 1_000 * MS);
            int before = host.sends.size();
            host.request(6, 0);
            answerAtOnce(host, 1_000 * MS);
            sent += host.sends.size() - before;
        }
        assertTrue(sent >= 70, "the seventh request was sent in " + sent + " of 100");
    }

    /** Lets time pass; what is sent meanwhile is answered after 2 ms. */
    private static void answerAtOnce(Recorder host, long time) {
        Set<Recorder.Sent> answered = new HashSet<>();
        for (long end = host.now + time; host.now < end; ) {
            host.advance(2 * MS);
            host.sends.stream()
                    .filter(sent -> sent.at() >= end - time && answered.add(sent))
                    .toList()
                    .forEach(sent -> host.outcome(sent, Outcome.OK));
        }
    }

    /** Guards against what a new process may send beyond the credit, which adds up over a fleet. */
    @Test
    void whatAFleetOfNewProcessesSendsToAColdServerStaysWithinTheConstantOfItsBudget() {
        long cold = 0;
        for (int sidecar = 0; sidecar < 100; sidecar++) {
            Recorder host = ofMany(sidecar, 100);
            host.logic.onEndpointUpdate(
                    host.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(upstream(1, HostState.READY, host.now)));
            int before = host.sends.size();
            for (int id = 0; id < 10; id++) {
                host.request(id, 0);
                answerAtOnce(host, 150 * MS);
            }
            // What goes by the credit of a process that has served nothing is one request at most.
            cold += Math.max(0, host.sends.size() - before - 1);
        }
        assertTrue(cold <= 3, "beyond the credit: " + cold);
    }

    @Test
    void aFleetThatIsColdAsAWholeIsUsed() {
        Recorder host = host(REPEATABLE);
        List<UpstreamHost> cold = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            cold.add(upstream(i, HostState.READY, host.now - 100 * MS));
        }
        host.logic.onEndpointUpdate(host.now, UpdateKind.CACHED_SNAPSHOT, cold);
        for (int id = 0; id < 20; id++) {
            host.request(id, 0);
            host.advance(100 * MS);
            List.copyOf(host.sends).stream()
                    .filter(s -> s.at() >= host.now - 100 * MS)
                    .forEach(s -> host.outcome(s, Outcome.OK));
            host.advance(300 * MS);
        }
        assertTrue(host.sends.size() >= 10, "sent " + host.sends.size() + " of 20");
    }

    // ---------------------------------------------------------------- admission

    @Test
    void heldWorkIsSentNewestFirst() {
        Recorder host = host(ONCE).withUpstreams(1);
        host.burst(0, 6, 0);
        int out = host.sends.size();
        assertTrue(out < 6, "some are held");
        host.advance(10 * MS);
        host.outcome(host.sends.get(0), Outcome.OK);
        assertEquals(5, host.sends.get(out).request());
    }

    /**
     * Guards against a tenth of the attempts breaking, and no further ones left for a burst of
     * them.
     */
    @Test
    void aFifthMoreAttemptsAreAllowedAndNoMore() {
        Recorder host = host(REPEATABLE).withUpstreams(4);
        host.serve(0, 20, 0, MS);
        int again = 0;
        for (int id = 100; id < 110; id++) {
            host.request(id, 0);
            host.outcome(host.last(), Outcome.RESET);
            if (host.sendsOf(id).size() == 2) {
                again++;
                host.outcome(host.last(), Outcome.OK);
            }
        }
        assertTrue(again >= 6 && again <= 8, "one, and a fifth of thirty: " + again);
    }

    /** Guards against held requests that have ended and pile up below those that wait. */
    @Test
    void heldRequestsThatHaveEndedAreForgotten() {
        Recorder host = host(REPEATABLE).withUpstreams(1);
        for (int i = 0; i < 400; i++) {
            host.request(i, 0);
            host.advance(10 * MS);
            if (i % 2 == 0) {
                host.logic.onClientDisconnected(host.now, i);
            }
            assertTrue(
                    host.logic.queuedRequests() <= 100,
                    "more than can wait at once: " + host.logic.queuedRequests());
        }
        host.advance(1_000 * MS);
        assertEquals(0, host.logic.queuedRequests());
    }

    /**
     * Guards against records of upstreams that have gone, as fleets are replaced for as long as it
     * runs.
     */
    @Test
    void upstreamsThatHaveGoneAreForgottenOnceNothingIsInFlight() {
        Recorder host = host(REPEATABLE).withUpstreams(2);
        host.request(1, 0);
        for (int id = 2; id < 100; id++) {
            host.logic.onEndpointUpdate(
                    host.now, UpdateKind.SNAPSHOT, List.of(upstream(id), upstream(id + 1)));
        }
        assertTrue(
                host.logic.knownHosts() <= 3,
                "the ready ones and the one that still has a request");
        host.outcome(host.last(), Outcome.OK);
        host.logic.onEndpointUpdate(
                host.now, UpdateKind.DELTA, List.of(upstream(100, HostState.GONE, 0)));
        assertEquals(1, host.logic.knownHosts());
    }

    /**
     * Guards against an upstream shut for a whole deadline by work given up that it has long since
     * done.
     */
    @Test
    void givenUpWorkShutsAnUpstreamForOneAimAtMost() {
        Recorder host = host(REPEATABLE).withUpstreams(1);
        host.request(1, 0, 300 * MS);
        host.request(2, 0, 300 * MS);
        host.advance(310 * MS);
        host.outcome(host.sends.get(0), Outcome.CANCELLED);
        host.outcome(host.sends.get(1), Outcome.CANCELLED);
        host.advance(500 * MS);
        host.request(3, 0);
        assertEquals(1, host.sendsOf(3).size());
    }

    @Test
    void latenessEverywhereShedsFirstTriesAndAnswersInTimeWinThemBack() {
        Recorder host = host(ONCE).withUpstreams(10);
        host.serve(0, 200, 0, 20 * MS);
        for (int round = 0; round < 8; round++) {
            host.burst(1_000 + 10 * round, 1_010 + 10 * round, 0);
            host.advance(500 * MS);
            List.copyOf(host.sends).stream()
                    .filter(s -> s.at() == host.now - 500 * MS)
                    .forEach(s -> host.outcome(s, Outcome.OK));
        }
        int before = host.sends.size();
        serveAdmitted(host, 2_000, 10);
        int crowded = host.sends.size() - before;
        assertTrue(crowded >= 1 && crowded <= 5, "sent right after the pressure " + crowded);
        assertTrue(host.log.contains("log load shedding begins: answers come late everywhere"));
        serveAdmitted(host, 3_000, 200);
        assertTrue(host.log.contains("log load shedding ends"));
        before = host.sends.size();
        serveAdmitted(host, 4_000, 20);
        assertEquals(20, host.sends.size() - before, "all admitted again");
    }

    /**
     * Guards against a sidecar with little traffic that refuses for minutes what idle servers could
     * answer.
     */
    @Test
    void sheddingWithoutNewLatenessEndsByItselfAlsoWhereNothingIsAskedMeanwhile() {
        Recorder host = host(ONCE).withUpstreams(10);
        host.serve(0, 200, 0, 20 * MS);
        for (int round = 0; round < 8; round++) {
            host.burst(1_000 + 10 * round, 1_010 + 10 * round, 0);
            host.advance(500 * MS);
            List.copyOf(host.sends).stream()
                    .filter(s -> s.at() == host.now - 500 * MS)
                    .forEach(s -> host.outcome(s, Outcome.OK));
        }
        assertTrue(host.log.contains("log load shedding begins: answers come late everywhere"));
        long evidence = 4 * settings(ONCE).classes().get(0).latencyObjectiveNanos();
        host.advance(4 * evidence);
        for (int id = 2_000; id < 2_020; id++) {
            int before = host.sends.size();
            host.request(id, 0);
            assertEquals(before + 1, host.sends.size(), "admitted: " + id);
            host.advance(20 * MS);
            host.outcome(host.last(), Outcome.OK);
            host.advance(evidence);
        }
        assertTrue(host.log.contains("log load shedding ends"));
    }

    @Test
    void aServiceWhoseCalmAnswersTakeMostOfTheAimIsNotShedForGood() {
        Recorder host = host(ONCE).withUpstreams(4);
        for (int id = 0; id < 400; id++) {
            int before = host.sends.size();
            host.request(id, 0);
            host.advance(400 * MS);
            if (host.sends.size() > before) {
                host.outcome(host.last(), Outcome.OK);
            }
        }
        assertEquals(399, host.last().request(), "the last ones are all admitted");
        long begun =
                host.log.stream()
                        .filter(line -> line.startsWith("log load shedding begins"))
                        .count();
        assertEquals(begun, host.log.stream().filter("log load shedding ends"::equals).count());
    }

    /**
     * Guards against a hundred sidecars that a second of a crowd shuts nearly for good, together:
     * half of what is answered is late, and goes on to be; of what is asked a good part is still to
     * be sent.
     */
    @Test
    void halfOfTheAnswersLateLeavesAGoodPartAdmitted() {
        Recorder host = host(ONCE).withUpstreams(40);
        host.serve(0, 200, 0, 20 * MS);
        int asked = 200;
        List<Recorder.Sent> waiting = new ArrayList<>();
        int before = host.sends.size();
        for (int tick = 0; tick < 400; tick++) {
            int sent = host.sends.size();
            host.request(asked, 0);
            asked++;
            if (host.sends.size() > sent) {
                waiting.add(host.last());
            }
            host.advance(50 * MS);
            for (Recorder.Sent each : List.copyOf(waiting)) {
                boolean slow = each.request() % 2 == 0;
                if (host.now - each.at() >= (slow ? 450 : 50) * MS) {
                    waiting.remove(each);
                    host.outcome(each, Outcome.OK);
                }
            }
        }
        double part = (host.sends.size() - before) / 400.0;
        assertTrue(part > 0.35 && part < 0.95, "sent of what was asked " + part);
    }

    /**
     * Guards against a hundred sidecars that all wait for answers to be late before each admits
     * less.
     */
    @Test
    void whereManyShareAServerSmallerSignsTellOfACrowd() {
        for (int replicas : new int[] {3, 95}) {
            Recorder host = ofMany(7, replicas).withUpstreams(60);
            host.serve(0, 200, 0, 80 * MS);
            List<Recorder.Sent> waiting = new ArrayList<>();
            for (int id = 1_000; id < 1_200; id++) {
                int before = host.sends.size();
                host.request(id, 0);
                waiting.addAll(host.sends.subList(before, host.sends.size()));
                host.advance(50 * MS);
                for (Recorder.Sent each : List.copyOf(waiting)) {
                    if (host.now - each.at() >= 250 * MS) {
                        waiting.remove(each);
                        host.outcome(each, Outcome.OK);
                    }
                }
            }
            boolean sheds =
                    host.log.stream().anyMatch(line -> line.startsWith("log load shedding begins"));
            assertEquals(replicas > 3, sheds, "of " + replicas);
        }
    }

    @Test
    void aTenantBeyondItsPartIsShedFirst() {
        PolicySettings base = settings(ONCE);
        Recorder host =
                new Recorder(
                                new PolicySettings(
                                        0,
                                        1,
                                        0,
                                        5 * MS,
                                        DiscoveryMode.PUSHED,
                                        WeightKind.SILENT,
                                        base.classes(),
                                        List.of(new Tenant(0.5, 10), new Tenant(0.5, 10)),
                                        base.capabilities(),
                                        base.safetyLimits(),
                                        List.of(),
                                        false,
                                        0.1),
                                7)
                        .withUpstreams(40);
        host.serve(0, 200, 0, 20 * MS);
        int[] asked = new int[2];
        int[] sent = new int[2];
        List<Recorder.Sent> waiting = new ArrayList<>();
        for (int i = 1_000; i < 2_000; i++) {
            int tenant = i % 4 == 0 ? 1 : 0;
            int before = host.sends.size();
            host.logic.onRequest(
                    host.now, new RequestInfo(i, 0, tenant, 0, 1_000 * MS, 0, false, false));
            asked[tenant]++;
            if (host.sends.size() > before) {
                sent[tenant]++;
                waiting.add(host.last());
            }
            host.advance(100 * MS);
            for (Recorder.Sent each : List.copyOf(waiting)) {
                if (host.now - each.at() >= (each.request() % 5 != 0 ? 450 : 50) * MS) {
                    waiting.remove(each);
                    host.outcome(each, Outcome.OK);
                }
            }
        }
        double flood = sent[0] / (double) asked[0];
        double modest = sent[1] / (double) asked[1];
        assertTrue(modest > 1.15 * flood, "of the modest " + modest + ", of the flood " + flood);
    }

    /** One by one, answered in 20 ms where the module sends them. */
    private static void serveAdmitted(Recorder host, int from, int count) {
        for (int id = from; id < from + count; id++) {
            int before = host.sends.size();
            host.request(id, 0);
            host.advance(20 * MS);
            if (host.sends.size() > before) {
                host.outcome(host.last(), Outcome.OK);
            }
        }
    }

    @Test
    void aFewHeavyAnswersAreNoCrowd() {
        Recorder host = host(ONCE).withUpstreams(11);
        host.serve(0, 220, 0, 20 * MS);
        for (int i = 0; i < 20; i++) {
            host.serve(1_000 + 5 * i, 1_004 + 5 * i, 0, 20 * MS);
            host.serve(1_004 + 5 * i, 1_005 + 5 * i, 0, 190 * MS);
        }
        int before = host.sends.size();
        host.burst(2_000, 2_015, 0);
        assertEquals(15, host.sends.size() - before, "one in five takes long, the rest is calm");
    }

    @Test
    void givenUpWorkStillFillsTheServer() {
        Recorder host = host(REPEATABLE, ONCE).withUpstreams(1);
        host.request(1, 1);
        host.request(2, 1);
        List<Recorder.Sent> out = List.copyOf(host.sends);
        assertEquals(2, out.size());
        host.now += 1_000 * MS;
        out.forEach(sent -> host.outcome(sent, Outcome.TIMEOUT));
        host.request(3, 0, 900 * MS);
        assertEquals(2, host.sends.size(), "two ghosts fill the limit");
    }

    @Test
    void hopelessLaterTriesAreAnsweredAtOnceUnderPressure() {
        Recorder host = host(ONCE).withUpstreams(1);
        host.burst(0, 6, 0);
        int sent = host.sends.size();
        host.request(50, 0, 400 * MS);
        assertEquals(List.of("refuse 50"), host.answers, "600 ms of an aim of 500 are gone");
        assertEquals(sent, host.sends.size());
    }

    @Test
    void firstTriesWithLessTimeThanLastOnesStayFirst() {
        Recorder host = host(ONCE).withUpstreams(1);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0, i % 3 == 2 ? 900 * MS : 600 * MS);
        }
        int answered = host.answers.size();
        host.request(50, 0, 600 * MS);
        assertEquals(
                answered,
                host.answers.size(),
                "600 ms is what first tries have: held, not answered");
    }

    @Test
    void lateAnswersThatKeepTheirWorthAreStillWaitedFor() {
        RequestClass late =
                new RequestClass(
                        100 * MS,
                        0,
                        1_000 * MS,
                        1,
                        0.9,
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false);
        Recorder host = host(late).withUpstreams(1);
        host.burst(0, 3, 0);
        host.advance(300 * MS);
        assertTrue(host.answers.isEmpty(), "held past its aim of 100 ms: " + host.answers);
    }

    @Test
    void tenantThatHadLeastOfItsQuotaGoesFirst() {
        PolicySettings base = settings(ONCE);
        Recorder host =
                new Recorder(
                                new PolicySettings(
                                        0,
                                        1,
                                        0,
                                        5 * MS,
                                        DiscoveryMode.PUSHED,
                                        WeightKind.SILENT,
                                        base.classes(),
                                        List.of(new Tenant(0.5, 10), new Tenant(0.5, 10)),
                                        base.capabilities(),
                                        base.safetyLimits(),
                                        List.of(),
                                        false,
                                        0.1),
                                7)
                        .withUpstreams(1);
        for (int i = 0; i < 4; i++) {
            host.logic.onRequest(
                    host.now, new RequestInfo(i, 0, 0, 0, 1_000 * MS, 0, false, false));
        }
        host.logic.onRequest(host.now, new RequestInfo(10, 0, 1, 0, 1_000 * MS, 0, false, false));
        host.logic.onRequest(host.now, new RequestInfo(11, 0, 0, 0, 1_000 * MS, 0, false, false));
        int out = host.sends.size();
        host.advance(10 * MS);
        host.outcome(host.sends.get(0), Outcome.OK);
        assertEquals(
                10,
                host.sends.get(out).request(),
                "not the newest, but the tenant that had nothing");
    }

    @Test
    void aServiceOfOnceAloneStillTriesASuspectAgain() {
        Recorder host = host(ONCE).withUpstreams(2);
        host.serve(0, 40, 0, 20 * MS);
        for (int i = 100; i < 1_200; i++) {
            host.request(i, 0);
            Recorder.Sent sent = host.last();
            host.advance(20 * MS);
            host.outcome(sent, sent.upstream() == 1 && i < 200 ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(
                host.sends.subList(host.sends.size() - 20, host.sends.size()).stream()
                        .anyMatch(s -> s.upstream() == 1),
                "it came back");
    }

    // ---------------------------------------------------------------- settings and size

    @Test
    void senselessSettingsAreNamed() {
        IllegalArgumentException e =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> new SafetyLimits(0, 0, 0, 1.5, 0, 3, 0));
        assertTrue(e.getMessage().contains("cold share"));
        assertThrows(IllegalArgumentException.class, () -> settings());
    }

    @Test
    void eventsAboutNothingHeldArePassedOver() {
        Recorder host = host(REPEATABLE).withUpstreams(2);
        int before = host.log.size();
        host.logic.onClientDisconnected(host.now, 99);
        host.logic.onAttemptEnded(host.now, 99, 0, 1, Outcome.OK, 0, true, new float[0]);
        host.logic.onResponseStarted(host.now, 99, 0, 1, 0);
        host.logic.onTimer(host.now, 12345);
        host.logic.onGossip(host.now, 1, new byte[] {1});
        assertEquals(before, host.log.size());
    }

    @Test
    void moduleStaysWithinItsSize() throws IOException {
        List<String> lines =
                Files.readAllLines(
                        Path.of(
                                "src/main/java/appleridge/loadbalancing/SymmetricRoundRobinPolicy.java"));
        assertTrue(lines.stream().filter(line -> !line.isBlank()).count() <= 1_352);
        assertTrue(lines.stream().allMatch(line -> line.length() <= 100));
    }
}
