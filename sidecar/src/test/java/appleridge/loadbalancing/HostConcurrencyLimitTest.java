package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Abandoned attempts that count against the limit. */
class HostConcurrencyLimitTest {
    /**
     * Guards against abandoned work that counts against a host for a whole deadline although the
     * host has long finished it.
     */
    @Test
    void abandonedAttemptsOccupyAHostForOneObjectiveAtMost() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(1);
        sidecar.request(1, 0, 300 * MS);
        sidecar.request(2, 0, 300 * MS);
        sidecar.advance(310 * MS);
        sidecar.outcome(sidecar.sends.get(0), Outcome.CANCELLED);
        sidecar.outcome(sidecar.sends.get(1), Outcome.CANCELLED);
        sidecar.advance(500 * MS);
        sidecar.request(3, 0);
        assertEquals(1, sidecar.sendsOf(3).size());
    }

    @Test
    void abandonedAttemptsStillOccupyTheHost() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT, NON_IDEMPOTENT).withHosts(1);
        sidecar.request(1, 1);
        sidecar.request(2, 1);
        List<SidecarHarness.SentAttempt> outstanding = List.copyOf(sidecar.sends);
        assertEquals(2, outstanding.size());
        sidecar.now += 1_000 * MS;
        outstanding.forEach(sent -> sidecar.outcome(sent, Outcome.TIMEOUT));
        sidecar.request(3, 0, 900 * MS);
        assertEquals(2, sidecar.sends.size(), "two abandoned attempts fill the limit");
    }
}
