package appleridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamIdsTest {
    /** Guards against peers, or the next process, that use one number for different hosts. */
    @Test
    void numberDependsOnTheIdAloneAndReturnsWithIt() {
        UpstreamIds here = new UpstreamIds();
        UpstreamIds elsewhere = new UpstreamIds();
        long first = here.number("s-1");
        here.number("s-2");
        elsewhere.number("s-2");
        assertEquals(first, elsewhere.number("s-1"));
        here.forget("s-1");
        here.number("s-3");
        assertEquals(first, here.number("s-1"));
        here.retain(List.of("s-3"));
        assertEquals(first, here.number("s-1"));
        assertEquals(UpstreamIds.hash("s-1"), first);
    }

    @Test
    void numbersDifferAndFitGossipMessages() {
        UpstreamIds ids = new UpstreamIds();
        Set<Long> seen = new HashSet<>();
        for (int i = 0; i < 20_000; i++) {
            long number = ids.number("server-" + i);
            assertTrue(number > 0 && number < 1L << 48);
            assertTrue(seen.add(number));
        }
    }
}
