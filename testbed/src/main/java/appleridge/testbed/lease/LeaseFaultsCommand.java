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
 * The command {@code leases}: real {@code task} processes take over a lease from one another under
 * random faults that follow from a seed.
 */
public final class LeaseFaultsCommand {
    private static final String USAGE =
            "usage: java -jar testbed.jar leases [--changes 100] [--processes 8]"
                    + " [--seed 1] [--seconds 600] [--jar FILE]";

    /**
     * Exceeds the promised time to leave room for starting a guardian on a busy machine and for
     * reconnecting to the store.
     */
    private static final long MAX_WAIT_MILLIS = 30_000;

    private static final int MAX_DWELL_MILLIS = 400;
    private static final long MAX_GAP_MILLIS = TimeUnit.HOURS.toMillis(1);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final PrintStream out;
    private final PrintStream err;
    private final Map<LeaseFault, Integer> injections = new EnumMap<>(LeaseFault.class);
    private final Histogram gapsAfterRelease = new Histogram(MAX_GAP_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram gapsAfterLoss = new Histogram(MAX_GAP_MILLIS, SIGNIFICANT_DIGITS);
    private final List<String> longGaps = new ArrayList<>();

    /** Number of holder changes recorded in a histogram. */
    private int recorded;

    /** Creates the command; results go to {@code out}, errors to {@code err}. */
    public LeaseFaultsCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Returns the exit status: 0 if no operations overlapped and each expected takeover happened, 1
     * otherwise, 2 for invalid arguments.
     */
    public int run(String... args) {
        try {
            int changes = number(args, "--changes", 100);
            int processes = number(args, "--processes", 8);
            int seed = number(args, "--seed", 1);
            int seconds = number(args, "--seconds", 600);
            Path jar = Path.of(option(args, "--jar", defaultJar()));
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

    private int run(Path jar, int processes, int changes, long seed, long maxDurationNanos)
            throws IOException, InterruptedException, KeeperException {
        SplittableRandom random = new SplittableRandom(seed);
        long deadline = System.nanoTime() + maxDurationNanos;
        try (TaskFleet fleet =
                new TaskFleet(
                        jar,
                        processes,
                        TaskFleet.SHORT_TERM_MILLIS,
                        TaskFleet.CommandBehavior.values())) {
            for (TaskProcess each : fleet.tasks) {
                each.start();
            }
            boolean active = fleet.witness.awaitAbove(0, MAX_WAIT_MILLIS);
            while (active
                    && fleet.witness.changes().size() < changes
                    && System.nanoTime() < deadline
                    && fleet.witness.findings().isEmpty()) {
                active = injectFault(fleet, random);
            }
            boolean gone = fleet.killAll();
            return report(fleet, active, gone);
        }
    }

    /** Injects one fault and awaits its consequences; returns false if operations have ceased. */
    private boolean injectFault(TaskFleet fleet, SplittableRandom random)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_DWELL_MILLIS));
        if (!fleet.witness.awaitOperation(fleet.witness.operations(), MAX_WAIT_MILLIS)) {
            return false;
        }
        LeaseFault fault = LeaseFault.values()[random.nextInt(LeaseFault.values().length)];
        long token = fleet.witness.token();
        injections.merge(fault, 1, Integer::sum);
        fault.inject(fleet, fleet.witness.holder(), random);
        boolean active =
                fault.changesHolder
                        ? fleet.witness.awaitAbove(token, MAX_WAIT_MILLIS)
                        : fleet.witness.awaitOperation(fleet.witness.operations(), MAX_WAIT_MILLIS);
        for (TaskProcess each : fleet.tasks) {
            if (!each.alive()) {
                each.start();
            }
        }
        List<OperationWitness.HolderChange> all = fleet.witness.changes();
        for (; recorded < all.size(); recorded++) {
            OperationWitness.HolderChange each = all.get(recorded);
            long millis = TimeUnit.NANOSECONDS.toMillis(each.gapNanos());
            (fault.handsOver() ? gapsAfterRelease : gapsAfterLoss).recordValue(millis);
            if (millis > TaskFleet.promisedGapMillis(TaskFleet.SHORT_TERM_MILLIS)) {
                longGaps.add(fault.name().toLowerCase(Locale.ROOT) + " " + millis + " ms");
            }
        }
        return active;
    }

    private int report(TaskFleet fleet, boolean active, boolean gone) throws IOException {
        List<String> findings = fleet.witness.findings();
        out.println("faults injected: " + injections.toString().toLowerCase(Locale.ROOT));
        out.println(
                fleet.witness.changes().size()
                        + " holder changes, "
                        + fleet.witness.operations()
                        + " operations; overlaps and outdated tokens: "
                        + findings.size()
                        + (gone ? "" : "; processes were left at the end")
                        + (active ? "" : "; no operation in the last " + MAX_WAIT_MILLIS + " ms"));
        findings.forEach(each -> out.println("  " + each));
        out.println("gap without a holder after a release: " + describe(gapsAfterRelease));
        out.println("gap without a holder after a loss: " + describe(gapsAfterLoss));
        out.println(
                "promised: "
                        + TaskFleet.promisedGapMillis(TaskFleet.SHORT_TERM_MILLIS)
                        + " ms plus the response time of the store; longer gaps: "
                        + longGaps.size()
                        + " "
                        + longGaps);
        boolean held = findings.isEmpty() && gone && active;
        if (!held) {
            for (TaskProcess each : fleet.tasks) {
                out.println("log:");
                each.log().forEach(out::println);
            }
        }
        return held ? 0 : 1;
    }

    private static String describe(Histogram times) {
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

    private static int number(String[] args, String name, int defaultValue) {
        try {
            return Integer.parseInt(option(args, name, Integer.toString(defaultValue)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " must be an integer", e);
        }
    }

    private static String option(String[] args, String name, String defaultValue) {
        for (int i = 0; i + 1 < args.length; i += 2) {
            if (args[i].equals(name)) {
                return args[i + 1];
            }
        }
        return defaultValue;
    }

    private static String defaultJar() {
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
            throw new IllegalArgumentException(
                    "the location of testbed.jar is unknown: --jar is required", e);
        }
    }
}
