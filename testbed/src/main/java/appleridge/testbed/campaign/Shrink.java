package appleridge.testbed.campaign;

import appleridge.testbed.invariants.InvariantViolation;
import appleridge.testbed.invariants.Rule;
import appleridge.testbed.invariants.Verdict;
import appleridge.testbed.simulation.Plan;
import appleridge.testbed.simulation.Suggestions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * {@code shrink}: cuts a day that breaks a rule down to what matters, and writes it as a scenario.
 *
 * <pre>
 * shrink --seed N | --scenario FILE [--rule RULE] [--out FILE] [--plays N]
 * </pre>
 */
public final class Shrink {
    private static final String USAGE =
            "usage: shrink --seed N | --scenario FILE [--rule RULE] [--out FILE] [--plays N]";
    private static final int PLAYS = 1000;

    private final PrintStream out;
    private final PrintStream err;

    /** With where results and problems are written. */
    public Shrink(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs a command line without its first word; the exit status is 1 if there is nothing to
     * shrink.
     */
    public int run(String... words) {
        try {
            return run(new Options(words));
        } catch (IllegalArgumentException | IOException e) {
            err.println("shrink: " + e.getMessage());
            err.println(USAGE);
            return 2;
        }
    }

    private int run(Options options) throws IOException {
        String seed = options.value("--seed");
        String scenario = options.value("--scenario");
        String rule = options.value("--rule");
        String file = options.value("--out");
        int most = options.number("--plays", 0, PLAYS);
        options.done();
        if (seed == null == (scenario == null)) {
            throw new IllegalArgumentException("a seed or a scenario is to be given");
        }
        Plan plan =
                scenario != null
                        ? ScenarioFile.read(scenario)
                        : Plan.draw(Options.whole("--seed", seed));
        Rule sought = rule == null ? null : rule(rule);
        // Netty logs what reaches the end of a pipeline, with a stack trace each time.
        Logger.getLogger("io.netty").setLevel(Level.OFF);
        InvariantViolation broken = broken(plan, sought);
        if (broken == null) {
            err.println(
                    "shrink: "
                            + (rule == null ? "no rule" : rule)
                            + " broken on seed "
                            + plan.seed());
            return 1;
        }
        write(plan, broken.rule(), most, file);
        return 0;
    }

    private static Rule rule(String word) {
        List<String> known = Arrays.stream(Rule.values()).map(Rule::name).toList();
        String name = word.toUpperCase(Locale.ROOT).replace('-', '_');
        if (!known.contains(name)) {
            throw new IllegalArgumentException(Suggestions.unknownName("rule", word, known));
        }
        return Rule.valueOf(name);
    }

    private void write(Plan plan, Rule rule, int most, String file) throws IOException {
        Shrinker shrinker = new Shrinker(each -> broken(each, rule) != null, most);
        Plan left = shrinker.shrink(plan);
        String text =
                "# "
                        + broken(left, rule)
                        + "\n# Cut down from seed "
                        + plan.seed()
                        + ".\n"
                        + left.text();
        if (file == null) {
            out.print(text);
        } else {
            Files.writeString(Path.of(file), text);
        }
        out.println(
                rule
                        + ": "
                        + left.faults().size()
                        + " of "
                        + plan.faults().size()
                        + " faults and "
                        + left.nonDefaultParameters().size()
                        + " of "
                        + plan.nonDefaultParameters().size()
                        + " unusual sizes are left after "
                        + shrinker.plays()
                        + " plays");
    }

    /** The first time that the rule broke, or any if none is named; null if it didn't. */
    private static InvariantViolation broken(Plan plan, Rule rule) {
        Verdict verdict = DayPlayer.playOrCrash(plan);
        return verdict.violations().stream()
                .filter(each -> rule == null || each.rule() == rule)
                .findFirst()
                .orElse(null);
    }
}
