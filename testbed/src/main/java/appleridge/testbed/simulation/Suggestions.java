package appleridge.testbed.simulation;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Says of a word that nobody knows what is known instead. */
public final class Suggestions {
    /** More than this are not all told: the nearest ones are. */
    private static final int MOST_TOLD = 8;

    private Suggestions() {}

    /** Such as {@code no such size: sidecar; known: sidecars, servers, ...}. */
    public static String unknownName(String what, String word, Collection<String> known) {
        List<String> nearest =
                known.stream()
                        .sorted(Comparator.comparingInt(each -> distance(word, each)))
                        .limit(MOST_TOLD)
                        .toList();
        return "no such "
                + what
                + ": "
                + word
                + "; known: "
                + String.join(", ", nearest)
                + (known.size() > MOST_TOLD ? ", ..." : "");
    }

    /** Single characters to be put in, taken out or changed; less for what one is a part of. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int changed = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(changed, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        boolean part = a.length() > 2 && (b.contains(a) || a.contains(b));
        return part ? Math.min(1, row[b.length()]) : row[b.length()];
    }
}
