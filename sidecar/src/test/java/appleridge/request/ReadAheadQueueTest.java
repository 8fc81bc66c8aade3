package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class ReadAheadQueueTest {
    private static final long LIMIT = 12 << 20;
    private static final long SPARE = LIMIT * 2 / 3;

    private final List<String> events = new ArrayList<>();
    private final BufferBudget budget =
            new BufferBudget(
                    LIMIT,
                    new EventLog() {
                        @Override
                        public void info(String line) {}

                        @Override
                        public void warning(String line) {}

                        @Override
                        public void event(LogEvent kind, Supplier<String> fields) {}

                        @Override
                        public void failure(String what, Throwable cause) {}
                    });
    private final ReadAheadQueue queue = new ReadAheadQueue(budget);

    private ReadAheadQueue.Ticket ticket(String name, long bytes) {
        return queue.newTicket(
                bytes, () -> events.add("granted " + name), () -> events.add("given up " + name));
    }

    /** Guards against many bodies that are half read, so that no client's end is seen. */
    @Test
    void wholeBodiesAreReservedInTheOrderOfTheirRequests() {
        ReadAheadQueue.Ticket first = ticket("first", SPARE - 1000);
        ReadAheadQueue.Ticket second = ticket("second", 2000);
        ReadAheadQueue.Ticket third = ticket("third", 500);
        assertEquals(SPARE - 1000, first.request());
        assertEquals(0, second.request());
        assertEquals(0, third.request(), "there is room for it, but the second was first");
        first.shrinkTo(100);
        assertEquals(List.of("granted second", "granted third"), events);
        assertEquals(100 + 2000 + 500, budget.usedBytes(BufferKind.READ_AHEAD));
    }

    /** Guards against a body longer than the budget that takes all of it and proves nothing. */
    @Test
    void bodyLongerThanTheBudgetGetsAPart() {
        assertEquals(1 << 20, ticket("long", SPARE + 1).request());
        assertEquals(1000, ticket("short", 1000).request());
    }

    /** Guards against a crowd whose beginnings fill the heap while they wait. */
    @Test
    void tooManyThatWaitAreGivenUpOldestFirst() {
        ticket("holder", SPARE).request();
        for (int i = 0; i < 18; i++) {
            ticket("w" + i, 1000).request();
        }
        assertEquals(List.of("given up w0", "given up w1"), events);
        assertTrue(queue.giveUpFirst());
        assertEquals("given up w2", events.get(2));
    }

    /** Guards against a body that is sent soon and takes the room of those that wait. */
    @Test
    void ampleRoomIsTakenOnlyWhereHalfIsLeftAndNobodyWaits() {
        assertEquals(SPARE / 2, ticket("a", SPARE / 2).requestIfAmple());
        ReadAheadQueue.Ticket second = ticket("b", 1000);
        assertEquals(0, second.requestIfAmple());
        assertEquals(1000, second.request());
        assertFalse(queue.giveUpFirst(), "nobody waits");
    }

    /** Guards against room that is never returned. */
    @Test
    void roomIsReturnedOnce() {
        ReadAheadQueue.Ticket ticket = ticket("a", 5000);
        ticket.request();
        ticket.shrinkTo(0);
        ticket.shrinkTo(0);
        assertEquals(0, ticket.request(), "a closed body asks for nothing");
        assertEquals(0, budget.usedBytes());
    }
}
