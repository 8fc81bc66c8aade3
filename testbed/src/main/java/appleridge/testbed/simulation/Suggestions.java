package appleridge.testbed.simulation;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Error messages for unknown names, with the known names most similar to them. */
public final class Suggestions {
    /** How many known names a message lists at most. */
    private static final int MAX_SUGGESTIONS = 8;

    private Suggestions() {}

    /** Returns a message such as {@code no such size: sidecar; known: sidecars, servers, ...}. */
    public static String unknownName(String what, String word, Collection<String> known) {
        List<String> nearest =
                known.stream()
                        .sorted(Comparator.comparingInt(each -> distance(word, each)))
                        .limit(MAX_SUGGESTIONS)
                        .toList();
        return "no such "
                + what
                + ": "
                + word
                + "; known: "
                + String.join(", ", nearest)
                + (known.size() > MAX_SUGGESTIONS ? ", ..." : "");
    }

    /** The edit distance between two words; at most 1 if one contains the other. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substituted, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        boolean contained = a.length() > 2 && (b.contains(a) || a.contains(b));
        return contained ? Math.min(1, row[b.length()]) : row[b.length()];
    }
}
