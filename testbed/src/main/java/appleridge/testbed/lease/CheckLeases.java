package appleridge.testbed.lease;

import appleridge.testbed.mutation.Planter;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * The command {@code check-leases}: explores the state space of the lease, and of the lease without
 * each safety assumption.
 */
public final class CheckLeases {
    private static final String USAGE =
            """
            usage: check-leases [--deeper N] [--stories] [NAME...]
              explores the product's lease in every order of events, to the depth of each \
              scope plus N;
              then without each of the named assumptions (default: all), where a violation \
              must be found;
              --stories prints the events that lead to each violation
            """;

    /** Scopes with two and three holders, with clocks at their drift bounds or at equal rates. */
    private static final List<String> SOUND_SCOPES =
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

    /** Creates the command; it writes its results to {@code out}. */
    public CheckLeases(PrintStream out) {
        this.out = out;
    }

    /**
     * Returns the exit status: 0 if the product has no violation and one is found without each
     * assumption, 1 otherwise, 2 for invalid arguments.
     */
    public int run(String... args) throws IOException {
        List<String> names = new ArrayList<>(Arrays.asList(args));
        boolean stories = names.remove("--stories");
        int deeper = 0;
        int deeperIndex = names.indexOf("--deeper");
        try {
            if (deeperIndex >= 0) {
                names.remove(deeperIndex);
                deeper =
                        Integer.parseInt(
                                deeperIndex < names.size() ? names.remove(deeperIndex) : "");
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
     * Explores the unchanged product, including in the scopes of the assumptions: a violation found
     * without an assumption is conclusive only if none is found in that scope with it.
     */
    private boolean exploreSound(int deeper) {
        List<String> scopes =
                Stream.concat(
                                SafetyAssumption.ALL.stream()
                                        .filter(assumption -> !assumption.edits().isEmpty())
                                        .map(SafetyAssumption::scope)
                                        .filter(scope -> !scope.equals(BudgetShareModel.SCOPE)),
                                SOUND_SCOPES.stream())
                        .distinct()
                        .toList();
        boolean sound = true;
        for (String text : scopes) {
            ExplorationScope scope = ExplorationScope.of(text);
            String result = StateExplorer.explore(scope.withDepth(scope.depth() + deeper).text());
            out.println(text + ": " + result);
            sound &= result.startsWith("sound");
        }
        String shares = StateExplorer.explore(BudgetShareModel.SCOPE);
        out.println(BudgetShareModel.SCOPE + ": " + shares);
        return sound && shares.startsWith("sound");
    }

    /**
     * Explores the product without each named assumption, or without each of all if none is named.
     */
    private boolean exploreWithoutAssumptions(List<String> names, boolean stories)
            throws IOException {
        Planter planter = new Planter();
        boolean broken = true;
        for (SafetyAssumption assumption : SafetyAssumption.ALL) {
            if (names.isEmpty() || names.contains(assumption.name())) {
                String result = exploreWithout(assumption, planter);
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

    /**
     * Returns the result of {@link StateExplorer#explore} on the product without this assumption.
     */
    static String exploreWithout(SafetyAssumption assumption, Planter planter) {
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
