package appleridge.testbed.invariants;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** How often each kind of fault has struck a request in each state, over one day or many. */
public final class Coverage {
    private static final RequestState[] STATES = RequestState.values();

    private final Map<String, long[]> hits = new TreeMap<>();

    /** A fault strikes a request in that state. */
    public void add(String kind, RequestState state) {
        countsOf(kind)[state.ordinal()]++;
    }

    /** The kind is on the table, though it may never strike. */
    public void expect(String kind) {
        countsOf(kind);
    }

    private long[] countsOf(String kind) {
        return hits.computeIfAbsent(kind, name -> new long[STATES.length]);
    }

    /** Adds what another has counted. */
    public void merge(Coverage other) {
        other.hits.forEach(
                (kind, counts) -> {
                    long[] own = countsOf(kind);
                    for (int i = 0; i < counts.length; i++) {
                        own[i] += counts[i];
                    }
                });
    }

    /** How often that happened. */
    public long count(String kind, RequestState state) {
        long[] counts = hits.get(kind);
        return counts == null ? 0 : counts[state.ordinal()];
    }

    /** How often a fault struck a request, all in all. */
    public long total() {
        long total = 0;
        for (long[] counts : hits.values()) {
            for (long each : counts) {
                total += each;
            }
        }
        return total;
    }

    /** How many cells that can happen were struck less often than that. */
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

    /** For a terminal; what can't happen is a dash. */
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

    /** For a document, with the reasons for what can't happen below. */
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

    /** To the right of so many places; to the left if they are negative. */
    private static String pad(String text, int width) {
        String padding = " ".repeat(Math.max(0, Math.abs(width) - text.length()));
        return width > 0 ? padding + text : text + padding;
    }
}
