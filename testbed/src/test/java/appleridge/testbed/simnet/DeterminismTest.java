package appleridge.testbed.simnet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

class DeterminismTest {
    private static final int SEEDS = 40;

    /** HTTP through bad weather, with resets, a pause and a black hole. */
    private static long play(long seed) {
        Site site = new Site(seed, Site.COSTS);
        World world = site.world;
        SeededRandom chance = world.chance.stream("plan");
        world.there().jitter = chance.between(0, 2 * World.MS);
        world.there().segment = (int) chance.between(-50, 3);
        world.back().segment = (int) chance.between(-50, 3);
        world.back().lossDelayProbability = 0.01;
        world.back().lossDelay = 50 * World.MS;
        world.there().receiveBuffer = (int) chance.between(10, 1_000);
        site.serveHttp();
        for (int i = 0; i < 5; i++) {
            site.ask(10, 200);
        }
        world.simulation.after(50 * World.MS, () -> site.server.pause(30 * World.MS));
        world.simulation.after(100 * World.MS, () -> world.there().blackHole = true);
        world.simulation.after(200 * World.MS, () -> world.there().blackHole = false);
        world.simulation.after(
                chance.nextLong(World.SECOND),
                () -> {
                    List<SimSocket> sockets = world.network.sockets(world.a);
                    if (!sockets.isEmpty()) {
                        chance.pick(sockets).fault(SimSocket.Fault.RESET);
                    }
                });
        world.run(5 * World.SECOND);
        assertTrue(site.answers > 0);
        assertEquals(List.of(), site.server.uncaughtExceptions());
        assertEquals(List.of(), site.heard);
        site.end();
        return world.simulation.digest();
    }

    @Test
    void equalSeedsGiveEqualRunsAloneAfterOthersAndOnManyThreads() throws Exception {
        Map<Long, Long> alone = new LinkedHashMap<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            alone.put(seed, play(seed));
        }
        assertEquals(SEEDS, alone.values().stream().distinct().count());
        assertNotEquals(alone.get(0L), alone.get(1L));
        List<Long> order = new ArrayList<>(alone.keySet());
        Collections.reverse(order);
        ExecutorService threads = Executors.newFixedThreadPool(8);
        try {
            Map<Long, Future<Long>> beside = new LinkedHashMap<>();
            for (long seed : order) {
                beside.put(seed, threads.submit(() -> play(seed)));
            }
            for (long seed : order) {
                assertEquals(alone.get(seed), beside.get(seed).get(), "seed " + seed);
            }
        } finally {
            threads.shutdown();
        }
    }
}
