package appleridge.testbed.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Goes through every order of events, shallow ones first, each state once. States are told apart by
 * 64 bits of their keys: of ten million, two would be taken for one with a chance of three in a
 * million.
 */
public final class StateExplorer {
    /** The step that led here, and the state before. */
    private record Trace(Trace before, byte step) {}

    private record Reached(LeaseModel world, Trace trace, long key) {}

    /**
     * States of which the next ones are made side by side; they are looked at in order all the
     * same.
     */
    private static final int BATCH = 4096;

    private final ExplorationScope scope;
    private final List<int[]> ranks = new ArrayList<>();
    private final LongSet known = new LongSet();

    private StateExplorer(ExplorationScope scope) {
        this.scope = scope;
        permute(new int[scope.rates().length()], 0, 0);
    }

    /**
     * What came of it, in words that cross the border between loaders; a story if something broke.
     */
    public static String explore(String scope) {
        return scope.equals(BudgetShareModel.WORDS)
                ? BudgetShareModel.explore()
                : new StateExplorer(ExplorationScope.of(scope)).explore();
    }

    /** Only holders whose clocks run alike can be taken for one another. */
    private void permute(int[] rank, int at, int used) {
        if (at == rank.length) {
            ranks.add(rank.clone());
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
        known.add(key(start));
        int depth = 0;
        while (depth < scope.depth() && !level.isEmpty()) {
            List<Reached> next = new ArrayList<>();
            depth++;
            for (int from = 0; from < level.size(); from += BATCH) {
                for (Reached reached :
                        after(level.subList(from, Math.min(level.size(), from + BATCH)))) {
                    if (reached.world.violation() != null) {
                        return story(reached.trace, reached.world.violation(), depth);
                    }
                    if (known.add(reached.key)) {
                        next.add(reached);
                    }
                }
            }
            level = next;
        }
        return "sound: "
                + known.size()
                + " states to depth "
                + depth
                + (level.isEmpty() ? ", all" : "");
    }

    private List<Reached> after(List<Reached> batch) {
        return batch.parallelStream()
                .flatMap(
                        reached -> {
                            List<LeaseModel.Step> steps = reached.world.steps();
                            return IntStream.range(0, steps.size())
                                    .mapToObj(
                                            i -> {
                                                LeaseModel world =
                                                        reached.world.after(steps.get(i));
                                                return new Reached(
                                                        world,
                                                        new Trace(reached.trace, (byte) i),
                                                        key(world));
                                            });
                        })
                .toList();
    }

    private long key(LeaseModel world) {
        String least = null;
        for (int[] rank : ranks) {
            String key = world.key(rank);
            least = least == null || key.compareTo(least) < 0 ? key : least;
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < least.length(); i++) {
            hash = (hash ^ least.charAt(i)) * 0x9E3779B97F4A7C15L;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    private String story(Trace last, String broken, int depth) {
        List<Byte> steps = new ArrayList<>();
        for (Trace trace = last; trace != null; trace = trace.before) {
            steps.add(0, trace.step);
        }
        StringBuilder story =
                new StringBuilder(
                        "broken: "
                                + broken
                                + ", at depth "
                                + depth
                                + " after "
                                + known.size()
                                + " states\n");
        LeaseModel world = new LeaseModel(scope);
        for (byte step : steps) {
            LeaseModel.Step taken = world.steps().get(step);
            story.append("  ").append(world.describe(taken)).append('\n');
            world = world.after(taken);
        }
        return story.toString();
    }

    /** A set of numbers other than 0 that takes eight bytes for each, twice over. */
    private static final class LongSet {
        private long[] slots = new long[1 << 16];
        private int size;

        boolean add(long value) {
            if (size * 2 >= slots.length) {
                long[] old = slots;
                slots = new long[old.length * 2];
                Arrays.stream(old).filter(its -> its != 0).forEach(this::put);
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
