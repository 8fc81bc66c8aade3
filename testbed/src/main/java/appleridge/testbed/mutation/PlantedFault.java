package appleridge.testbed.mutation;

import java.util.List;

/**
 * One thing made wrong in the product on purpose, mostly one line, and what the judge should say to
 * it.
 *
 * @param name short, of lower-case words joined by hyphens
 * @param what what is wrong, in a sentence
 * @param edits what is changed: more than one place only where another line guards against the same
 * @param rules the rules of which the judge should report one
 * @param unseen why no day can show it; null for one that is to be found
 * @param seen where it was found; null while it wasn't
 */
public record PlantedFault(
        String name, String what, List<Edit> edits, List<String> rules, String unseen, Seen seen) {
    /**
     * Where a fault was found: on the day that is kept under its name.
     *
     * @param rule the rule reported broken
     * @param seed the seed from which that day was drawn
     * @param tried seeds played until then, this one too; 0 for a day written by hand
     */
    public record Seen(String rule, long seed, int tried) {}

    /** Whether it is to be found. */
    boolean showable() {
        return unseen == null;
    }
}
