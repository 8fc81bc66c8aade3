package appleridge.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ColdStartTest {
    /**
     * Two cores; a server that just started falls over above 4 × 2 × 0.5 × 10 = 40 within 10 ns.
     */
    private static final ColdStart.Figures FIGURES = new ColdStart.Figures(2, 0.5, 100, 4, 10);

    @Test
    void capacityGrowsUntilTheServerIsWarm() {
        ColdStart start = new ColdStart(FIGURES, true, 1000);
        assertEquals(0.5, start.share(1000));
        assertEquals(0.75, start.share(1050));
        assertEquals(1, start.share(1100));
        assertEquals(1, start.share(5000));
        assertEquals(1, new ColdStart(FIGURES, false, 1000).share(1000));
    }

    @Test
    void countsOnlyWorkSentWithinTheWindow() {
        ColdStart start = new ColdStart(FIGURES, true, 0);
        assertEquals(0.25, start.sent(0, 10));
        assertEquals(30 / (4 * 0.55 * 2 * 10), start.sent(10, 20), 1e-9);
        assertEquals(25 / (4 * 0.6 * 2 * 10), start.sent(20, 5), 1e-9);
        assertEquals(1 / (4 * 0.75 * 2 * 10), start.sent(50, 1), 1e-9);
    }

    @Test
    void warmServerNeverFallsOver() {
        assertEquals(0, new ColdStart(FIGURES, true, 0).sent(100, 1e9));
        assertEquals(0, new ColdStart(FIGURES, false, 0).sent(0, 1e9));
    }
}
