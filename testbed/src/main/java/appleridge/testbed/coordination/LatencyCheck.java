package appleridge.testbed.coordination;

import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.LoopbackServer;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.zookeeper.KeeperException;

/**
 * Measures the time from the expiry of a server's session to the last request that the server
 * receives, and from the creation of a node to the first request at its server. With the registry
 * as the source, both times start when the registry's entry changes.
 */
final class LatencyCheck {
    /**
     * The parameters of a run; {@code cold} says whether new servers register as started just now.
     */
    record Plan(
            int rounds,
            int servers,
            double rate,
            long seed,
            CoordinatedSite.Source source,
            boolean cold) {}

    /**
     * The result in nanoseconds. A {@code last} of 0 means no request after the end; {@code
     * withoutRequest} counts the new servers that received none.
     */
    record Result(Samples last, Samples first, int withoutRequest) {}

    /** The number of servers that are replaced concurrently. */
    private static final int WORKERS = 2;

    private static final int SEEN_MILLIS = 1500;
    private static final int SETTLE_MILLIS = 1000;

    private final Plan plan;
    private final PrintStream out;

    /** The times of the first and the last request at each address; accessed on the loop. */
    private final Map<String, Long> first = new HashMap<>();

    private final Map<String, Long> last = new HashMap<>();
    private final List<Long> lasts = new ArrayList<>();
    private final List<Long> firsts = new ArrayList<>();
    private int withoutRequest;

    LatencyCheck(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    Result run(Path jar)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        ExecutorService threads = Executors.newFixedThreadPool(WORKERS);
        try (CoordinatedSite site = new CoordinatedSite(plan.seed(), DrainCheck.GRACE)) {
            site.open(plan.servers());
            for (ProcessSlot slot : site.slots) {
                up(site, slot);
            }
            site.start(jar, plan.source(), plan.rate());
            site.onLoop(
                    () -> {
                        site.listen(
                                (address, arrival) -> {
                                    first.putIfAbsent(address, arrival.firstByte());
                                    last.put(address, arrival.firstByte());
                                });
                        return null;
                    });
            TimeUnit.MILLISECONDS.sleep(2 * SETTLE_MILLIS);
            AtomicInteger left = new AtomicInteger(plan.rounds());
            List<Future<Void>> workers = new ArrayList<>();
            for (int i = 0; i < WORKERS; i++) {
                int workerNumber = i;
                workers.add(threads.submit(rounds(site, workerNumber, left)));
            }
            for (Future<Void> worker : workers) {
                worker.get();
            }
            site.stopClients();
            Result result = new Result(new Samples(lasts), new Samples(firsts), withoutRequest);
            print(site, result);
            return result;
        } finally {
            threads.shutdownNow();
        }
    }

    private Callable<Void> rounds(CoordinatedSite site, int workerNumber, AtomicInteger left) {
        return () -> {
            for (int turn = workerNumber; left.getAndDecrement() > 0; turn += WORKERS) {
                int usableSlots = site.slots.size() / WORKERS * WORKERS;
                round(site, site.slots.get(turn % usableSlots));
            }
            return null;
        };
    }

    private void round(CoordinatedSite site, ProcessSlot slot)
            throws IOException, InterruptedException, ExecutionException {
        LoopbackServer old = slot.server();
        String address = old.endpoint();
        long ended = site.time.nanos();
        down(site, slot);
        TimeUnit.MILLISECONDS.sleep(SEEN_MILLIS);
        long lastAt = site.onLoop(() -> last.getOrDefault(address, 0L));
        slot.crash(old);
        slot.startProcess(plan.cold(), false);
        up(site, slot);
        long registeredAt = site.time.nanos();
        String next = slot.address();
        boolean reached = site.await(() -> first.containsKey(next));
        synchronized (this) {
            lasts.add(Math.max(0, lastAt - ended));
            if (reached) {
                firsts.add(site.onLoop(() -> first.get(next)) - registeredAt);
            } else {
                withoutRequest++;
            }
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    }

    private void up(CoordinatedSite site, ProcessSlot slot)
            throws IOException, InterruptedException, ExecutionException {
        if (plan.source() == CoordinatedSite.Source.REGISTRY) {
            announce(site, slot, LoopbackRegistry.State.READY);
        } else {
            slot.register();
        }
    }

    private void down(CoordinatedSite site, ProcessSlot slot)
            throws InterruptedException, ExecutionException {
        if (plan.source() == CoordinatedSite.Source.REGISTRY) {
            announce(site, slot, LoopbackRegistry.State.GONE);
        } else {
            slot.expire();
        }
    }

    private static void announce(
            CoordinatedSite site, ProcessSlot slot, LoopbackRegistry.State state)
            throws InterruptedException, ExecutionException {
        LoopbackServer server = slot.server();
        site.onLoop(
                () -> {
                    site.registry.set(
                            new LoopbackRegistry.Entry(
                                    server.identity().name(),
                                    server.endpoint(),
                                    server.identity().zone(),
                                    state,
                                    server.bootMillis()));
                    return null;
                });
    }

    private void print(CoordinatedSite site, Result result) {
        out.println(
                plan.source().name().toLowerCase(Locale.ROOT)
                        + (plan.cold() ? ", new servers cold" : ", new servers warm")
                        + ":");
        out.println(
                "  from the end to the last request: "
                        + result.last().millis()
                        + ", without any request "
                        + result.last().countUpTo(0));
        out.println(
                "  from the node to the first request: "
                        + result.first().millis()
                        + ", servers without a request "
                        + result.withoutRequest());
        out.println(
                "  longest lag of the stand-ins' own loop: "
                        + Samples.millis(site.lag.worst())
                        + " ms");
    }
}
