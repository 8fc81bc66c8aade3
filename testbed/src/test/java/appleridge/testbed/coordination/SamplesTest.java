package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SamplesTest {
    @Test
    void aPartOfAllIsNotAboveTheNumberThatIsSaid() {
        Samples figures = new Samples(List.of(40L, 10L, 30L, 20L));
        assertEquals(20, figures.median());
        assertEquals(40, figures.at(0.99));
        assertEquals(40, figures.most());
        assertEquals(10, figures.at(0));
    }

    @Test
    void equalNumbersCountOnceEach() {
        Samples figures = new Samples(List.of(1L, 2L, 2L, 5L));
        assertEquals(3, figures.upTo(2));
        assertEquals(3, figures.upTo(4));
        assertEquals(0, figures.upTo(0));
        assertEquals(4, figures.upTo(9));
    }

    @Test
    void ofNothingThereIsNothingToSay() {
        assertEquals("none", new Samples(List.of()).millis());
        assertEquals(0, new Samples(List.of()).most());
    }
}
