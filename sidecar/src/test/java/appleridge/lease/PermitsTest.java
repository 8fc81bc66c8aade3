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
    private static final LeaseParameters TERMS =
            LeaseParameters.timed(1_000, 10_000, 10, 300, 0, 100);
    private static final int COUNT = 4;

    private final List<SimulatedHolder.Store> stores =
            IntStream.range(0, COUNT).mapToObj(i -> new SimulatedHolder.Store()).toList();

    /** A process with a lease for each permit. */
    private final class Process {
        final List<SimulatedHolder> registers = new ArrayList<>();
        final Permits permits;
        final BudgetShare shares;

        Process(String name, long whole) {
            permits =
                    new Permits(
                            COUNT,
                            i -> {
                                registers.add(
                                        new SimulatedHolder(stores.get(i), TERMS, name, name));
                                return registers.get(i).lease;
                            });
            shares = new BudgetShare(whole, permits);
        }

        void settle(long now) {
            for (SimulatedHolder register : registers) {
                if (register.inLine) {
                    register.lease.onHeadOfQueue(now);
                }
                register.lease.onRecordChanged(now);
                register.settle(now);
                permits.reconcile(now);
                register.settle(now);
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
        b.permits.setWanted(0, COUNT);
        b.settle(0);
        assertEquals(1, b.permits.usable(0, 0));
        a.permits.setWanted(10, 1);
        a.settle(10);
        assertEquals(1, a.permits.usable(10, 0));
        b.settle(10);
        assertEquals(1, b.permits.usable(10, 0), "what has begun under them goes on");
        a.settle(111);
        b.settle(111);
        assertEquals(3, b.permits.usable(111, 0));
    }

    @Test
    void sharesNeverSumToMoreThanTheBudgetWhileTheyChange() {
        long whole = 10;
        List<Process> all =
                List.of(new Process("a", whole), new Process("b", whole), new Process("c", whole));
        Random random = new Random(34);
        int grown = 0;
        long[] spent = new long[2_000];
        for (int now = 0; now < spent.length; now++) {
            for (Process process : all) {
                if (random.nextInt(50) == 0) {
                    process.shares.setWanted(now, random.nextInt(12));
                }
                if (random.nextInt(10) > 0) {
                    process.settle(now);
                }
            }
            long at = now;
            long sum = all.stream().mapToLong(process -> process.shares.available(at, 0)).sum();
            assertTrue(sum <= whole, sum + " at " + now);
            grown += sum > whole / 2 ? 1 : 0;
        }
        assertTrue(grown > spent.length / 4, "hardly any was given: " + grown);
    }

    @Test
    void shareOfLessThanAPermitIsRoundedDown() {
        Process a = new Process("a", 3);
        a.shares.setWanted(0, 1);
        a.settle(0);
        assertEquals(0, a.shares.available(0, 0), "a quarter of three");
        assertEquals(1, a.permits.usable(0, 0));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Permits(Permits.MAX_PERMITS + 1, i -> null));
        assertThrows(IllegalArgumentException.class, () -> new BudgetShare(-1, a.permits));
    }

    @Test
    void numberOfLeasesIsBounded() {
        Leases leases = new Leases(2, 1);
        SimulatedHolder first = new SimulatedHolder(new SimulatedHolder.Store(), TERMS, "a", "a");
        assertNotNull(leases.open("x", () -> first.lease));
        assertNotNull(
                leases.open(
                        "y",
                        () ->
                                new SimulatedHolder(new SimulatedHolder.Store(), TERMS, "a", "b")
                                        .lease));
        assertNull(leases.open("z", () -> first.lease));
        assertTrue(leases.acquire(0, "x"));
        assertFalse(leases.acquire(0, "y"), "one waits already");
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
