package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Responses and requests too long to be buffered. */
class AttemptResultsTest {
    /**
     * A few clients that read or send slowly must not occupy the hosts: forty long bodies at two
     * hosts take no capacity, are no evidence of lateness, and are not retried.
     */
    @Test
    void startedResponseOccupiesNoCapacityAndIsNeverRetried() {
        for (long elapsed : new long[] {20 * MS, -1}) {
            SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(2);
            for (int i = 0; i < 40; i++) {
                sidecar.request(i, 0);
                assertEquals(1, sidecar.sendsOf(i).size(), "there is room for " + i);
                sidecar.policy.onResponseStarted(
                        sidecar.now, i, 0, sidecar.sendsOf(i).get(0).upstream(), elapsed);
                sidecar.advance(5 * MS);
            }
            sidecar.advance(60_000 * MS);
            assertEquals(List.of(), sidecar.answers, "their deadlines no longer count");
            for (int i = 0; i < 40; i++) {
                sidecar.outcome(sidecar.sendsOf(i).get(0), i % 2 == 0 ? Outcome.OK : Outcome.RESET);
                assertEquals(1, sidecar.sendsOf(i).size());
            }
            sidecar.request(100, 0);
            assertEquals(1, sidecar.sendsOf(100).size(), "nothing is left of them");
            assertEquals(List.of(), sidecar.answers);
        }
    }

    @Test
    void longResponseFromHostOutsideTheSubsetLeavesNoIdleConnection() {
        SidecarHarness sidecar = SidecarHarness.ofMany(7, 95).withHosts(60);
        sidecar.serve(0, 60, 0, 20 * MS);
        Set<Long> near = sidecar.hostsSentTo(0);
        int id = 100;
        sidecar.request(id, 0);
        while (near.contains(sidecar.last().upstream())) {
            sidecar.outcome(sidecar.last(), Outcome.CONNECT_FAILED);
            if (sidecar.last().request() != id
                    || near.contains(sidecar.last().upstream())
                            && sidecar.sendsOf(id).size() == 3) {
                sidecar.request(++id, 0);
            }
        }
        SidecarHarness.Sent far = sidecar.last();
        sidecar.policy.onResponseStarted(
                sidecar.now, far.request(), far.attempt(), far.upstream(), 20 * MS);
        sidecar.advance(200 * MS);
        sidecar.outcome(far, Outcome.OK);
        assertTrue(sidecar.log.contains("close " + far.upstream()), "its connection stays idle");
    }
}
