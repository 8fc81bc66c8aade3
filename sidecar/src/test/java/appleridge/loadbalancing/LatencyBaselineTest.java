package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The observed response time of a request class. */
class LatencyBaselineTest {
    @Test
    void baselineIsEstablishedByTwentyResponses() {
        LatencyBaseline baseline = new LatencyBaseline(100);
        for (int i = 0; i < 19; i++) {
            baseline.observe(80, 0);
        }
        assertFalse(baseline.isEstablished());
        baseline.observe(80, 0);
        assertTrue(baseline.isEstablished());
        assertEquals(80, baseline.averageNanos(), 1e-9);
        assertEquals(80, baseline.unloadedAverageNanos(), 1e-9);
    }

    @Test
    void slowResponseCountsForAtMostThreeTimesTheExpected() {
        LatencyBaseline baseline = new LatencyBaseline(100);
        baseline.observe(1e9, 0);
        assertEquals(300, baseline.averageNanos(), 1e-9);
    }

    @Test
    void halfOfTheExpectedTimeGrowsWithTheCostHint() {
        LatencyBaseline baseline = new LatencyBaseline(100);
        baseline.observe(100, 10);
        assertEquals(100, baseline.expectedNanos(0), 1e-9);
        assertEquals(100, baseline.expectedNanos(10), 1e-9);
        assertEquals(200, baseline.expectedNanos(30), 1e-9);
    }
}
