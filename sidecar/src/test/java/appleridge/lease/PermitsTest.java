package appleridge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PermitsTest {
    private static final LeaseParameters PARAMETERS =
            LeaseParameters.timed(1_000, 10_000, 10, 300, 0, 100);
    private static final int PERMITS = 4;

    private final List<SimulatedHolder.Store> stores =
            IntStream.range(0, PERMITS).mapToObj(i -> new SimulatedHolder.Store()).toList();

    /** A process with a lease on each permit. */
    private final class Process {
        final List<SimulatedHolder> holders = new ArrayList<>();
        final Permits permits;
        final BudgetShare share;

        Process(String name, long budget) {
            permits =
                    new Permits(
                            PERMITS,
                            i -> {
                                holders.add(
                                        new SimulatedHolder(stores.get(i), PARAMETERS, name, name));
                                return holders.get(i).lease;
                            });
            share = new BudgetShare(budget, permits);
        }

        void settle(long now) {
            for (SimulatedHolder holder : holders) {
                if (holder.queued) {
                    holder.lease.onHeadOfQueue(now);
                }
                holder.lease.onRecordChanged(now);
                holder.settle(now);
                permits.reconcile(now);
                holder.settle(now);
            }
        }
    }

    @Test
    void releasedPermitsBecomeUsableAfterTheGracePeriod() {
        Process a = new Process("a", 8);
        Process b = new Process("b", 8);
        a.permits.setWanted(0, 3);
        a.settle(0);
        assertEquals(3, a.permits.usable(0, 0));
        b.permits.setWanted(0, PERMITS);
        b.settle(0);
        assertEquals(1, b.permits.usable(0, 0));
        a.permits.setWanted(10, 1);
        a.settle(10);
        assertEquals(1, a.permits.usable(10, 0));
        b.settle(10);
        assertEquals(1, b.permits.usable(10, 0), "operations of the former holder may still run");
        a.settle(111);
        b.settle(111);
        assertEquals(3, b.permits.usable(111, 0));
    }

    @Test
    void sharesNeverSumToMoreThanTheBudgetWhileTheyChange() {
        long budget = 10;
        List<Process> all =
                List.of(
                        new Process("a", budget),
                        new Process("b", budget),
                        new Process("c", budget));
        Random random = new Random(34);
        int stepsAboveHalf = 0;
        long[] spent = new long[2_000];
        for (int now = 0; now < spent.length; now++) {
            for (Process process : all) {
                if (random.nextInt(50) == 0) {
                    process.share.setWanted(now, random.nextInt(12));
                }
                if (random.nextInt(10) > 0) {
                    process.settle(now);
                }
            }
            long at = now;
            long sum = all.stream().mapToLong(process -> process.share.available(at, 0)).sum();
            assertTrue(sum <= budget, sum + " at " + now);
            stepsAboveHalf += sum > budget / 2 ? 1 : 0;
        }
        assertTrue(
                stepsAboveHalf > spent.length / 4,
                "at most half of the budget was available in most steps; more in "
                        + stepsAboveHalf);
    }

    @Test
    void shareOfLessThanAPermitIsRoundedDown() {
        Process a = new Process("a", 3);
        a.share.setWanted(0, 1);
        a.settle(0);
        assertEquals(0, a.share.available(0, 0), "a quarter of three is less than one unit");
        assertEquals(1, a.permits.usable(0, 0));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Permits(Permits.MAX_PERMITS + 1, i -> null));
        assertThrows(IllegalArgumentException.class, () -> new BudgetShare(-1, a.permits));
    }

    @Test
    void numberOfLeasesIsBounded() {
        Leases leases = new Leases(2, 1);
        SimulatedHolder first =
                new SimulatedHolder(new SimulatedHolder.Store(), PARAMETERS, "a", "a");
        assertNotNull(leases.open("x", () -> first.lease));
        assertNotNull(
                leases.open(
                        "y",
                        () ->
                                new SimulatedHolder(
                                                new SimulatedHolder.Store(), PARAMETERS, "a", "b")
                                        .lease));
        assertNull(leases.open("z", () -> first.lease));
        assertTrue(leases.acquire(0, "x"));
        assertFalse(leases.acquire(0, "y"), "another one is being acquired");
        first.lease.onHeadOfQueue(0);
        first.settle(0);
        assertTrue(leases.acquire(0, "y"));
        assertFalse(leases.close("x"));
        first.lease.release(1);
        first.settle(1);
        assertTrue(leases.close("x"));
        assertEquals(1, leases.all().size());
    }
}
