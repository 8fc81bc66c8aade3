package appleridge.config.operator;

import java.util.Collection;

/** Finds the word that somebody most likely meant. */
final class Nearest {
    private static final int MAX_WORD_CHARS = 64;

    private Nearest() {}

    /** {@code ; did you mean "..."?}, or nothing if no known word is near. */
    static String hint(String word, Collection<String> known) {
        String nearest = null;
        int least = Math.max(1, word.length() / 3) + 1;
        for (String each : known) {
            int distance = distance(word, each);
            if (distance < least && distance < each.length()) {
                nearest = each;
                least = distance;
            }
        }
        return nearest == null ? "" : "; did you mean \"" + nearest + "\"?";
    }

    /**
     * Single characters to be put in, taken out or changed, or changed with their neighbour,
     * regardless of case; what is long is far.
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
