package appleridge.testbed.lease;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.zookeeper.KeeperException;

/**
 * The command {@code leases}: real {@code task} processes take over from one another, by a seed's
 * faults.
 */
public final class LeaseFaultsCommand {
    private static final String USAGE =
            "usage: java -jar testbed.jar leases [--changes 100] [--processes 8]"
                    + " [--seed 1] [--seconds 600] [--jar FILE]";

    /**
     * Beyond what is promised: starting a guardian on a busy machine, and finding the store again.
     */
    private static final long LONGEST_MILLIS = 30_000;

    private static final int MOST_DWELL_MILLIS = 400;
    private static final long MOST_MILLIS = TimeUnit.HOURS.toMillis(1);
    private static final int DIGITS = 3;

    private final PrintStream out;
    private final PrintStream err;
    private final Map<LeaseFault, Integer> strikes = new EnumMap<>(LeaseFault.class);
    private final Histogram handedOver = new Histogram(MOST_MILLIS, DIGITS);
    private final Histogram lost = new Histogram(MOST_MILLIS, DIGITS);
    private final List<String> late = new ArrayList<>();

    /** Changes of which the time is in a histogram. */
    private int counted;

    public LeaseFaultsCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Returns the exit status: 0 if no two acted at once and each change came. */
    public int run(String... args) {
        try {
            int changes = number(args, "--changes", 100);
            int processes = number(args, "--processes", 8);
            int seed = number(args, "--seed", 1);
            int seconds = number(args, "--seconds", 600);
            Path jar = Path.of(word(args, "--jar", besideOurs()));
            if (args.length % 2 != 0 || processes < 2 || !Files.isRegularFile(jar)) {
                throw new IllegalArgumentException(
                        processes < 2 ? "--processes is less than 2" : "no such file: " + jar);
            }
            return run(jar, processes, changes, seed, TimeUnit.SECONDS.toNanos(seconds));
        } catch (IllegalArgumentException e) {
            err.println("leases: " + e.getMessage());
            err.println(USAGE);
            return 2;
        } catch (IOException | KeeperException e) {
            err.println("leases: " + e);
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private int run(Path jar, int processes, int changes, long seed, long longest)
            throws IOException, InterruptedException, KeeperException {
        SplittableRandom chance = new SplittableRandom(seed);
        long by = System.nanoTime() + longest;
        try (TaskFleet fleet =
                new TaskFleet(jar, processes, TaskFleet.SHORT_MILLIS, TaskFleet.Manner.values())) {
            for (TaskProcess each : fleet.tasks) {
                each.start();
            }
            boolean goesOn = fleet.witness.awaitAbove(0, LONGEST_MILLIS);
            while (goesOn
                    && fleet.witness.changes().size() < changes
                    && System.nanoTime() < by
                    && fleet.witness.findings().isEmpty()) {
                goesOn = strike(fleet, chance);
            }
            boolean gone = fleet.end();
            return report(fleet, goesOn, gone);
        }
    }

    /** One strike and what follows; false if nobody acts any more. */
    private boolean strike(TaskFleet fleet, SplittableRandom chance)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(chance.nextInt(MOST_DWELL_MILLIS));
        if (!fleet.witness.awaitAct(fleet.witness.acts(), LONGEST_MILLIS)) {
            return false;
        }
        LeaseFault strike = LeaseFault.values()[chance.nextInt(LeaseFault.values().length)];
        long token = fleet.witness.token();
        strikes.merge(strike, 1, Integer::sum);
        strike.inject(fleet, fleet.witness.holder(), chance);
        boolean goesOn =
                strike.changesHolder
                        ? fleet.witness.awaitAbove(token, LONGEST_MILLIS)
                        : fleet.witness.awaitAct(fleet.witness.acts(), LONGEST_MILLIS);
        for (TaskProcess each : fleet.tasks) {
            if (!each.alive()) {
                each.start();
            }
        }
        List<OperationWitness.Change> all = fleet.witness.changes();
        for (; counted < all.size(); counted++) {
            OperationWitness.Change each = all.get(counted);
            long millis = TimeUnit.NANOSECONDS.toMillis(each.without());
            (strike.handsOver() ? handedOver : lost).recordValue(millis);
            if (millis > TaskFleet.promisedMillis(TaskFleet.SHORT_MILLIS)) {
                late.add(strike.name().toLowerCase(Locale.ROOT) + " " + millis + " ms");
            }
        }
        return goesOn;
    }

    private int report(TaskFleet fleet, boolean goesOn, boolean gone) throws IOException {
        List<String> findings = fleet.witness.findings();
        out.println("strikes: " + strikes.toString().toLowerCase(Locale.ROOT));
        out.println(
                fleet.witness.changes().size()
                        + " changes of holder, "
                        + fleet.witness.acts()
                        + " acts; overlaps and old tokens: "
                        + findings.size()
                        + (gone ? "" : "; something was left at the end")
                        + (goesOn
                                ? ""
                                : "; at the end nobody acted for " + LONGEST_MILLIS + " ms"));
        findings.forEach(each -> out.println("  " + each));
        out.println("without a holder after it gave the lease away: " + text(handedOver));
        out.println("without a holder after it was lost: " + text(lost));
        out.println(
                "promised: "
                        + TaskFleet.promisedMillis(TaskFleet.SHORT_MILLIS)
                        + " ms and what the store takes to answer; longer: "
                        + late.size()
                        + " "
                        + late);
        boolean held = findings.isEmpty() && gone && goesOn;
        if (!held) {
            for (TaskProcess each : fleet.tasks) {
                out.println("log:");
                each.log().forEach(out::println);
            }
        }
        return held ? 0 : 1;
    }

    private static String text(Histogram times) {
        return times.getTotalCount()
                + " times, median "
                + times.getValueAtPercentile(50)
                + ", p90 "
                + times.getValueAtPercentile(90)
                + ", p99 "
                + times.getValueAtPercentile(99)
                + ", largest "
                + times.getMaxValue()
                + " ms";
    }

    private static int number(String[] args, String name, int usual) {
        try {
            return Integer.parseInt(word(args, name, Integer.toString(usual)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " makes no sense", e);
        }
    }

    private static String word(String[] args, String name, String usual) {
        for (int i = 0; i + 1 < args.length; i += 2) {
            if (args[i].equals(name)) {
                return args[i + 1];
            }
        }
        return usual;
    }

    private static String besideOurs() {
        try {
            return Path.of(
                            LeaseFaultsCommand.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI())
                    .resolveSibling(Path.of("..", "..", "sidecar", "target", "appleridge.jar"))
                    .normalize()
                    .toString();
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("--jar is needed", e);
        }
    }
}
