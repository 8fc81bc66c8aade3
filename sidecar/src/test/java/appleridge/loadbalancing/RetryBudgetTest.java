package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The budget of retries. */
class RetryBudgetTest {
    private static int takeAll(RetryBudget budget) {
        int count = 0;
        while (budget.tryAcquire()) {
            count++;
        }
        return count;
    }

    @Test
    void fiveRequestsEarnOneRetry() {
        RetryBudget budget = new RetryBudget();
        assertEquals(1, takeAll(budget), "at the start");
        for (int i = 0; i < 5; i++) {
            assertEquals(0, takeAll(budget));
            budget.onRequest();
        }
        assertEquals(1, takeAll(budget));
    }

    @Test
    void budgetHoldsAtMostTwentyRetries() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest();
        }
        assertEquals(20, takeAll(budget));
    }
}
