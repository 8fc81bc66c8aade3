package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Handling of responses and requests too long to be buffered. */
class AttemptResultsTest {
    /**
     * Guards against a few clients that read or send slowly and thereby occupy the hosts: forty
     * long bodies at two hosts take no capacity, do not count as late, and are not retried.
     */
    @Test
    void startedResponseOccupiesNoCapacityAndIsNeverRetried() {
        for (long elapsed : new long[] {20 * MS, -1}) {
            SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(2);
            for (int i = 0; i < 40; i++) {
                sidecar.request(i, 0);
                assertEquals(1, sidecar.sendsOf(i).size(), "not sent: request " + i);
                sidecar.policy.onResponseStarted(
                        sidecar.now, i, 0, sidecar.sendsOf(i).get(0).upstream(), elapsed);
                sidecar.advance(5 * MS);
            }
            sidecar.advance(60_000 * MS);
            assertEquals(List.of(), sidecar.answers, "the deadlines no longer apply");
            for (int i = 0; i < 40; i++) {
                sidecar.outcome(sidecar.sendsOf(i).get(0), i % 2 == 0 ? Outcome.OK : Outcome.RESET);
                assertEquals(1, sidecar.sendsOf(i).size());
            }
            sidecar.request(100, 0);
            assertEquals(
                    1, sidecar.sendsOf(100).size(), "the ended attempts still occupy the hosts");
            assertEquals(List.of(), sidecar.answers);
        }
    }

    @Test
    void longResponseFromHostOutsideTheSubsetLeavesNoIdleConnection() {
        SidecarHarness sidecar = SidecarHarness.ofMany(7, 95).withHosts(60);
        sidecar.serve(0, 60, 0, 20 * MS);
        Set<Long> members = sidecar.hostsSentTo(0);
        int id = 100;
        sidecar.request(id, 0);
        while (members.contains(sidecar.last().upstream())) {
            sidecar.outcome(sidecar.last(), Outcome.CONNECT_FAILED);
            if (sidecar.last().request() != id
                    || members.contains(sidecar.last().upstream())
                            && sidecar.sendsOf(id).size() == 3) {
                sidecar.request(++id, 0);
            }
        }
        SidecarHarness.SentAttempt outsider = sidecar.last();
        sidecar.policy.onResponseStarted(
                sidecar.now, outsider.request(), outsider.attempt(), outsider.upstream(), 20 * MS);
        sidecar.advance(200 * MS);
        sidecar.outcome(outsider, Outcome.OK);
        assertTrue(
                sidecar.log.contains("close " + outsider.upstream()),
                "the idle connection is not closed");
    }
}
