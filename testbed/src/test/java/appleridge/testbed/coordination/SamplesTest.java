package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SamplesTest {
    @Test
    void quantileIsTheSmallestValueNotExceededByTheFraction() {
        Samples samples = new Samples(List.of(40L, 10L, 30L, 20L));
        assertEquals(20, samples.median());
        assertEquals(40, samples.quantile(0.99));
        assertEquals(40, samples.max());
        assertEquals(10, samples.quantile(0));
    }

    @Test
    void countUpToCountsEqualValuesSeparately() {
        Samples samples = new Samples(List.of(1L, 2L, 2L, 5L));
        assertEquals(3, samples.countUpTo(2));
        assertEquals(3, samples.countUpTo(4));
        assertEquals(0, samples.countUpTo(0));
        assertEquals(4, samples.countUpTo(9));
    }

    @Test
    void emptySamplesAreFormattedAsNone() {
        assertEquals("none", new Samples(List.of()).millis());
        assertEquals(0, new Samples(List.of()).max());
    }
}
