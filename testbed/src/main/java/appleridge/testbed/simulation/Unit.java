package appleridge.testbed.simulation;

import java.math.BigDecimal;

/** Converts numbers of a plan between the long that stores them and decimal text. */
enum Unit {
    /** An integer. */
    COUNT(0),
    /** A time: stored in nanoseconds, written in seconds. */
    TIME(9),
    /** A fraction: stored in millionths, written as a decimal. */
    PART(6);

    private final int decimals;

    Unit(int decimals) {
        this.decimals = decimals;
    }

    String text(long value) {
        return BigDecimal.valueOf(value, decimals).stripTrailingZeros().toPlainString();
    }

    /**
     * Parses a decimal number without exponent.
     *
     * @throws IllegalArgumentException if the text is no such number, or the stored unit can't hold
     *     it exactly
     */
    long parse(String text) {
        try {
            if (!text.isEmpty()
                    && text.length() < 24
                    && text.indexOf('e') < 0
                    && text.indexOf('E') < 0) {
                return new BigDecimal(text).movePointRight(decimals).longValueExact();
            }
        } catch (ArithmeticException | NumberFormatException e) {
            // Reported below, as are exponents and overlong texts.
        }
        throw new IllegalArgumentException(
                "not a number of at most " + decimals + " decimals: " + text);
    }
}
