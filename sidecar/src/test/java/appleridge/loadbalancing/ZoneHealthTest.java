package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.upstreamHost;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Ejection of zones to which connects fail. */
class ZoneHealthTest {
    /** Guards against sidecars that each find out host by host that a zone is unreachable. */
    @Test
    void unreachableZoneIsProbedLikeASingleHost() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(40);
        sidecar.serve(0, 80, 0, 20 * MS);
        int tried = sendWithZoneUnreachable(sidecar, 1, 100);
        assertTrue(
                tried <= 4,
                "attempts at twenty unreachable hosts in about three seconds: " + tried);
        assertTrue(sidecar.log.contains("log zone 1 ejected: connect failed"));
        sidecar.advance(10_000 * MS);
        int before = sidecar.sends.size();
        sidecar.serve(5_000, 5_120, 0, 20 * MS);
        assertTrue(sidecar.log.contains("log zone 1 reachable again"));
        long back = sidecar.sends.stream().skip(before).filter(s -> s.upstream() % 2 == 1).count();
        assertTrue(back >= 50, "attempts at the zone that is reachable again: " + back);
    }

    @Test
    void oneUnreachableHostDoesNotEjectItsZone() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(8);
        for (int i = 0; i < 200; i++) {
            sidecar.request(i, 0);
            boolean unreachable = sidecar.last().upstream() == 1;
            sidecar.advance(20 * MS);
            sidecar.outcome(sidecar.last(), unreachable ? Outcome.CONNECT_FAILED : Outcome.OK);
            if (unreachable) {
                sidecar.outcome(sidecar.last(), Outcome.OK);
            }
        }
        assertTrue(sidecar.log.contains("log upstream 1 ejected: connect failed"));
        assertFalse(sidecar.log.contains("log zone 1 ejected: connect failed"));
        assertTrue(sidecar.sentTo(3, 0) > 15 && sidecar.sentTo(5, 0) > 15);
    }

    /** Ejection of the only zone would leave no host to send to. */
    @Test
    void onlyZoneIsNeverEjected() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT);
        List<UpstreamHost> list = new ArrayList<>();
        for (int id = 0; id < 16; id += 2) {
            list.add(upstreamHost(id));
        }
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.CACHED_SNAPSHOT, list);
        for (int i = 0; i < 40; i++) {
            sidecar.request(i, 0);
            SidecarHarness.SentAttempt sent = sidecar.last();
            sidecar.advance(20 * MS);
            sidecar.outcome(sent, sent.upstream() < 8 ? Outcome.CONNECT_FAILED : Outcome.OK);
        }
        assertFalse(sidecar.log.contains("log zone 0 ejected: connect failed"));
    }

    /**
     * Sends requests while no host of a zone can be connected to; each failed connect takes 100 ms.
     *
     * @return the number of attempts sent to the zone
     */
    private static int sendWithZoneUnreachable(SidecarHarness sidecar, int zone, int requests) {
        int before = sidecar.sends.size();
        for (int i = 0; i < requests; i++) {
            sidecar.request(1_000 + i, 0);
            while (sidecar.sendsOf(1_000 + i).stream().anyMatch(s -> s == sidecar.last())
                    && sidecar.last().upstream() % 2 == zone) {
                SidecarHarness.SentAttempt failed = sidecar.last();
                sidecar.advance(100 * MS);
                sidecar.outcome(failed, Outcome.CONNECT_FAILED);
                if (sidecar.last() == failed) {
                    break;
                }
            }
            sidecar.advance(20 * MS);
            if (sidecar.last().upstream() % 2 != zone) {
                sidecar.outcome(sidecar.last(), Outcome.OK);
            }
        }
        return (int)
                sidecar.sends.stream().skip(before).filter(s -> s.upstream() % 2 == zone).count();
    }
}
