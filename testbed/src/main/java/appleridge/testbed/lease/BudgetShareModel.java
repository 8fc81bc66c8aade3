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

/** Gives the permits of a budget to two holders in every way, and adds up what they may spend. */
final class BudgetShareModel {
    static final String WORDS = "parts";
    private static final LeaseParameters TERMS = LeaseParameters.fenced(100, 0, 0, 30);
    private static final int MOST_PERMITS = 5;
    private static final int MOST_WHOLE = 12;

    /** A permit is the first one's, the second one's, or nobody's. */
    private static final int OWNERS = 3;

    private BudgetShareModel() {}

    static String explore() {
        int ways = 0;
        for (int count = 1; count <= MOST_PERMITS; count++) {
            for (int way = 0; way < Math.pow(OWNERS, count); way++) {
                List<Permits> holders = List.of(held(count, way, 0), held(count, way, 1));
                for (int whole = 0; whole <= MOST_WHOLE; whole++) {
                    long sum = 0;
                    for (Permits permits : holders) {
                        sum += new BudgetShare(whole, permits).available(1, 0);
                    }
                    if (sum > whole) {
                        return "broken: parts sum to "
                                + sum
                                + " of "
                                + whole
                                + ", with "
                                + count
                                + " permits\n";
                    }
                    ways++;
                }
            }
        }
        return "sound: " + ways + " ways to part a whole, all";
    }

    private static Permits held(int count, int way, int owner) {
        List<Integer> owners = new ArrayList<>();
        for (int i = 0, rest = way; i < count; i++, rest /= OWNERS) {
            owners.add(rest % OWNERS);
        }
        Permits permits =
                new Permits(count, i -> new Lease(TERMS, "", owner + "-" + i, new Nothing()));
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

    /** What a lease asks is known: first a read, then a write. */
    private static final class Nothing implements LeaseActions {
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
