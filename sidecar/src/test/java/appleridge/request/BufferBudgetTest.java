package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** How a budget is shared out among peers. */
class BufferBudgetTest {
    private static final long LIMIT = 1000;

    private final List<String> logged = new ArrayList<>();
    private final EventLog log =
            new EventLog() {
                @Override
                public void info(String line) {}

                @Override
                public void warning(String line) {}

                @Override
                public void event(LogEvent kind, Supplier<String> fields) {
                    logged.add(kind.label() + " " + fields.get());
                }

                @Override
                public void failure(String what, Throwable cause) {}
            };
    private final BufferBudget budget = new BufferBudget(LIMIT, log);

    private BufferBudget.Reservation reservation() {
        return budget.newAccount().reserve(BufferKind.REQUESTS);
    }

    /** Guards against one client that buffers so much that others get nothing. */
    @Test
    void singleAccountIsRefusedWhileOthersStillFit() {
        BufferBudget.Account greedy = budget.newAccount();
        int granted = 0;
        while (greedy.reserve(BufferKind.REQUESTS).resize(10)) {
            granted++;
        }
        assertEquals(20, granted, "a fifth of the budget");
        assertTrue(reservation().resize(190));
    }

    /** Guards against many clients that leave nothing to one that comes later. */
    @Test
    void accountThatHoldsNothingFitsWhileManyOthersHoldTheirShare() {
        List<BufferBudget.Account> accounts = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            accounts.add(budget.newAccount());
        }
        boolean anyGranted = true;
        while (anyGranted) {
            anyGranted = false;
            for (BufferBudget.Account account : accounts) {
                anyGranted |= account.reserve(BufferKind.REQUESTS).resize(1);
            }
        }
        assertTrue(reservation().resize(LIMIT / 30));
    }

    @Test
    void refusedReservationIsUnchangedAndLogged() {
        BufferBudget.Reservation reservation = reservation();
        assertTrue(reservation.resize(100));
        assertFalse(reservation.resize(BufferKind.STREAMED_REQUESTS, 900));
        assertEquals(100, reservation.bytes());
        assertEquals(100, budget.usedBytes(BufferKind.REQUESTS));
        assertEquals(0, budget.usedBytes(BufferKind.STREAMED_REQUESTS));
        assertEquals(1, budget.refusals());
        assertEquals(
                List.of(
                        "buffers.limit_reached kind=streamed_requests wanted=900 account=100"
                                + " used=100 limit=1000 requests=100"),
                logged);
    }

    private BufferBudget.Reservation optional() {
        return budget.newAccount().reserve(BufferKind.READ_AHEAD);
    }

    private static long takeAllThatIsSpare(BufferBudget.Reservation reservation) {
        while (reservation.resizeWithinSpare(reservation.bytes() + 1)) {
            continue;
        }
        return reservation.bytes();
    }

    /** Guards against bytes that nobody has to hold, and that crowd out what must be held. */
    @Test
    void spareBytesLeaveAPartOfTheBudgetToWhatMustBeHeld() {
        assertEquals(666, takeAllThatIsSpare(optional()), "two thirds of the budget");
        for (int i = 0; i < 100; i++) {
            takeAllThatIsSpare(optional());
        }
        assertTrue(budget.usedBytes() <= 666, "used: " + budget.usedBytes());
        assertTrue(reservation().resize(80));
        assertEquals(0, budget.refusals(), "what is not spare is no refusal");
    }

    /** Guards against optional bytes in a budget that is nearly used up. */
    @Test
    void nothingIsSpareWhereTheBudgetIsNearlyUsedUp() {
        for (int i = 0; i < 40; i++) {
            reservation().resize((LIMIT - budget.usedBytes()) / 4);
        }
        assertEquals(0, takeAllThatIsSpare(optional()));
    }

    @Test
    void reservationCanAlwaysShrinkAndIsReleasedOnce() {
        BufferBudget.Account account = budget.newAccount();
        BufferBudget.Reservation reservation = account.reserve(BufferKind.PARTIAL_REQUESTS);
        assertTrue(reservation.resize(150));
        assertTrue(reservation.resize(BufferKind.REQUESTS, 140));
        assertEquals(0, budget.usedBytes(BufferKind.PARTIAL_REQUESTS));
        assertEquals(140, budget.usedBytes(BufferKind.REQUESTS));
        reservation.release();
        reservation.release();
        assertEquals(0, budget.usedBytes());
        assertEquals(150, budget.peakBytes());
        assertTrue(account.isEmpty());
    }

    /** Draws reservations and releases: the sum is exact and never exceeds the limit. */
    @Test
    void sumOfAllReservationsNeverExceedsTheLimit() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            BufferBudget drawn = new BufferBudget(LIMIT, log);
            List<BufferBudget.Account> accounts = new ArrayList<>();
            for (int i = 0; i <= random.nextInt(30); i++) {
                accounts.add(drawn.newAccount());
            }
            List<BufferBudget.Reservation> all = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                if (random.nextInt(3) == 0 && !all.isEmpty()) {
                    all.remove(random.nextInt(all.size())).release();
                } else {
                    BufferBudget.Reservation next =
                            accounts.get(random.nextInt(accounts.size()))
                                    .reserve(BufferKind.REQUESTS);
                    next.resize(random.nextInt(120));
                    all.add(next);
                }
                long sum = all.stream().mapToLong(BufferBudget.Reservation::bytes).sum();
                assertEquals(sum, drawn.usedBytes(), "seed " + seed);
                assertTrue(sum <= LIMIT, "seed " + seed);
            }
        }
    }
}
