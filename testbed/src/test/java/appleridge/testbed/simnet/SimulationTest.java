package appleridge.testbed.simnet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SimulationTest {
    @Test
    void runsEventsInOrderOfTime() {
        Simulation simulation = new Simulation(new SeededRandom(1));
        List<Long> seen = new ArrayList<>();
        SeededRandom chance = new SeededRandom(2);
        List<Simulation.Event> events = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            events.add(simulation.at(chance.nextInt(500), () -> seen.add(simulation.now())));
        }
        for (int i = 0; i < 1_000; i += 3) {
            events.get(i).cancel();
            assertFalse(events.get(i).isPending());
        }
        assertEquals(666, simulation.pending());
        simulation.runUntil(1_000);
        assertEquals(666, seen.size());
        assertEquals(seen.stream().sorted().toList(), seen);
        assertEquals(1_000, simulation.now());
        assertFalse(simulation.step());
    }

    @Test
    void runsSimultaneousEventsInAllOrders() {
        Set<String> orders = new HashSet<>();
        for (int seed = 0; seed < 100; seed++) {
            orders.add(ties(seed));
            assertEquals(ties(seed), ties(seed));
        }
        assertEquals(6, orders.size());
    }

    private static String ties(int seed) {
        Simulation simulation = new Simulation(new SeededRandom(seed));
        StringBuilder order = new StringBuilder();
        for (char each : "abc".toCharArray()) {
            simulation.at(5, () -> order.append(each));
        }
        simulation.runUntil(5);
        return order.toString();
    }

    @Test
    void digestDistinguishesRuns() {
        assertEquals(digest(3, "x"), digest(3, "x"));
        assertNotEquals(digest(3, "x"), digest(4, "x"));
        assertNotEquals(digest(3, "x"), digest(3, "y"));
    }

    private static long digest(long when, String what) {
        Simulation simulation = new Simulation(new SeededRandom(1));
        simulation.at(when, () -> simulation.note(1, what));
        simulation.runUntil(10);
        return simulation.digest();
    }

    @Test
    void tracesNotes() {
        Simulation simulation = new Simulation(new SeededRandom(1));
        List<String> lines = new ArrayList<>();
        simulation.trace(lines::add);
        simulation.at(12_345_678_901L, () -> simulation.note(1, 2, 3, () -> "it happens"));
        simulation.step();
        assertEquals(List.of("  12.345678901 it happens"), lines);
    }

    @Test
    void runsChecksAfterEachStep() {
        Simulation simulation = new Simulation(new SeededRandom(1));
        int[] checks = new int[1];
        simulation.afterEachStep(() -> checks[0]++);
        simulation.at(1, () -> {});
        simulation.at(2, () -> {});
        simulation.runUntil(5);
        assertEquals(2, checks[0]);
        assertEquals(2, simulation.steps());
    }

    @Test
    void streamsDependOnlyOnSeedAndName() {
        SeededRandom one = new SeededRandom(7);
        SeededRandom other = new SeededRandom(7);
        other.nextLong();
        assertEquals(one.stream("a").nextLong(), other.stream("a").nextLong());
        assertNotEquals(one.stream("a").nextLong(), one.stream("b").nextLong());
        assertNotEquals(one.stream("a").nextLong(), new SeededRandom(8).stream("a").nextLong());
    }

    @Test
    void randomDrawsStayWithinTheirBounds() {
        SeededRandom chance = new SeededRandom(9);
        double sum = 0;
        boolean[] seen = new boolean[3];
        for (int i = 0; i < 10_000; i++) {
            seen[(int) chance.between(5, 7) - 5] = true;
            assertTrue(chance.nextInt(4) < 4 && chance.nextLong(4) < 4);
            sum += chance.exponential(10);
        }
        assertEquals(10, sum / 10_000, 0.5);
        assertTrue(seen[0] && seen[1] && seen[2]);
        assertFalse(chance.hits(0));
        assertTrue(chance.hits(1));
    }
}
