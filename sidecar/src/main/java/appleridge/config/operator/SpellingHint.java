package appleridge.config.operator;

import java.util.Collection;

/** Suggests the known word that is most similar to an unknown one. */
final class SpellingHint {
    private static final int MAX_WORD_CHARS = 64;

    private SpellingHint() {}

    /** {@code ; did you mean "..."?}, or an empty string if no known word is similar. */
    static String hint(String word, Collection<String> known) {
        String nearest = null;
        int minDistance = Math.max(1, word.length() / 3) + 1;
        for (String each : known) {
            int distance = distance(word, each);
            if (distance < minDistance && distance < each.length()) {
                nearest = each;
                minDistance = distance;
            }
        }
        return nearest == null ? "" : "; did you mean \"" + nearest + "\"?";
    }

    /**
     * The edit distance: the number of characters to insert, delete, substitute or transpose with
     * their neighbour, ignoring case. Words over {@value #MAX_WORD_CHARS} characters have the
     * maximum distance from any other.
     */
    private static int distance(String a, String b) {
        if (a.length() > MAX_WORD_CHARS || b.length() > MAX_WORD_CHARS) {
            return Integer.MAX_VALUE;
        }
        int[][] distances = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                distances[i][j] =
                        i == 0
                                ? j
                                : j == 0
                                        ? i
                                        : Math.min(
                                                distances[i - 1][j - 1]
                                                        + (same(a, i, b, j) ? 0 : 1),
                                                Math.min(distances[i - 1][j], distances[i][j - 1])
                                                        + 1);
                if (i > 1 && j > 1 && same(a, i, b, j - 1) && same(a, i - 1, b, j)) {
                    distances[i][j] = Math.min(distances[i][j], distances[i - 2][j - 2] + 1);
                }
            }
        }
        return distances[a.length()][b.length()];
    }

    /**
     * Whether the {@code i}-th character of one word is the {@code j}-th of the other, counted from
     * 1.
     */
    private static boolean same(String a, int i, String b, int j) {
        return Character.toLowerCase(a.charAt(i - 1)) == Character.toLowerCase(b.charAt(j - 1));
    }
}
