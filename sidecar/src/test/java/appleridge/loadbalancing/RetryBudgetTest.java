package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The budget of retries. */
class RetryBudgetTest {
    private static int retries(RetryBudget budget) {
        int count = 0;
        while (budget.tryAcquire()) {
            count++;
        }
        return count;
    }

    @Test
    void fiveFirstAttemptsPayForOneRetry() {
        RetryBudget budget = new RetryBudget();
        assertEquals(1, retries(budget), "at the start");
        for (int i = 0; i < 5; i++) {
            assertEquals(0, retries(budget));
            budget.onRequest();
        }
        assertEquals(1, retries(budget));
    }

    @Test
    void noMoreThanTwentyRetriesAreSavedUp() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest();
        }
        assertEquals(20, retries(budget));
    }
}
