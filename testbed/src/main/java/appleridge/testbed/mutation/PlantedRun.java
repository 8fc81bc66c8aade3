package appleridge.testbed.mutation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Pattern;

/**
 * Plays days with each fault planted and tells what the judge says. The faults share nothing, so
 * they run side by side; the findings come in the faults' order and are the same on any number of
 * threads.
 */
public final class PlantedRun {
    private static final Pattern SEED = Pattern.compile("^seed -?\\d+", Pattern.MULTILINE);

    /**
     * Netty logs what reaches the end of a pipeline, with a stack trace each time. Held, or it is
     * lost.
     */
    private final Logger netty = Logger.getLogger("io.netty");

    private final Planter planter;
    private final String className;
    private final UnaryOperator<String> kept;
    private final int threads;
    private final Days sound;

    /**
     * With the days of the product and those kept for the faults.
     *
     * @param threads how many faults are played at once
     */
    public PlantedRun(Planter planter, int threads) {
        this(planter, PlantedDay.class.getName(), KeptDays::packed, threads);
    }

    /**
     * With other days.
     *
     * @param className a class with the methods of {@link PlantedDay}
     * @param kept the day kept for a fault's name; null for none
     */
    PlantedRun(Planter planter, String className, UnaryOperator<String> kept, int threads) {
        this.planter = planter;
        this.className = className;
        this.kept = kept;
        this.threads = threads;
        this.sound = new Days(planter.sound(), className);
        netty.setLevel(Level.OFF);
    }

    /**
     * For each fault, plays seeds until a rule of its breaks on a day that the sound product has no
     * trouble with, and cuts that day down to what it takes.
     *
     * @param from the first seed
     * @param most how many are played at most
     * @param told of each finding as it comes; by one thread at a time
     */
    public List<Finding> search(
            List<PlantedFault> faults, long from, int most, Consumer<Finding> told) {
        return each(faults, fault -> search(fault, from, most), told);
    }

    /** Plays only each fault's kept day; see {@link #isAsRecorded}. */
    public List<Finding> check(List<PlantedFault> faults, Consumer<Finding> told) {
        return each(faults, this::check, told);
    }

    /** Whether what a check found is what was recorded. */
    public static boolean isAsRecorded(Finding finding) {
        PlantedFault.Seen seen = finding.fault().seen();
        return seen != null && finding.rule().equals(seen.rule());
    }

    private Finding search(PlantedFault fault, long from, int most) {
        Days days = new Days(planter.plant(fault), className);
        Finding again = withOtherSeeds(fault, days, from, most);
        if (again != null) {
            return again;
        }
        Finding other = null;
        for (int tried = 1; tried <= most; tried++) {
            long seed = from + tried - 1;
            String said = days.ofSeed(seed);
            if (!said.isEmpty() && sound.ofSeed(seed).isEmpty()) {
                String rule = rule(fault, said);
                Finding finding =
                        new Finding(fault, rule, seed, tried, Days.line(said, rule), null);
                if (finding.expected()) {
                    return new Finding(
                            fault, rule, seed, tried, finding.said(), reduced(days, seed, rule));
                }
                other = other == null ? finding : other;
            }
        }
        return other != null ? other : Finding.none(fault, most, "not found");
    }

    /** A day that was kept and no longer shows the fault may do so by another chance. */
    private Finding withOtherSeeds(PlantedFault fault, Days days, long from, int most) {
        String day = kept.apply(fault.name());
        PlantedFault.Seen seen = fault.seen();
        for (long seed = from; day != null && seen != null && seed < from + most; seed++) {
            String other = SEED.matcher(day).replaceFirst("seed " + seed);
            String said = days.ofPlan(other);
            if (Days.rules(said).contains(seen.rule()) && sound.ofPlan(other).isEmpty()) {
                return new Finding(
                        fault,
                        seen.rule(),
                        seen.seed(),
                        seen.tried(),
                        Days.line(said, seen.rule()),
                        other);
            }
        }
        return null;
    }

    private static String rule(PlantedFault fault, String said) {
        List<String> rules = Days.rules(said);
        return rules.stream().filter(fault.rules()::contains).findFirst().orElse(rules.get(0));
    }

    private String reduced(Days days, long seed, String rule) {
        return new Reducer(
                        text ->
                                Days.rules(days.ofPlan(text)).contains(rule)
                                        && sound.ofPlan(text).isEmpty())
                .reduce(sound.planOf(seed));
    }

    private Finding check(PlantedFault fault) {
        PlantedFault.Seen seen = fault.seen();
        String day = kept.apply(fault.name());
        if (seen == null || day == null) {
            return Finding.none(fault, 0, "no day kept");
        }
        String healthy = sound.ofPlan(day);
        if (!healthy.isEmpty()) {
            return Finding.none(fault, 1, "also without the fault: " + healthy);
        }
        String said = new Days(planter.plant(fault), className).ofPlan(day);
        boolean again = Days.rules(said).contains(seen.rule());
        return again
                ? new Finding(fault, seen.rule(), seen.seed(), 1, Days.line(said, seen.rule()), day)
                : Finding.none(fault, 1, said.isEmpty() ? "not found" : "instead: " + said);
    }

    private List<Finding> each(
            List<PlantedFault> faults,
            Function<PlantedFault, Finding> play,
            Consumer<Finding> told) {
        ExecutorService workers = Executors.newFixedThreadPool(threads);
        try {
            List<Callable<Finding>> tasks = new ArrayList<>();
            for (PlantedFault fault : faults) {
                tasks.add(
                        () -> {
                            Finding finding = play.apply(fault);
                            synchronized (told) {
                                told.accept(finding);
                            }
                            return finding;
                        });
            }
            List<Finding> findings = new ArrayList<>();
            for (Future<Finding> done : workers.invokeAll(tasks)) {
                findings.add(done.get());
            }
            return findings;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } finally {
            workers.shutdownNow();
        }
    }
}
