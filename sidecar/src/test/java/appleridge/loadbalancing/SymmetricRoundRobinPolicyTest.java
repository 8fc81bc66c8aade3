package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The policy as a whole. */
class SymmetricRoundRobinPolicyTest {
    @Test
    void sameEventsGiveSameActions() {
        List<List<String>> logs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT, NON_IDEMPOTENT).withHosts(6);
            sidecar.serve(0, 60, 0, 3 * MS);
            for (int i = 100; i < 160; i++) {
                sidecar.request(i, i % 2);
                sidecar.advance(2 * MS);
            }
            sidecar.advance(2_000 * MS);
            logs.add(sidecar.log);
        }
        assertEquals(logs.get(0), logs.get(1));
    }

    @Test
    void errorNamesTheSettingThatIsOutOfRange() {
        IllegalArgumentException e =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> new SafetyLimits(0, 0, 0, 1.5, 0, 3, 0));
        assertEquals(
                "setting slowStartMinFraction is 1.5, must be above 0 and at most 1",
                e.getMessage());
        e = assertThrows(IllegalArgumentException.class, () -> settings());
        assertEquals("setting classes is [], must be at least one", e.getMessage());
    }

    @Test
    void eventsAboutUnknownRequestsAreIgnored() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(2);
        int before = sidecar.log.size();
        sidecar.policy.onClientDisconnected(sidecar.now, 99);
        sidecar.policy.onAttemptEnded(sidecar.now, 99, 0, 1, Outcome.OK, 0, true, new float[0]);
        sidecar.policy.onResponseStarted(sidecar.now, 99, 0, 1, 0);
        sidecar.policy.onTimer(sidecar.now, 12345);
        sidecar.policy.onGossip(sidecar.now, 1, new byte[] {1});
        assertEquals(before, sidecar.log.size());
    }
}
