package appleridge.testbed.coordination;

import appleridge.testbed.standin.LoopbackServer;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException;

/**
 * Compares the same load with the coordination service available and during an outage, in
 * alternating order. During each outage one server's session expires and another server registers;
 * after the outage, the time until the sidecar is told is measured.
 */
final class OutageCheck {
    /** The parameters of a run; {@code settleMillis} is the pause after each outage. */
    record Plan(int pairs, int seconds, int servers, double rate, long seed, int settleMillis) {}

    /** The requests of one measurement window; latencies in nanoseconds. */
    private record Window(int sent, int served, int refused, long median, long p99) {}

    /**
     * The result: requests lost and refused during outages, the median over the pairs of the p99
     * ratio, and the times in nanoseconds from an outage's end until the sidecar was told of the
     * change.
     */
    record Result(int lost, int refused, double p99Ratio, Samples righted) {}

    private static final double MAX_P99_RATIO = 1.1;
    private static final int LAST_ANSWERS_MILLIS = 2500;

    private final Plan plan;
    private final PrintStream out;
    private final List<Long> settleTimes = new ArrayList<>();
    private final List<Double> ratios = new ArrayList<>();
    private int lost;
    private int refused;

    OutageCheck(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    Result run(Path jar)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        try (CoordinatedSite site = new CoordinatedSite(plan.seed(), DrainCheck.GRACE)) {
            site.open(plan.servers());
            for (ProcessSlot slot : site.slots) {
                slot.register();
            }
            site.start(jar, CoordinatedSite.Source.NODES, plan.rate());
            TimeUnit.MILLISECONDS.sleep(plan.settleMillis() / 2);
            for (int i = 0; i < plan.pairs(); i++) {
                pair(site, i);
            }
            site.stopClients();
            Result result = new Result(lost, refused, median(ratios), new Samples(settleTimes));
            out.println(
                    "without an answer "
                            + lost
                            + ", refused "
                            + refused
                            + " of the requests of the outages; p99 outage/calm, median of "
                            + plan.pairs()
                            + " pairs: "
                            + round(result.p99Ratio()));
            out.println(
                    "from the end of the outage until the sidecar was told the current list: "
                            + result.righted().millis());
            return result;
        }
    }

    boolean held(Result result) {
        return result.lost() == 0
                && result.refused() == 0
                && result.p99Ratio() <= MAX_P99_RATIO
                && result.righted().count() == plan.pairs();
    }

    private void pair(CoordinatedSite site, int number)
            throws IOException, InterruptedException, ExecutionException {
        Window calm = null;
        Window outage = null;
        for (int half = 0; half < 2; half++) {
            if ((number + half) % 2 == 0) {
                calm = window(site);
            } else {
                outage = runOutage(site, number);
            }
        }
        lost += outage.sent - outage.served - outage.refused;
        refused += outage.refused;
        ratios.add(outage.p99 / (double) calm.p99);
        out.println(
                "pair "
                        + (number + 1)
                        + (number % 4 < 2 ? " (refused): " : " (silent): ")
                        + "calm "
                        + text(calm)
                        + "; outage "
                        + text(outage)
                        + "; p99 ratio "
                        + round(outage.p99 / (double) calm.p99));
    }

    private Window runOutage(CoordinatedSite site, int number)
            throws IOException, InterruptedException, ExecutionException {
        boolean refuses = number % 4 < 2;
        site.onLoop(
                () -> {
                    site.relay.mode(refuses ? Relay.Mode.REFUSES : Relay.Mode.SILENT);
                    if (refuses) {
                        site.relay.reset();
                    }
                    return null;
                });
        ProcessSlot slot = site.slots.get(number % site.slots.size());
        LoopbackServer old = slot.server();
        String oldAddress = old.endpoint();
        slot.expire();
        Window window = window(site);
        slot.startProcess(true, false);
        slot.register();
        long ends = site.time.nanos();
        site.onLoop(
                () -> {
                    site.relay.mode(Relay.Mode.OPEN);
                    return null;
                });
        boolean settled =
                site.await(
                        () ->
                                !site.drains.isPresent(oldAddress)
                                        && site.drains.isPresent(slot.address()));
        if (settled) {
            settleTimes.add(site.time.nanos() - ends);
        }
        TimeUnit.MILLISECONDS.sleep(plan.settleMillis());
        slot.crash(old);
        return window;
    }

    /** Measures the requests sent within the next {@code seconds} seconds, with their answers. */
    private Window window(CoordinatedSite site) throws InterruptedException, ExecutionException {
        Moment begin = moment(site);
        TimeUnit.SECONDS.sleep(plan.seconds());
        Moment end = moment(site);
        TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_MILLIS);
        return site.onLoop(
                () -> {
                    List<Long> took = new ArrayList<>();
                    int denied = 0;
                    for (Traffic.Answer answer : site.traffic.answers()) {
                        long sentAt = answer.at() - answer.took();
                        if (sentAt >= begin.at && sentAt < end.at) {
                            if (answer.status() == 200) {
                                took.add(answer.took());
                            } else {
                                denied++;
                            }
                        }
                    }
                    Samples figures = new Samples(took);
                    return new Window(
                            end.sent - begin.sent,
                            took.size(),
                            denied,
                            figures.median(),
                            figures.quantile(0.99));
                });
    }

    /** A time, and the number of requests sent before it. */
    private record Moment(long at, int sent) {}

    /** Reads both on the loop, so that no request falls between the two readings. */
    private static Moment moment(CoordinatedSite site)
            throws InterruptedException, ExecutionException {
        return site.onLoop(() -> new Moment(site.time.nanos(), site.traffic.sent()));
    }

    private static String text(Window window) {
        return window.sent
                + " sent, "
                + window.served
                + " served, "
                + window.refused
                + " refused, median "
                + Samples.millis(window.median)
                + ", p99 "
                + Samples.millis(window.p99)
                + " ms";
    }

    private static double median(List<Double> numbers) {
        List<Double> sorted = numbers.stream().sorted().toList();
        int half = sorted.size() / 2;
        return sorted.size() % 2 == 1
                ? sorted.get(half)
                : (sorted.get(half - 1) + sorted.get(half)) / 2;
    }

    private static double round(double number) {
        return Math.round(number * 1000) / 1000.0;
    }
}
