package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Ejection of hosts to which connects fail. */
class ConnectFailureEjectionTest {
    @Test
    void ejectionIsIgnoredWhenEveryHostIsEjected() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(2);
        for (int i = 0; i < 4; i++) {
            sidecar.request(i, 0);
            sidecar.outcome(sidecar.last(), Outcome.CONNECT_FAILED);
        }
        int before = sidecar.sends.size();
        sidecar.request(10, 0);
        assertTrue(sidecar.sends.size() > before, "with every host ejected, ejection is ignored");
    }

    @Test
    void ejectionAndReturnAreLoggedOnceEach() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(2);
        sidecar.serve(0, 10, 0, 20 * MS);
        for (int i = 100; i < 400; i++) {
            sidecar.request(i, 0);
            boolean unreachable = sidecar.last().upstream() == 1 && i < 300;
            sidecar.advance(20 * MS);
            sidecar.outcome(sidecar.last(), unreachable ? Outcome.CONNECT_FAILED : Outcome.OK);
            if (unreachable && sidecar.last().request() == i && sidecar.sendsOf(i).size() > 1) {
                sidecar.outcome(sidecar.last(), Outcome.OK);
            }
        }
        sidecar.advance(5_000 * MS);
        sidecar.serve(500, 520, 0, 20 * MS);
        List<String> logged = sidecar.log.stream().filter(line -> line.startsWith("log ")).toList();
        assertEquals(
                List.of("log upstream 1 ejected: connect failed", "log upstream 1 reachable again"),
                logged);
    }
}
