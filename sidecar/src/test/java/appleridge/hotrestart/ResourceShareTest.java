package appleridge.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What two processes may use together. */
class ResourceShareTest {
    private static double part(ProcessPhase own, ProcessPhase... others) {
        return ResourceShare.of(own, List.of(others)).connectionFraction();
    }

    @Test
    void singleProcessHasTheWholeShare() {
        assertEquals(
                new ResourceShare(true, 1), ResourceShare.of(ProcessPhase.STARTING, List.of()));
        assertEquals(new ResourceShare(true, 1), ResourceShare.of(ProcessPhase.SERVING, List.of()));
        assertFalse(ResourceShare.of(ProcessPhase.DRAINING, List.of()).acceptsConnections());
    }

    /** Guards against limits that hold for each and are broken by both. */
    @Test
    void sharesNeverExceedTheWhole() {
        for (ProcessPhase one : ProcessPhase.values()) {
            for (ProcessPhase other : ProcessPhase.values()) {
                assertTrue(part(one, other) + part(other, one) < 1.0001, one + " beside " + other);
                for (ProcessPhase third : ProcessPhase.values()) {
                    double all =
                            part(one, other, third)
                                    + part(other, one, third)
                                    + part(third, one, other);
                    assertTrue(all < 1.0001, "an upgrade within an upgrade: " + all);
                }
            }
        }
    }

    /**
     * Guards against a door that nobody opens: whoever can serve accepts; if nobody can, who starts
     * does.
     */
    @Test
    void someProcessAcceptsUnlessAllDrain() {
        for (ProcessPhase one : ProcessPhase.values()) {
            for (ProcessPhase other : ProcessPhase.values()) {
                boolean accepted =
                        ResourceShare.of(one, List.of(other)).acceptsConnections()
                                || ResourceShare.of(other, List.of(one)).acceptsConnections();
                assertEquals(
                        one != ProcessPhase.DRAINING || other != ProcessPhase.DRAINING,
                        accepted,
                        one + " " + other);
            }
        }
        assertFalse(
                ResourceShare.of(ProcessPhase.STARTING, List.of(ProcessPhase.SERVING))
                        .acceptsConnections(),
                "it is cold");
        assertTrue(
                ResourceShare.of(ProcessPhase.STARTING, List.of(ProcessPhase.DRAINING))
                        .acceptsConnections(),
                "nobody else does");
    }
}
