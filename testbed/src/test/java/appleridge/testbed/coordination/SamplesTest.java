package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SamplesTest {
    @Test
    void aPartOfAllIsNotAboveTheNumberThatIsSaid() {
        Samples figures = new Samples(List.of(40L, 10L, 30L, 20L));
        assertEquals(20, figures.median());
        assertEquals(40, figures.quantile(0.99));
        assertEquals(40, figures.max());
        assertEquals(10, figures.quantile(0));
    }

    @Test
    void equalNumbersCountOnceEach() {
        Samples figures = new Samples(List.of(1L, 2L, 2L, 5L));
        assertEquals(3, figures.countUpTo(2));
        assertEquals(3, figures.countUpTo(4));
        assertEquals(0, figures.countUpTo(0));
        assertEquals(4, figures.countUpTo(9));
    }

    @Test
    void ofNothingThereIsNothingToSay() {
        assertEquals("none", new Samples(List.of()).millis());
        assertEquals(0, new Samples(List.of()).max());
    }
}
