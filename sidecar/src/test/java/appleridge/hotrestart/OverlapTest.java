package appleridge.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What two processes may use together. */
class OverlapTest {
    private static double part(Phase own, Phase... others) {
        return Overlap.of(own, List.of(others)).part();
    }

    @Test
    void aloneItHasAll() {
        assertEquals(new Overlap(true, 1), Overlap.of(Phase.STARTING, List.of()));
        assertEquals(new Overlap(true, 1), Overlap.of(Phase.SERVING, List.of()));
        assertFalse(Overlap.of(Phase.ENDING, List.of()).accepts());
    }

    /** Guards against limits that hold for each and are broken by both. */
    @Test
    void allTogetherNeverHaveMoreThanAll() {
        for (Phase one : Phase.values()) {
            for (Phase other : Phase.values()) {
                assertTrue(part(one, other) + part(other, one) < 1.0001, one + " beside " + other);
                for (Phase third : Phase.values()) {
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
    void someoneAcceptsUnlessAllAreEnding() {
        for (Phase one : Phase.values()) {
            for (Phase other : Phase.values()) {
                boolean accepted =
                        Overlap.of(one, List.of(other)).accepts()
                                || Overlap.of(other, List.of(one)).accepts();
                assertEquals(
                        one != Phase.ENDING || other != Phase.ENDING, accepted, one + " " + other);
            }
        }
        assertFalse(Overlap.of(Phase.STARTING, List.of(Phase.SERVING)).accepts(), "it is cold");
        assertTrue(Overlap.of(Phase.STARTING, List.of(Phase.ENDING)).accepts(), "nobody else does");
    }
}
