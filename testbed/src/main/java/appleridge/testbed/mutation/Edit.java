package appleridge.testbed.mutation;

import java.util.Arrays;

/**
 * A change of one place in a source. White space does not count where a fragment or block is looked
 * for, so that a formatter that breaks lines elsewhere leaves the recorded fragments valid.
 *
 * @param file the source file without its ending, with as many of its packages ahead as tell it
 *     from others
 * @param within opening line of the block in which the fragment stands once; null for the whole
 *     file
 * @param original the fragment of a statement that is replaced
 * @param replacement what takes its place; may be empty
 */
public record Edit(String file, String within, String original, String replacement) {
    /**
     * The changed source.
     *
     * @throws IllegalStateException if the block or the fragment isn't there exactly once
     */
    String in(String source) {
        Compact compact = Compact.of(source);
        int from = 0;
        int to = compact.text.length();
        if (within != null) {
            String opening = Compact.of(within).text;
            from = onlyPlace(compact.text, opening, 0, to, "block", within);
            to = endOfBlock(compact.text, from + opening.length());
        }
        String fragment = Compact.of(original).text;
        int at = onlyPlace(compact.text, fragment, from, to, "fragment", original);
        int begin = compact.positions[at];
        int end = compact.positions[at + fragment.length() - 1] + 1;
        return source.substring(0, begin) + replacement + source.substring(end);
    }

    private int onlyPlace(
            String source, String text, int from, int to, String kind, String recorded) {
        int first = source.indexOf(text, from);
        if (first < 0 || first + text.length() > to) {
            throw new IllegalStateException(kind + " not found in " + file + ": " + recorded);
        }
        int second = source.indexOf(text, first + 1);
        if (second >= 0 && second + text.length() <= to) {
            throw new IllegalStateException(kind + " more than once in " + file + ": " + recorded);
        }
        return first;
    }

    /**
     * Braces are counted as they come: the product has none in its texts and comments but in pairs.
     */
    private int endOfBlock(String source, int begun) {
        int depth = 1;
        for (int i = begun; i < source.length(); i++) {
            char c = source.charAt(i);
            depth += c == '{' ? 1 : c == '}' ? -1 : 0;
            if (depth == 0) {
                return i;
            }
        }
        throw new IllegalStateException("block without end in " + file + ": " + within);
    }

    /** A text without its white space, and where each of its characters stands in the whole. */
    private record Compact(String text, int[] positions) {
        static Compact of(String whole) {
            StringBuilder text = new StringBuilder(whole.length());
            int[] positions = new int[whole.length()];
            for (int i = 0; i < whole.length(); i++) {
                if (!Character.isWhitespace(whole.charAt(i))) {
                    positions[text.length()] = i;
                    text.append(whole.charAt(i));
                }
            }
            return new Compact(text.toString(), Arrays.copyOf(positions, text.length()));
        }
    }
}
