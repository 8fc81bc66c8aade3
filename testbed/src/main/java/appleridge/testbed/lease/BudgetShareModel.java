package appleridge.testbed.lease;

import appleridge.lease.BudgetShare;
import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.LeaseActions;
import appleridge.lease.LeaseParameters;
import appleridge.lease.Permits;
import appleridge.lease.TransitionCause;
import appleridge.lease.VersionedLease;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks that the shares of two holders never exceed their budget, for every assignment of permits.
 */
final class BudgetShareModel {
    static final String SCOPE = "parts";
    private static final LeaseParameters PARAMETERS = LeaseParameters.fenced(100, 0, 0, 30);
    private static final int MAX_PERMITS = 5;
    private static final int MAX_BUDGET = 12;

    /** A permit belongs to the first holder, to the second, or to nobody. */
    private static final int OWNER_CHOICES = 3;

    private BudgetShareModel() {}

    static String explore() {
        int combinations = 0;
        for (int count = 1; count <= MAX_PERMITS; count++) {
            for (int assignment = 0; assignment < Math.pow(OWNER_CHOICES, count); assignment++) {
                List<Permits> holders =
                        List.of(held(count, assignment, 0), held(count, assignment, 1));
                for (int budget = 0; budget <= MAX_BUDGET; budget++) {
                    long sum = 0;
                    for (Permits permits : holders) {
                        sum += new BudgetShare(budget, permits).available(1, 0);
                    }
                    if (sum > budget) {
                        return "broken: shares sum to "
                                + sum
                                + " of "
                                + budget
                                + ", with "
                                + count
                                + " permits\n";
                    }
                    combinations++;
                }
            }
        }
        return "sound: " + combinations + " assignments of permits and budgets, all";
    }

    private static Permits held(int count, int assignment, int owner) {
        List<Integer> owners = new ArrayList<>();
        for (int i = 0, rest = assignment; i < count; i++, rest /= OWNER_CHOICES) {
            owners.add(rest % OWNER_CHOICES);
        }
        Permits permits =
                new Permits(
                        count, i -> new Lease(PARAMETERS, "", owner + "-" + i, new NoActions()));
        permits.setWanted(0, count);
        for (int i = 0; i < count; i++) {
            if (owners.get(i) == owner) {
                Lease lease = permits.leases().get(i);
                lease.onHeadOfQueue(0);
                lease.onRead(0, 1, null);
                lease.onWritten(0, 2, 0);
            }
        }
        return permits;
    }

    /** Ignores the actions of a lease: its requests are known, a read and then a write. */
    private static final class NoActions implements LeaseActions {
        @Override
        public void readRecord(long question) {}

        @Override
        public void writeRecord(long question, long expectedVersion, VersionedLease next) {}

        @Override
        public void setTimer(long at) {}

        @Override
        public void onGranted(Grant grant) {}

        @Override
        public void stopOperations(TransitionCause why) {}

        @Override
        public void setQueued(boolean in) {}
    }
}
