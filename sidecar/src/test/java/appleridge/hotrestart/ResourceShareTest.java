package appleridge.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ResourceShareTest {
    private static double fraction(ProcessPhase own, ProcessPhase... others) {
        return ResourceShare.of(own, List.of(others)).connectionFraction();
    }

    @Test
    void singleProcessHasTheWholeShare() {
        assertEquals(
                new ResourceShare(true, 1), ResourceShare.of(ProcessPhase.STARTING, List.of()));
        assertEquals(new ResourceShare(true, 1), ResourceShare.of(ProcessPhase.SERVING, List.of()));
        assertFalse(ResourceShare.of(ProcessPhase.DRAINING, List.of()).acceptsConnections());
    }

    /**
     * Guards against processes that each keep to their limits and exceed them together: the
     * fractions of two or three processes add up to 1 at most, whatever their phases.
     */
    @Test
    void sharesNeverExceedTheWhole() {
        for (ProcessPhase one : ProcessPhase.values()) {
            for (ProcessPhase other : ProcessPhase.values()) {
                assertTrue(
                        fraction(one, other) + fraction(other, one) < 1.0001,
                        one + " and " + other);
                for (ProcessPhase third : ProcessPhase.values()) {
                    double total =
                            fraction(one, other, third)
                                    + fraction(other, one, third)
                                    + fraction(third, one, other);
                    assertTrue(total < 1.0001, one + ", " + other + " and " + third + ": " + total);
                }
            }
        }
    }

    /**
     * Guards against a listening socket from which no process accepts: a serving process does, and
     * a starting one where none serves.
     */
    @Test
    void someProcessAcceptsUnlessAllDrain() {
        for (ProcessPhase one : ProcessPhase.values()) {
            for (ProcessPhase other : ProcessPhase.values()) {
                boolean someAccepts =
                        ResourceShare.of(one, List.of(other)).acceptsConnections()
                                || ResourceShare.of(other, List.of(one)).acceptsConnections();
                assertEquals(
                        one != ProcessPhase.DRAINING || other != ProcessPhase.DRAINING,
                        someAccepts,
                        one + " and " + other);
            }
        }
        assertFalse(
                ResourceShare.of(ProcessPhase.STARTING, List.of(ProcessPhase.SERVING))
                        .acceptsConnections(),
                "a starting process leaves connections to the serving one");
        assertTrue(
                ResourceShare.of(ProcessPhase.STARTING, List.of(ProcessPhase.DRAINING))
                        .acceptsConnections(),
                "a starting process accepts where none serves");
    }
}
