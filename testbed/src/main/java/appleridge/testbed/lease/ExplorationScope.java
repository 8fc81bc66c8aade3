package appleridge.testbed.lease;

import appleridge.lease.LeaseParameters;
import java.util.List;

/**
 * What is explored. A tick is four units of true time; a clock at its bound counts three or five of
 * them.
 *
 * @param fenced whether the thing acted on refuses older tokens
 * @param held whether the first holder has the lease at the start
 * @param rates the units that each holder's clock counts in a tick, a digit each: as many holders
 * @param faults how often in all a message is lost, delayed or doubled, a connection breaks or a
 *     holder stops; else nothing takes a tick but a pause
 * @param kinds the faults of the first holder, their names joined by commas, or "all" for all of
 *     each
 * @param leaves how often a holder may leave, in all
 * @param again how often a holder may ask again, in all
 * @param pause ticks between a check and its act, at most
 * @param depth events in a row
 */
record ExplorationScope(
        boolean fenced,
        boolean held,
        String rates,
        int faults,
        String kinds,
        int leaves,
        int again,
        int pause,
        int depth) {
    static final int UNITS = 4;

    /** The ticks for which an act goes on. */
    static final int ACT = 1;

    /** What all clocks show at the start. */
    static final int START = 10;

    private static final int TERM = 16;
    private static final int QUARTER_PPM = 250_000;

    /** Units by which a time may be old that a holder reads. */
    static final int OLD = 5;

    /** From its own words. */
    static ExplorationScope of(String words) {
        String[] word = words.split(" ");
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

    String words() {
        return String.join(
                " ",
                fenced ? "fenced" : "timed",
                held ? "held" : "asked",
                rates,
                "" + faults,
                kinds,
                "" + leaves,
                "" + again,
                "" + pause,
                "" + depth);
    }

    ExplorationScope withDepth(int other) {
        return new ExplorationScope(
                fenced, held, rates, faults, kinds, leaves, again, pause, other);
    }

    boolean has(LeaseModel.Kind fault, int holder) {
        return kinds.equals("all")
                || holder == 0 && List.of(kinds.split(",")).contains(fault.name());
    }

    /** The terms that hold here if a pause lasts no longer than a tick. */
    LeaseParameters terms() {
        return fenced
                ? LeaseParameters.fenced(TERM, QUARTER_PPM, OLD, 5)
                : LeaseParameters.timed(TERM, QUARTER_PPM, OLD, 5, UNITS, ACT * UNITS);
    }
}
