package appleridge.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RepeatMemoryTest {
    private static final RequestKind HOLD = RequestKind.ALL.get(1);
    private static final RequestKind CONFIRM = RequestKind.ALL.get(2);
    private static final RequestKind INVOICE = RequestKind.ALL.get(3);

    private final RepeatMemory memory = new RepeatMemory(5);

    @Test
    void zoneRemembersItsHoldsForTheirWindow() {
        assertTrue(memory.takesEffect(HOLD, "k", "a", 0));
        assertFalse(memory.takesEffect(HOLD, "k", "a", HOLD.window() + 5));
        assertTrue(memory.takesEffect(HOLD, "k", "b", 1));
        assertTrue(memory.takesEffect(HOLD, "other", "a", 1));
        assertTrue(memory.takesEffect(HOLD, "k", "a", HOLD.window() + 6));
    }

    @Test
    void allZonesRememberConfirmations() {
        assertTrue(memory.takesEffect(CONFIRM, "k", "a", 0));
        assertFalse(memory.takesEffect(CONFIRM, "k", "b", 1));
        assertTrue(memory.takesEffect(HOLD, "k", "a", 1));
    }

    @Test
    void classWithoutKeysAlwaysTakesEffect() {
        assertTrue(memory.takesEffect(INVOICE, null, "a", 0));
        assertTrue(memory.takesEffect(INVOICE, null, "a", 1));
    }
}
