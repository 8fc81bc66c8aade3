package appleridge.testbed.lease;

import appleridge.testbed.mutation.Planter;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** The command line that explores the lease, and what is left of it without each assumption. */
public final class CheckLeases {
    private static final String USAGE =
            """
            usage: check-leases [--deeper N] [--stories] [NAME...]
              explores the product's lease in every order of events, to a depth of each \
              scope and N deeper;
              then without the assumptions of these names, or each: a story must come of it
            """;

    /** Two holders and three, clocks at their bounds or alike. */
    private static final List<String> SOUND =
            List.of(
                    "timed held 35 1 all 0 0 1 26",
                    "timed asked 35 1 all 1 1 1 13",
                    "timed held 53 2 all 0 0 1 13",
                    "timed held 44 1 all 1 1 1 12",
                    "timed asked 355 1 all 0 0 1 12",
                    "timed held 345 1 all 1 0 1 10",
                    "fenced held 44 1 all 0 1 1 16",
                    "fenced asked 444 1 all 1 0 1 10");

    private final PrintStream out;

    /** With where it writes what it has to say. */
    public CheckLeases(PrintStream out) {
        this.out = out;
    }

    /** The exit status is 0 only if the product is sound and nothing else is. */
    public int run(String... words) throws IOException {
        List<String> names = new ArrayList<>(Arrays.asList(words));
        boolean stories = names.remove("--stories");
        int deeper = 0;
        int at = names.indexOf("--deeper");
        try {
            if (at >= 0) {
                names.remove(at);
                deeper = Integer.parseInt(at < names.size() ? names.remove(at) : "");
            }
        } catch (NumberFormatException e) {
            names.add(USAGE);
        }
        if (!SafetyAssumption.ALL.stream()
                .map(SafetyAssumption::name)
                .toList()
                .containsAll(names)) {
            out.print(USAGE);
            return 2;
        }
        boolean sound = exploreSound(deeper);
        boolean broken = exploreWithoutAssumptions(names, stories);
        return sound && broken ? 0 : 1;
    }

    /**
     * The product as it is; also in the scopes of the assumptions, for what is found without one
     * says little unless nothing is found there with it.
     */
    private boolean exploreSound(int deeper) {
        List<String> scopes =
                Stream.concat(
                                SafetyAssumption.ALL.stream()
                                        .filter(its -> !its.edits().isEmpty())
                                        .map(SafetyAssumption::scope)
                                        .filter(its -> !its.equals(BudgetShareModel.WORDS)),
                                SOUND.stream())
                        .distinct()
                        .toList();
        boolean sound = true;
        for (String words : scopes) {
            ExplorationScope scope = ExplorationScope.of(words);
            String result = StateExplorer.explore(scope.withDepth(scope.depth() + deeper).words());
            out.println(words + ": " + result);
            sound &= result.startsWith("sound");
        }
        String shares = StateExplorer.explore(BudgetShareModel.WORDS);
        out.println(BudgetShareModel.WORDS + ": " + shares);
        return sound && shares.startsWith("sound");
    }

    /** The product without each of these assumptions, or of all: a violation must be found. */
    private boolean exploreWithoutAssumptions(List<String> names, boolean stories)
            throws IOException {
        Planter planter = new Planter();
        boolean broken = true;
        for (SafetyAssumption assumption : SafetyAssumption.ALL) {
            if (names.isEmpty() || names.contains(assumption.name())) {
                String result = without(assumption, planter);
                out.println(
                        assumption.name()
                                + ": "
                                + assumption.what()
                                + ": "
                                + (stories ? result : result.lines().findFirst().orElse("")));
                broken &= result.startsWith("broken");
            }
        }
        return broken;
    }

    static String without(SafetyAssumption assumption, Planter planter) {
        try {
            ClassLoader loader = planter.plant(assumption.fault());
            return (String)
                    loader.loadClass(StateExplorer.class.getName())
                            .getMethod("explore", String.class)
                            .invoke(null, assumption.scope());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(assumption.name(), e);
        }
    }
}
