package appleridge.testbed.campaign;

import appleridge.testbed.invariants.ImpossibleCombinations;
import appleridge.testbed.invariants.Verdict;
import appleridge.testbed.simulation.Plan;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * {@code simulate}: plays days from seeds or from a scenario.
 *
 * <pre>
 * simulate --seeds 1-10000 [--threads N] [--coverage [FILE.md]]
 * simulate --seed N [--trace]
 * simulate --scenario FILE [--trace]
 * simulate --scenarios
 * </pre>
 */
public final class Simulate {
    private static final String USAGE =
            "usage: simulate --seeds FROM-TO [--threads N] [--coverage [FILE.md]]\n"
                + "       simulate --seed N [--trace] | --scenario FILE [--trace] | --scenarios";
    private static final int MOST_SHOWN = 400;

    private final PrintStream out;
    private final PrintStream err;

    /** With where results and problems are written. */
    public Simulate(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs a command line without its first word; the exit status is 0 if no rule broke. */
    public int run(String... words) {
        try {
            return run(new Options(words));
        } catch (IllegalArgumentException | IOException e) {
            err.println("simulate: " + e.getMessage());
            err.println(USAGE);
            return 2;
        }
    }

    private int run(Options options) throws IOException {
        boolean trace = options.flag("--trace");
        boolean scenarios = options.flag("--scenarios");
        String coverage = options.valueIfAny("--coverage");
        String scenario = options.value("--scenario");
        String seed = options.value("--seed");
        String seeds = options.value("--seeds");
        int threads = options.number("--threads", 1, 0);
        options.done();
        int ways =
                (scenarios ? 1 : 0)
                        + (scenario == null ? 0 : 1)
                        + (seed == null ? 0 : 1)
                        + (seeds == null ? 0 : 1);
        require(
                ways == 1,
                ways == 0
                        ? "nothing to play"
                        : "one of --seeds, --seed, --scenario and --scenarios at a time");
        require(
                !trace || seed != null || scenario != null,
                "--trace is for one day: --seed or --scenario");
        require(
                coverage == null && threads == 0 || seeds != null,
                "--coverage and --threads go with --seeds");
        if (scenarios) {
            return kept();
        }
        if (scenario != null) {
            return one(ScenarioFile.read(scenario), trace);
        }
        if (seed != null) {
            return one(Plan.draw(Options.whole("--seed", seed)), trace);
        }
        String[] ends = seeds.split("-", 2);
        long from = Options.whole("the first of --seeds", ends[0]);
        long to = Options.whole("the last of --seeds", ends[ends.length - 1]);
        require(from <= to, "no seeds from " + from + " to " + to);
        // Its successor, and how many there are, must be numbers too.
        require(to < Long.MAX_VALUE, "no seed as high as " + to);
        return many(
                from,
                to,
                threads == 0 ? Runtime.getRuntime().availableProcessors() : threads,
                coverage);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    private int one(Plan plan, boolean trace) {
        if (trace) {
            out.println(plan.text());
        }
        Verdict verdict = DayPlayer.play(plan, trace ? out::println : null);
        out.println(verdict.text());
        return verdict.passed() ? 0 : 1;
    }

    /** Plays all scenarios that are kept with the testbed. */
    private int kept() throws IOException {
        List<Scenarios.Scenario> kept = Scenarios.kept();
        int broken = 0;
        for (Scenarios.Scenario each : kept) {
            Verdict verdict = DayPlayer.playOrCrash(each.plan());
            if (!verdict.passed()) {
                broken += verdict.violations().size();
                out.println(each.name() + ": " + each.what());
                out.println(verdict.text());
            }
        }
        out.println(kept.size() + " scenarios, " + broken + " broken rules");
        return broken == 0 ? 0 : 1;
    }

    private int many(long from, long to, int threads, String coverage) throws IOException {
        Campaign campaign = new Campaign(from, to, threads);
        campaign.onProgress((done, all) -> err.println(done + " of " + all + " seeds"));
        Campaign.Result result = campaign.run();
        int shown = 0;
        for (Verdict bad : result.bad()) {
            if (shown++ < MOST_SHOWN) {
                out.println(bad.text());
            }
        }
        if (coverage != null && coverage.isEmpty()) {
            out.println(result.coverage().text(ImpossibleCombinations.usual()));
        } else if (coverage != null) {
            Files.writeString(
                    Path.of(coverage), result.coverage().markdown(ImpossibleCombinations.usual()));
        }
        out.println(result.counts());
        out.println(result.line());
        return result.brokenRules() == 0 ? 0 : 1;
    }
}
