package appleridge.testbed.lease;

import appleridge.lease.LeaseParameters;
import java.util.List;

/**
 * The bounds of one exploration. A tick is four units of true time; a clock at its drift bound
 * counts three or five units in a tick.
 *
 * @param fenced whether the protected resource rejects older tokens
 * @param held whether the first holder has the lease at the start
 * @param rates one digit per holder: the units that its clock counts in a tick
 * @param faults maximum number of faults: a message is lost, delayed or duplicated, a connection
 *     breaks or a holder stops; without faults only a pause lasts a tick or longer
 * @param kinds the kinds of faults of the first holder, separated by commas, or "all" for all kinds
 *     at every holder
 * @param releases maximum number of releases by all holders
 * @param reacquisitions maximum number of further acquisitions by all holders
 * @param pause maximum ticks between a check and the operation that it permits
 * @param depth maximum number of consecutive events
 */
record ExplorationScope(
        boolean fenced,
        boolean held,
        String rates,
        int faults,
        String kinds,
        int releases,
        int reacquisitions,
        int pause,
        int depth) {
    static final int UNITS_PER_TICK = 4;

    /** Ticks that an operation lasts. */
    static final int OPERATION_TICKS = 1;

    /** Reading of every clock at the start, in units. */
    static final int START_UNITS = 10;

    private static final int TERM_UNITS = 16;
    private static final int DRIFT_PPM = 250_000;

    /** Maximum age of the clock reading that a holder uses, in units. */
    static final int MAX_READING_AGE_UNITS = 5;

    /** Parses the format of {@link #text}. */
    static ExplorationScope of(String text) {
        String[] word = text.split(" ");
        int[] number = new int[word.length];
        for (int i = 5; i < word.length; i++) {
            number[i] = Integer.parseInt(word[i]);
        }
        return new ExplorationScope(
                word[0].equals("fenced"),
                word[1].equals("held"),
                word[2],
                Integer.parseInt(word[3]),
                word[4],
                number[5],
                number[6],
                number[7],
                number[8]);
    }

    /** The components in their order, separated by spaces. */
    String text() {
        return String.join(
                " ",
                fenced ? "fenced" : "timed",
                held ? "held" : "asked",
                rates,
                "" + faults,
                kinds,
                "" + releases,
                "" + reacquisitions,
                "" + pause,
                "" + depth);
    }

    ExplorationScope withDepth(int newDepth) {
        return new ExplorationScope(
                fenced, held, rates, faults, kinds, releases, reacquisitions, pause, newDepth);
    }

    /** Whether faults of this kind happen to this holder. */
    boolean includes(LeaseModel.Kind fault, int holder) {
        return kinds.equals("all")
                || holder == 0 && List.of(kinds.split(",")).contains(fault.name());
    }

    /** Lease parameters that are safe in this scope if a pause lasts at most one tick. */
    LeaseParameters parameters() {
        return fenced
                ? LeaseParameters.fenced(TERM_UNITS, DRIFT_PPM, MAX_READING_AGE_UNITS, 5)
                : LeaseParameters.timed(
                        TERM_UNITS,
                        DRIFT_PPM,
                        MAX_READING_AGE_UNITS,
                        5,
                        UNITS_PER_TICK,
                        OPERATION_TICKS * UNITS_PER_TICK);
    }
}
