package appleridge.testbed.coordination;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.zookeeper.KeeperException;

/**
 * Checks that the sidecar stops sending requests to servers that have ended. Order servers vanish,
 * flap, restart and drain while the coordination service has outages, as drawn from a seed. The
 * first byte of each request is compared with the time at which the report of its server's end was
 * written to the sidecar's socket.
 */
final class DrainCheck {
    /**
     * The parameters of a run.
     *
     * @param session the sidecar's session time-out, in the notation of its configuration
     * @param strikes the faults to inject between the sidecar and the coordination service
     */
    record Plan(
            int sequences,
            int servers,
            double rate,
            long seed,
            Set<CoordinationFault> strikes,
            CoordinatedSite.Source source,
            String session) {}

    /**
     * The result of a run; {@code complete} says whether the sidecar was told of all servers at the
     * end.
     */
    record Result(
            int ends,
            int withRequests,
            Samples delays,
            List<DrainTracker.RequestAfterRemoval> late,
            int arrivals,
            boolean complete) {
        boolean held() {
            return late.isEmpty() && complete && arrivals > 0;
        }
    }

    static final long GRACE = TimeUnit.SECONDS.toNanos(2);
    private static final long[] STEPS_MILLIS = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000};

    /** At most one server in so many goes through a sequence at the same time. */
    private static final int CONCURRENT_FRACTION = 3;

    private static final int MAX_LATE_PRINTED = 40;

    /** Index of the time of day in an ISO-8601 timestamp. */
    private static final int TIME_OF_DAY_OFFSET = 11;

    private final Plan plan;
    private final PrintStream out;
    private final AtomicInteger remaining;
    private final Map<Sequence, Integer> completed = new EnumMap<>(Sequence.class);
    private final Map<CoordinationFault, Integer> injected = new EnumMap<>(CoordinationFault.class);
    private final List<String> times = new ArrayList<>();
    private volatile boolean over;

    DrainCheck(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        this.remaining = new AtomicInteger(plan.sequences());
    }

    Result run(Path jar)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        ExecutorService threads = Executors.newCachedThreadPool();
        try (CoordinatedSite site = new CoordinatedSite(plan.seed(), GRACE, plan.session())) {
            site.open(plan.servers());
            for (ProcessSlot slot : site.slots) {
                slot.register();
            }
            site.start(jar, plan.source(), plan.rate());
            SplittableRandom random = new SplittableRandom(plan.seed());
            Semaphore permits = new Semaphore(Math.max(1, plan.servers() / CONCURRENT_FRACTION));
            List<Future<?>> workers = new ArrayList<>();
            for (ProcessSlot slot : site.slots) {
                SplittableRandom own = random.split();
                workers.add(threads.submit(task(() -> sequences(slot, own, permits))));
            }
            SplittableRandom own = random.split();
            Future<?> injector = threads.submit(task(() -> injectFaults(site, own)));
            for (Future<?> worker : workers) {
                worker.get();
            }
            over = true;
            injector.get();
            return result(site);
        } finally {
            threads.shutdownNow();
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException, ExecutionException;
    }

    private static Callable<Void> task(Task what) {
        return () -> {
            what.run();
            return null;
        };
    }

    private void sequences(ProcessSlot slot, SplittableRandom random, Semaphore permits)
            throws IOException, InterruptedException, ExecutionException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(2000));
        while (remaining.getAndDecrement() > 0) {
            Sequence next = Sequence.values()[random.nextInt(Sequence.values().length)];
            permits.acquire();
            try {
                next.play(slot, random);
            } finally {
                permits.release();
            }
            synchronized (completed) {
                completed.merge(next, 1, Integer::sum);
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(200, 2500));
        }
    }

    private void injectFaults(CoordinatedSite site, SplittableRandom random)
            throws IOException, InterruptedException, ExecutionException {
        List<CoordinationFault> all = List.copyOf(new TreeSet<>(plan.strikes()));
        while (!all.isEmpty() && !over) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(500, 5000));
            CoordinationFault next = all.get(random.nextInt(all.size()));
            String from = clock(site, site.time.nanos());
            next.play(site, random);
            times.add(next + " " + from + " to " + clock(site, site.time.nanos()));
            injected.merge(next, 1, Integer::sum);
        }
    }

    private Result result(CoordinatedSite site)
            throws InterruptedException, ExecutionException, IOException {
        long began = site.time.nanos();
        boolean complete =
                site.await(
                        () ->
                                site.slots.stream()
                                        .allMatch(slot -> site.drains.isPresent(slot.address())));
        long settledAfter = site.time.nanos() - began;
        // Requests that are still sent to ended servers arrive before the clients stop.
        TimeUnit.MILLISECONDS.sleep(2500);
        site.stopClients();
        List<DrainTracker.Removal> ends = site.onLoop(() -> List.copyOf(site.drains.removals()));
        Samples delays =
                new Samples(
                        ends.stream()
                                .map(DrainTracker.Removal::delay)
                                .filter(each -> each >= 0)
                                .toList());
        Result result =
                new Result(
                        ends.size(),
                        delays.count(),
                        delays,
                        site.drains.requestsAfterRemoval(),
                        site.traffic.answers().size(),
                        complete);
        print(site, result, settledAfter);
        return result;
    }

    private void print(CoordinatedSite site, Result result, long settledAfter) throws IOException {
        out.println("sequences: " + completed);
        out.println("faults: " + injected);
        out.println(
                "requests sent "
                        + site.traffic.sent()
                        + ", statuses "
                        + statuses(site)
                        + ", without an answer "
                        + site.traffic.endings()
                        + ", servers crashed by overload "
                        + site.traffic.crashedServers()
                        + ", at unknown addresses "
                        + site.drains.requestsAtUnknownAddresses());
        out.println(
                "ends reported "
                        + result.ends()
                        + ", followed by requests "
                        + result.withRequests());
        out.println("last request after the report of an end: " + result.delays().millis());
        StringBuilder steps = new StringBuilder("of them up to");
        for (long step : STEPS_MILLIS) {
            steps.append(' ')
                    .append(step)
                    .append(" ms: ")
                    .append(result.delays().countUpTo(TimeUnit.MILLISECONDS.toNanos(step)))
                    .append(',');
        }
        out.println(steps.substring(0, steps.length() - 1));
        out.println(
                "longest lag of the stand-ins' own loop: "
                        + Samples.millis(site.lag.worst())
                        + " ms");
        out.println(
                result.complete()
                        ? "the sidecar was told of all servers "
                                + Samples.millis(settledAfter)
                                + " ms after the end"
                        : "THE SERVER LIST IS WRONG at the end");
        result.late().stream()
                .limit(MAX_LATE_PRINTED)
                .forEach(
                        each ->
                                out.println(
                                        "LATE: "
                                                + each.server()
                                                + " got "
                                                + each.id()
                                                + " "
                                                + Samples.millis(each.delay())
                                                + " ms after the report of its end, "
                                                + each.removal().reason
                                                + " of "
                                                + each.removal().name
                                                + " at "
                                                + clock(site, each.removal().from)));
        out.println(result.held() ? "held: no new work after 2 s" : "NOT HELD");
        if (!result.held()) {
            out.println("Faults:");
            times.forEach(out::println);
            out.println("The sidecar's log:");
            site.sidecar.log().forEach(out::println);
        }
    }

    private static String clock(CoordinatedSite site, long at) {
        return Instant.ofEpochMilli(site.time.unixMillis(at))
                .toString()
                .substring(TIME_OF_DAY_OFFSET);
    }

    private static Map<Integer, Integer> statuses(CoordinatedSite site) {
        Map<Integer, Integer> count = new TreeMap<>();
        site.traffic.answers().forEach(each -> count.merge(each.status(), 1, Integer::sum));
        return count;
    }
}
