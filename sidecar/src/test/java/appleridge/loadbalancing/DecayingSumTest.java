package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The exponentially decaying sum. */
class DecayingSumTest {
    @Test
    void amountAddedOneWindowAgoCountsWithTheFactorOneOverE() {
        DecayingSum sum = new DecayingSum(1_000);
        sum.add(5_000, 2);
        assertEquals(2, sum.value(5_000), 1e-12);
        assertEquals(2 / Math.E, sum.value(6_000), 1e-12);
        sum.add(6_000, 1);
        assertEquals((2 / Math.E + 1) / Math.E, sum.value(7_000), 1e-12);
    }

    @Test
    void emptySumIsZeroAtAnyTime() {
        assertEquals(0, new DecayingSum(1).value(Long.MAX_VALUE));
    }
}
