package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Coverage;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.simulation.Plan;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Faults count for those whom they meet, and for no others. */
class MeetingsTest {
    private static final String CALM = "seed 1\nset errors 0\nset impatient 0\nset bursts 0\n";

    /** How often a kind was counted on that day; it must be in these states alone. */
    private static long met(String kind, Set<RequestState> states, String lines) {
        Coverage coverage = DayPlayer.play(Plan.parse(CALM + lines)).coverage();
        long met = 0;
        for (RequestState each : RequestState.values()) {
            assertTrue(states.contains(each) || coverage.count(kind, each) == 0, kind + " " + each);
            met += coverage.count(kind, each);
        }
        return met;
    }

    @Test
    void refusedConnectsAreThoseThatConnect() {
        assertTrue(
                met(
                                "connect-refused",
                                Set.of(RequestState.CONNECTING, RequestState.RESEND_CONNECTING),
                                "at 1 connect-refused who=s0 for=4\n"
                                        + "at 1 connect-refused who=s1 for=4\n")
                        > 0);
    }

    @Test
    void aClosedConnectionIsOneOnWhichSomethingWasSent() {
        assertEquals(
                2,
                met(
                        "close-idle",
                        Set.of(RequestState.WRITTEN),
                        "set rate 90\non written 300 close-idle\non written 400 close-idle\n"));
    }

    @Test
    void whoNeedsNoDescriptorIsNotMet() {
        Set<RequestState> any =
                Set.of(RequestState.ARRIVING, RequestState.HELD, RequestState.RESEND_HELD);
        assertEquals(0, met("no-descriptors", any, "at 5 no-descriptors who=n0 for=2 count=200\n"));
        assertTrue(met("no-descriptors", any, "at 2 no-descriptors who=n0 for=5 count=0\n") > 0);
    }

    @Test
    void aCutCountsWhereItBreaks() {
        assertEquals(
                1,
                met(
                        "up-cut-request",
                        Set.of(RequestState.WRITING, RequestState.WRITTEN),
                        "on connecting 3 up-cut-request bytes=400\n"));
        assertEquals(
                1,
                met(
                        "up-cut-answer",
                        Set.of(RequestState.ANSWERING),
                        "on written 4 up-cut-answer bytes=400\n"));
        assertEquals(
                1,
                met(
                        "down-cut-answer",
                        Set.of(RequestState.ANSWERED),
                        "on arriving 40 down-cut-answer bytes=7\n"));
    }

    @Test
    void aDrainIsToldToThoseWhoAreThere() {
        assertTrue(
                met(
                                "drain-told",
                                Set.of(RequestState.WRITTEN, RequestState.CONNECTING),
                                "set notice 0\nset rate 60\nat 3 slow who=s0 for=5 factor=9\n"
                                        + "at 4 drain who=s0 down=1\n")
                        > 0);
    }

    @Test
    void windowsCloseForWhomIsResent() {
        Set<RequestState> resent =
                Set.of(
                        RequestState.RESEND_HELD,
                        RequestState.RESEND_CONNECTING,
                        RequestState.RESEND_WRITING,
                        RequestState.RESEND_WRITTEN,
                        RequestState.RESEND_ANSWERING);
        assertEquals(0, met("window-closes", resent, ""));
        StringBuilder cuts = new StringBuilder("set key-window 0.06\n");
        for (int i = 1; i < 40; i++) {
            cuts.append("on written ").append(4 * i).append(" up-reset\n");
        }
        assertTrue(met("window-closes", resent, cuts.toString()) > 0);
    }
}
