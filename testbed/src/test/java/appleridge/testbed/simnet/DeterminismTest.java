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

    /** Runs HTTP traffic over a bad network, with a reset, a pause and a black hole. */
    private static long run(long seed) {
        NettyPair pair = new NettyPair(seed, NettyPair.COSTS);
        TwoHosts world = pair.world;
        SeededRandom chance = world.chance.stream("plan");
        world.aToB().jitter = chance.between(0, 2 * TwoHosts.MS);
        world.aToB().segment = (int) chance.between(-50, 3);
        world.bToA().segment = (int) chance.between(-50, 3);
        world.bToA().lossDelayProbability = 0.01;
        world.bToA().lossDelay = 50 * TwoHosts.MS;
        world.aToB().receiveBuffer = (int) chance.between(10, 1_000);
        pair.serveHttp();
        for (int i = 0; i < 5; i++) {
            pair.sendRequests(10, 200);
        }
        world.simulation.after(50 * TwoHosts.MS, () -> pair.server.pause(30 * TwoHosts.MS));
        world.simulation.after(100 * TwoHosts.MS, () -> world.aToB().blackHole = true);
        world.simulation.after(200 * TwoHosts.MS, () -> world.aToB().blackHole = false);
        world.simulation.after(
                chance.nextLong(TwoHosts.SECOND),
                () -> {
                    List<SimSocket> sockets = world.network.sockets(world.a);
                    if (!sockets.isEmpty()) {
                        chance.pick(sockets).fault(SimSocket.Fault.RESET);
                    }
                });
        world.run(5 * TwoHosts.SECOND);
        assertTrue(pair.responses > 0);
        assertEquals(List.of(), pair.server.uncaughtExceptions());
        assertEquals(List.of(), pair.events);
        pair.stop();
        return world.simulation.digest();
    }

    @Test
    void equalSeedsGiveEqualRunsInAnyOrderAndOnManyThreads() throws Exception {
        Map<Long, Long> alone = new LinkedHashMap<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            alone.put(seed, run(seed));
        }
        assertEquals(SEEDS, alone.values().stream().distinct().count());
        assertNotEquals(alone.get(0L), alone.get(1L));
        List<Long> order = new ArrayList<>(alone.keySet());
        Collections.reverse(order);
        ExecutorService threads = Executors.newFixedThreadPool(8);
        try {
            Map<Long, Future<Long>> beside = new LinkedHashMap<>();
            for (long seed : order) {
                beside.put(seed, threads.submit(() -> run(seed)));
            }
            for (long seed : order) {
                assertEquals(alone.get(seed), beside.get(seed).get(), "seed " + seed);
            }
        } finally {
            threads.shutdown();
        }
    }
}
