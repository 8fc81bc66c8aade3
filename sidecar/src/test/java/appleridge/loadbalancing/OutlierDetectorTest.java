package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Hosts with more evidence against them than others take fewer turns. */
class OutlierDetectorTest {
    @Test
    void silentHostLosesItsTurns() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT, IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 40, 0, 20 * MS);
        int before = sidecar.sends.size();
        for (int i = 100; i < 160; i++) {
            sidecar.request(i, 0);
            SidecarHarness.SentAttempt sent = sidecar.last();
            sidecar.advance(20 * MS);
            if (sent.upstream() != 2) {
                sidecar.outcome(sent, Outcome.OK);
            }
        }
        long sentToSilent = sidecar.sentTo(2, before);
        assertTrue(sentToSilent <= 4, "silent host got " + sentToSilent + " of 60");
    }

    @Test
    void fastErrorsDoNotGainTurns() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT, IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 40, 0, 20 * MS);
        int before = sidecar.sends.size();
        for (int i = 100; i < 200; i++) {
            sidecar.request(i, 0);
            SidecarHarness.SentAttempt sent = sidecar.last();
            sidecar.advance(sent.upstream() == 2 ? MS : 20 * MS);
            sidecar.outcome(sent, sent.upstream() == 2 ? Outcome.ERROR : Outcome.OK);
        }
        long sentToFailing = sidecar.sentTo(2, before);
        assertTrue(sentToFailing <= 10, "failing host got " + sentToFailing + " of 100");
    }

    @Test
    void slownessCommonToAllHostsLeavesTurnsEven() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 200, 0, 20 * MS);
        sidecar.serve(1_000, 1_100, 0, 80 * MS);
        int before = sidecar.sends.size();
        sidecar.serve(2_000, 2_040, 0, 80 * MS);
        Map<Long, Integer> turns = new HashMap<>();
        sidecar.sends
                .subList(before, before + 40)
                .forEach(s -> turns.merge(s.upstream(), 1, Integer::sum));
        turns.values().forEach(count -> assertEquals(10, count));
        assertTrue(sidecar.answers.isEmpty(), "nothing rejected: " + sidecar.answers);
    }

    @Test
    void gossipReducesAHostsTurnsAndDecays() {
        SidecarHarness reporter = withPeers(300);
        reporter.serve(0, 20, 0, 20 * MS);
        reporter.request(100, 0);
        reporter.advance(900 * MS);
        assertEquals(
                1,
                reporter.gossip.size(),
                "a long unanswered attempt is reported once; the budget allows no more");
        SidecarHarness receiver = withPeers(300);
        for (int i = 0; i < 12; i++) {
            receiver.policy.onGossip(receiver.now, 3, reporter.gossip.get(0));
        }
        receiver.serve(0, 100, 0, 5 * MS);
        long suspect = receiver.sentTo(reporter.sendsOf(100).get(0).upstream(), 0);
        assertTrue(suspect <= 10, "reported host got " + suspect + " of 100");
        assertTrue(receiver.gossip.isEmpty(), "gossip is not passed on");
        receiver.advance(10_000 * MS);
        int before = receiver.sends.size();
        receiver.serve(200, 300, 0, 5 * MS);
        assertTrue(
                receiver.sentTo(reporter.sendsOf(100).get(0).upstream(), before) >= 18,
                "the evidence has decayed: about a fifth of the turns");
    }

    @Test
    void malformedAndExcessiveGossipDoesNoHarm() {
        SidecarHarness sidecar = withPeers(3);
        SidecarHarness control = withPeers(3);
        for (byte[] note : new byte[][] {{}, {1, 2, 3}, new byte[256], {0, 0, 0, 0, 0, 77, 0, 1}}) {
            sidecar.policy.onGossip(sidecar.now, 2, note);
        }
        sidecar.serve(0, 50, 0, 20 * MS);
        control.serve(0, 50, 0, 20 * MS);
        assertEquals(control.log, sidecar.log);
        for (int i = 0; i < 5; i++) {
            for (int repeat = 0; repeat < 1_000; repeat++) {
                sidecar.policy.onGossip(
                        sidecar.now, 2, new byte[] {0, 0, 0, 0, 0, (byte) i, -1, -1});
            }
        }
        int before = sidecar.sends.size();
        sidecar.serve(100, 150, 0, 20 * MS);
        assertEquals(
                50,
                sidecar.sends.size() - before,
                "evidence against every host leaves the turns as they were");
        assertEquals(10, sidecar.sentTo(2, before));
    }

    /**
     * Guards against evidence against the whole fleet that counts as evidence against the subset.
     */
    @Test
    void gossipAboutTheWholeFleetStillShowsAnOutlierInTheSubset() {
        SidecarHarness sidecar =
                new SidecarHarness(
                                TestSettings.of(IDEMPOTENT).rank(7).replicas(95).gossip().build(),
                                7)
                        .withHosts(60);
        sidecar.serve(0, 60, 0, 20 * MS);
        long slow = sidecar.hostsSentTo(0).iterator().next();
        for (int id = 0; id < 60; id++) {
            for (int i = 0; i < (id == slow ? 20 : 3); i++) {
                byte[] note = ByteBuffer.allocate(8).putLong((long) id << 16 | 1).array();
                sidecar.policy.onGossip(sidecar.now, 3, note);
            }
        }
        int before = sidecar.sends.size();
        sidecar.serve(100, 200, 0, 5 * MS);
        assertTrue(
                sidecar.sentTo(slow, before) <= 8,
                "the reported host got " + sidecar.sentTo(slow, before));
    }

    @Test
    void outlierIsTriedAgainEvenIfNoRequestIsIdempotent() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(2);
        sidecar.serve(0, 40, 0, 20 * MS);
        for (int i = 100; i < 1_200; i++) {
            sidecar.request(i, 0);
            SidecarHarness.SentAttempt sent = sidecar.last();
            sidecar.advance(20 * MS);
            sidecar.outcome(sent, sent.upstream() == 1 && i < 200 ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(
                sidecar.sends.subList(sidecar.sends.size() - 20, sidecar.sends.size()).stream()
                        .anyMatch(s -> s.upstream() == 1),
                "the former outlier gets requests again");
    }

    /** One of several sidecars that exchange gossip. */
    private static SidecarHarness withPeers(int replicas) {
        return new SidecarHarness(
                        TestSettings.of(NON_IDEMPOTENT).replicas(replicas).gossip().build(), 7)
                .withHosts(5);
    }
}
