package appleridge.testbed.invariants;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts how often each kind of fault has struck a request in each state, over one day or many. */
public final class Coverage {
    private static final RequestState[] STATES = RequestState.values();

    private final Map<String, long[]> hits = new TreeMap<>();

    /** Counts a fault of this kind that strikes a request in this state. */
    public void add(String kind, RequestState state) {
        countsOf(kind)[state.ordinal()]++;
    }

    /** Lists the kind in the table even if it never strikes. */
    public void expect(String kind) {
        countsOf(kind);
    }

    private long[] countsOf(String kind) {
        return hits.computeIfAbsent(kind, name -> new long[STATES.length]);
    }

    /** Adds the counts of another table. */
    public void merge(Coverage other) {
        other.hits.forEach(
                (kind, counts) -> {
                    long[] own = countsOf(kind);
                    for (int i = 0; i < counts.length; i++) {
                        own[i] += counts[i];
                    }
                });
    }

    /** Returns how often this kind struck a request in this state. */
    public long count(String kind, RequestState state) {
        long[] counts = hits.get(kind);
        return counts == null ? 0 : counts[state.ordinal()];
    }

    /** Returns how often any fault struck a request. */
    public long total() {
        long total = 0;
        for (long[] counts : hits.values()) {
            for (long each : counts) {
                total += each;
            }
        }
        return total;
    }

    /** Returns how many possible combinations were struck less often than {@code minimum}. */
    public int cellsBelow(long minimum, ImpossibleCombinations impossible) {
        int below = 0;
        for (Map.Entry<String, long[]> row : hits.entrySet()) {
            for (RequestState state : STATES) {
                if (row.getValue()[state.ordinal()] < minimum
                        && impossible.why(row.getKey(), state) == null) {
                    below++;
                }
            }
        }
        return below;
    }

    /** Returns a table for a terminal; impossible combinations show a dash. */
    public String text(ImpossibleCombinations impossible) {
        int first = "fault".length();
        for (String kind : hits.keySet()) {
            first = Math.max(first, kind.length());
        }
        StringBuilder out = new StringBuilder(4096);
        out.append(pad("fault", -first));
        for (RequestState state : STATES) {
            out.append("  ").append(pad(heading(state), width(state)));
        }
        for (Map.Entry<String, long[]> row : hits.entrySet()) {
            out.append('\n').append(pad(row.getKey(), -first));
            for (RequestState state : STATES) {
                String cell = cell(row.getKey(), state, row.getValue(), impossible);
                out.append("  ").append(pad(cell, width(state)));
            }
        }
        return out.append('\n').toString();
    }

    /** Returns a Markdown table, followed by the reasons for the impossible combinations. */
    public String markdown(ImpossibleCombinations impossible) {
        StringBuilder out = new StringBuilder(4096).append("| fault |");
        StringBuilder rule = new StringBuilder("| --- |");
        for (RequestState state : STATES) {
            out.append(' ').append(heading(state)).append(" |");
            rule.append(" ---: |");
        }
        out.append('\n').append(rule).append('\n');
        hits.forEach(
                (kind, counts) -> {
                    out.append("| ").append(kind).append(" |");
                    for (RequestState state : STATES) {
                        out.append(' ').append(cell(kind, state, counts, impossible)).append(" |");
                    }
                    out.append('\n');
                });
        return out.append('\n').append(impossible.markdown(hits.keySet())).toString();
    }

    private static String cell(
            String kind, RequestState state, long[] counts, ImpossibleCombinations impossible) {
        long count = counts[state.ordinal()];
        return count == 0 && impossible.why(kind, state) != null ? "-" : Long.toString(count);
    }

    static String heading(RequestState state) {
        return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static int width(RequestState state) {
        return Math.max(7, state.name().length());
    }

    /** Pads on the left to {@code width} columns, or on the right if the width is negative. */
    private static String pad(String text, int width) {
        String padding = " ".repeat(Math.max(0, Math.abs(width) - text.length()));
        return width > 0 ? padding + text : text + padding;
    }
}
