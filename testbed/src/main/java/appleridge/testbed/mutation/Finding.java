package appleridge.testbed.mutation;

/**
 * What came of playing days with one fault planted.
 *
 * @param rule a rule reported broken, one of the fault's if any is; empty if none was
 * @param seed the day on which it was; of no meaning if none was
 * @param tried days played; 0 if the day was written by hand
 * @param said what the judge said to it, or why there is no finding
 * @param day the day, cut down to what it takes; null if none is known
 */
public record Finding(
        PlantedFault fault, String rule, long seed, int tried, String said, String day) {
    static Finding none(PlantedFault fault, int tried, String why) {
        return new Finding(fault, "", 0, tried, why, null);
    }

    /** Whether the judge has seen anything. */
    public boolean found() {
        return !rule.isEmpty();
    }

    /** Whether it saw what the fault breaks. */
    public boolean expected() {
        return fault.rules().contains(rule);
    }
}
