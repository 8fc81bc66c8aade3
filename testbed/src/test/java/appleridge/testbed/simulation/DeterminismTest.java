package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DeterminismTest {
    private static final int SEEDS = 12;

    private static long digest(long seed) {
        return SimulatedDay.run(Plan.draw(seed)).world.simulation().digest();
    }

    private static List<Long> digests(boolean reverse) {
        Long[] digests = new Long[SEEDS];
        for (int i = 0; i < SEEDS; i++) {
            int seed = reverse ? SEEDS - 1 - i : i;
            digests[seed] = digest(seed);
        }
        return List.of(digests);
    }

    @Test
    void theSameSeedGivesTheSameDigestInAnyOrderAndOnAnyThread() throws Exception {
        List<Long> sequential = digests(false);
        assertEquals(SEEDS, sequential.stream().distinct().count());
        assertEquals(sequential, digests(true));
        List<List<Long>> concurrent = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            boolean reverse = i == 0;
            threads.add(
                    new Thread(
                            () -> {
                                List<Long> digests = digests(reverse);
                                synchronized (concurrent) {
                                    concurrent.add(digests);
                                }
                            }));
        }
        threads.forEach(Thread::start);
        for (Thread each : threads) {
            each.join();
        }
        assertEquals(List.of(sequential, sequential), concurrent);
    }

    @Test
    void tracingDoesNotChangeTheDigest() {
        SimulatedDay traced = new SimulatedDay(Plan.draw(3));
        List<String> lines = new ArrayList<>();
        traced.world.simulation().trace(lines::add);
        traced.world.run();
        assertEquals(digest(3), traced.world.simulation().digest());
        assertNotEquals(0, lines.size());
    }

    @Test
    void removingAFaultDoesNotShiftOtherRandomDraws() {
        Plan plan =
                Plan.parse(
                        "seed 5\nset retries 0\nat 5 list-503 for=0.1\nat 6 wall-step who=n0 by=1");
        SimulatedDay with = SimulatedDay.run(plan);
        SimulatedDay without = SimulatedDay.run(plan.without(Set.of(0, 1)));
        assertEquals(
                new ArrayList<>(with.recorder.asks.keySet()),
                new ArrayList<>(without.recorder.asks.keySet()));
    }
}
