package appleridge.testbed.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Explores every order of events breadth-first, visiting each state once. States are identified by
 * 64-bit hashes of their keys: among ten million states, the probability of a collision is about
 * three in a million.
 */
public final class StateExplorer {
    /** The index of the step that led to a state, and the trace of the state before. */
    private record Trace(Trace before, byte step) {}

    private record Reached(LeaseModel state, Trace trace, long key) {}

    /**
     * Number of states whose successors are computed in parallel. The successors are examined in
     * order, so the result does not depend on threads.
     */
    private static final int BATCH = 4096;

    private final ExplorationScope scope;
    private final List<int[]> permutations = new ArrayList<>();
    private final LongSet visited = new LongSet();

    private StateExplorer(ExplorationScope scope) {
        this.scope = scope;
        permute(new int[scope.rates().length()], 0, 0);
    }

    /**
     * Explores a scope and returns the result, starting with "sound" or "broken"; after "broken"
     * follows the trace of events. Takes and returns strings because the caller may use another
     * class loader.
     */
    public static String explore(String scope) {
        return scope.equals(BudgetShareModel.SCOPE)
                ? BudgetShareModel.explore()
                : new StateExplorer(ExplorationScope.of(scope)).explore();
    }

    /** Adds all permutations that exchange only holders with equal clock rates. */
    private void permute(int[] rank, int at, int used) {
        if (at == rank.length) {
            permutations.add(rank.clone());
        }
        for (int place = 0; at < rank.length && place < rank.length; place++) {
            if ((used & 1 << place) == 0
                    && scope.rates().charAt(place) == scope.rates().charAt(at)) {
                rank[at] = place;
                permute(rank, at + 1, used | 1 << place);
            }
        }
    }

    private String explore() {
        LeaseModel start = new LeaseModel(scope);
        List<Reached> level = List.of(new Reached(start, null, key(start)));
        visited.add(key(start));
        int depth = 0;
        while (depth < scope.depth() && !level.isEmpty()) {
            List<Reached> next = new ArrayList<>();
            depth++;
            for (int from = 0; from < level.size(); from += BATCH) {
                for (Reached reached :
                        successors(level.subList(from, Math.min(level.size(), from + BATCH)))) {
                    if (reached.state.violation() != null) {
                        return describeViolation(reached.trace, reached.state.violation(), depth);
                    }
                    if (visited.add(reached.key)) {
                        next.add(reached);
                    }
                }
            }
            level = next;
        }
        return "sound: "
                + visited.size()
                + " states to depth "
                + depth
                + (level.isEmpty() ? ", all" : "");
    }

    private List<Reached> successors(List<Reached> batch) {
        return batch.parallelStream()
                .flatMap(
                        reached -> {
                            List<LeaseModel.Step> steps = reached.state.steps();
                            return IntStream.range(0, steps.size())
                                    .mapToObj(
                                            i -> {
                                                LeaseModel state =
                                                        reached.state.after(steps.get(i));
                                                return new Reached(
                                                        state,
                                                        new Trace(reached.trace, (byte) i),
                                                        key(state));
                                            });
                        })
                .toList();
    }

    private long key(LeaseModel state) {
        String canonical = null;
        for (int[] rank : permutations) {
            String key = state.key(rank);
            canonical = canonical == null || key.compareTo(canonical) < 0 ? key : canonical;
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < canonical.length(); i++) {
            hash = (hash ^ canonical.charAt(i)) * 0x9E3779B97F4A7C15L;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    private String describeViolation(Trace last, String violation, int depth) {
        List<Byte> steps = new ArrayList<>();
        for (Trace trace = last; trace != null; trace = trace.before) {
            steps.add(0, trace.step);
        }
        StringBuilder text =
                new StringBuilder(
                        "broken: "
                                + violation
                                + ", at depth "
                                + depth
                                + " after "
                                + visited.size()
                                + " states\n");
        LeaseModel state = new LeaseModel(scope);
        for (byte step : steps) {
            LeaseModel.Step taken = state.steps().get(step);
            text.append("  ").append(state.describe(taken)).append('\n');
            state = state.after(taken);
        }
        return text.toString();
    }

    /** A set of longs with open addressing, at most half full; 0 is stored as 1. */
    private static final class LongSet {
        private long[] slots = new long[1 << 16];
        private int size;

        boolean add(long value) {
            if (size * 2 >= slots.length) {
                long[] old = slots;
                slots = new long[old.length * 2];
                Arrays.stream(old).filter(each -> each != 0).forEach(this::put);
            }
            boolean added = put(value == 0 ? 1 : value);
            size += added ? 1 : 0;
            return added;
        }

        private boolean put(long value) {
            int at = (int) (value & slots.length - 1);
            while (slots[at] != 0) {
                if (slots[at] == value) {
                    return false;
                }
                at = at + 1 & slots.length - 1;
            }
            slots[at] = value;
            return true;
        }

        int size() {
            return size;
        }
    }
}
