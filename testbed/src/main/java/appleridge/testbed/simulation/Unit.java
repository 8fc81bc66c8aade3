package appleridge.testbed.simulation;

import java.math.BigDecimal;

/** How a number of a plan is written: as it is kept in a long, and as a person reads it. */
enum Unit {
    /** A whole number. */
    COUNT(0),
    /** Kept in nanoseconds, written in seconds. */
    TIME(9),
    /** Kept in millionths, written as a decimal. */
    PART(6);

    private final int digits;

    Unit(int digits) {
        this.digits = digits;
    }

    String text(long value) {
        return BigDecimal.valueOf(value, digits).stripTrailingZeros().toPlainString();
    }

    /** The number that a text names; what it can't hold exactly is refused. */
    long parse(String text) {
        try {
            if (!text.isEmpty()
                    && text.length() < 24
                    && text.indexOf('e') < 0
                    && text.indexOf('E') < 0) {
                return new BigDecimal(text).movePointRight(digits).longValueExact();
            }
        } catch (ArithmeticException | NumberFormatException e) {
            // Told below, together with what has a form that no plan has.
        }
        throw new IllegalArgumentException("not a number here: " + text);
    }
}
