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
 * Order servers vanish, flap, restart and drain while the coordination service has outages, all as
 * drawn from a seed; each request's first byte is held against the time at which its server's end
 * was with the sidecar's socket.
 */
final class DrainCheck {
    /**
     * What is played.
     *
     * @param session the sidecar's session time-out, as its operator's file says it
     * @param strikes what may come between the sidecar and the coordination service
     */
    record Plan(
            int sequences,
            int servers,
            double rate,
            long seed,
            Set<CoordinationFault> strikes,
            CoordinatedSite.Source source,
            String session) {}

    /** What came of it. */
    record Result(
            int ends,
            int withRequests,
            Samples delays,
            List<DrainBook.Late> late,
            int arrivals,
            boolean right) {
        boolean held() {
            return late.isEmpty() && right && arrivals > 0;
        }
    }

    static final long GRACE = TimeUnit.SECONDS.toNanos(2);
    private static final long[] STEPS_MILLIS = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000};

    /** At most this part of the servers goes through something at once. */
    private static final int PART = 3;

    private static final int MOST_TOLD = 40;

    /** Where in a moment's text the time of day begins. */
    private static final int CLOCK = 11;

    private final Plan plan;
    private final PrintStream out;
    private final AtomicInteger left;
    private final Map<Sequence, Integer> played = new EnumMap<>(Sequence.class);
    private final Map<CoordinationFault, Integer> struck = new EnumMap<>(CoordinationFault.class);
    private final List<String> times = new ArrayList<>();
    private volatile boolean over;

    DrainCheck(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        this.left = new AtomicInteger(plan.sequences());
    }

    Result run(Path jar)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        ExecutorService threads = Executors.newCachedThreadPool();
        try (CoordinatedSite site = new CoordinatedSite(plan.seed(), GRACE, plan.session())) {
            site.open(plan.servers());
            for (ProcessSlot seat : site.seats) {
                seat.register();
            }
            site.start(jar, plan.source(), plan.rate());
            SplittableRandom chance = new SplittableRandom(plan.seed());
            Semaphore room = new Semaphore(Math.max(1, plan.servers() / PART));
            List<Future<?>> players = new ArrayList<>();
            for (ProcessSlot seat : site.seats) {
                SplittableRandom own = chance.split();
                players.add(threads.submit(task(() -> sequences(seat, own, room))));
            }
            SplittableRandom own = chance.split();
            Future<?> strikes = threads.submit(task(() -> strikes(site, own)));
            for (Future<?> player : players) {
                player.get();
            }
            over = true;
            strikes.get();
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

    private void sequences(ProcessSlot seat, SplittableRandom chance, Semaphore room)
            throws IOException, InterruptedException, ExecutionException {
        TimeUnit.MILLISECONDS.sleep(chance.nextInt(2000));
        while (left.getAndDecrement() > 0) {
            Sequence next = Sequence.values()[chance.nextInt(Sequence.values().length)];
            room.acquire();
            try {
                next.play(seat, chance);
            } finally {
                room.release();
            }
            synchronized (played) {
                played.merge(next, 1, Integer::sum);
            }
            TimeUnit.MILLISECONDS.sleep(chance.nextInt(200, 2500));
        }
    }

    private void strikes(CoordinatedSite site, SplittableRandom chance)
            throws IOException, InterruptedException, ExecutionException {
        List<CoordinationFault> all = List.copyOf(new TreeSet<>(plan.strikes()));
        while (!all.isEmpty() && !over) {
            TimeUnit.MILLISECONDS.sleep(chance.nextInt(500, 5000));
            CoordinationFault next = all.get(chance.nextInt(all.size()));
            String from = clock(site, site.time.nanos());
            next.play(site, chance);
            times.add(next + " " + from + " to " + clock(site, site.time.nanos()));
            struck.merge(next, 1, Integer::sum);
        }
    }

    private Result result(CoordinatedSite site)
            throws InterruptedException, ExecutionException, IOException {
        long began = site.time.nanos();
        boolean right =
                site.await(
                        () ->
                                site.seats.stream()
                                        .allMatch(seat -> site.book.there(seat.address())));
        long righted = site.time.nanos() - began;
        // What would still be sent to those that are gone is seen before the end.
        TimeUnit.MILLISECONDS.sleep(2500);
        site.quiet();
        List<DrainBook.End> ends = site.onLoop(() -> List.copyOf(site.book.ends()));
        Samples delays =
                new Samples(
                        ends.stream().map(DrainBook.End::delay).filter(each -> each >= 0).toList());
        Result result =
                new Result(
                        ends.size(),
                        delays.count(),
                        delays,
                        site.book.late(),
                        site.traffic.answers().size(),
                        right);
        print(site, result, righted);
        return result;
    }

    private void print(CoordinatedSite site, Result result, long righted) throws IOException {
        out.println("sequences: " + played);
        out.println("strikes: " + struck);
        out.println(
                "requests asked "
                        + site.traffic.asked()
                        + ", statuses "
                        + statuses(site)
                        + ", without an answer "
                        + site.traffic.endings()
                        + ", servers pushed over "
                        + site.traffic.fallen()
                        + ", at addresses never told "
                        + site.book.untold());
        out.println(
                "ends told " + result.ends() + ", followed by requests " + result.withRequests());
        out.println("last request after the word of an end: " + result.delays().millis());
        StringBuilder steps = new StringBuilder("of them up to");
        for (long step : STEPS_MILLIS) {
            steps.append(' ')
                    .append(step)
                    .append(" ms: ")
                    .append(result.delays().upTo(TimeUnit.MILLISECONDS.toNanos(step)))
                    .append(',');
        }
        out.println(steps.substring(0, steps.length() - 1));
        out.println(
                "the stand-ins' own loop was late by at most "
                        + Samples.millis(site.lag.worst())
                        + " ms");
        out.println(
                result.right()
                        ? "all servers were told " + Samples.millis(righted) + " ms after the end"
                        : "THE LIST IS NOT RIGHT at the end");
        result.late().stream()
                .limit(MOST_TOLD)
                .forEach(
                        each ->
                                out.println(
                                        "LATE: "
                                                + each.server()
                                                + " got "
                                                + each.id()
                                                + " "
                                                + Samples.millis(each.delay())
                                                + " ms after the word of its end, "
                                                + each.end().word
                                                + " of "
                                                + each.end().name
                                                + " at "
                                                + clock(site, each.end().from)));
        out.println(result.held() ? "held: no new work after 2 s" : "NOT HELD");
        if (!result.held()) {
            out.println("Strikes:");
            times.forEach(out::println);
            out.println("The sidecar's log:");
            site.sidecar.log().forEach(out::println);
        }
    }

    private static String clock(CoordinatedSite site, long at) {
        return Instant.ofEpochMilli(site.time.unixMillis(at)).toString().substring(CLOCK);
    }

    private static Map<Integer, Integer> statuses(CoordinatedSite site) {
        Map<Integer, Integer> count = new TreeMap<>();
        site.traffic.answers().forEach(each -> count.merge(each.status(), 1, Integer::sum));
        return count;
    }
}
