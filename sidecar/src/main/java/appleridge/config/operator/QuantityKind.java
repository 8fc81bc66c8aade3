package appleridge.config.operator;

import java.util.function.LongFunction;
import java.util.function.ToLongFunction;

/** A whole number with a unit behind it. */
record QuantityKind<T extends Comparable<T>>(
        Units units, LongFunction<T> of, ToLongFunction<T> in, T min, T max)
        implements ValueKind<T> {
    static final Units DURATION =
            new Units(
                    "duration",
                    "\"250ms\", \"2s\" or \"1m\"",
                    new String[] {"ms", "s", "m", "h"},
                    new long[] {1, 1000, 60_000, 3_600_000});
    static final Units SIZE =
            new Units(
                    "size",
                    "\"512B\", \"64KiB\" or \"16MiB\"",
                    new String[] {"B", "KiB", "MiB", "GiB"},
                    new long[] {1, 1L << 10, 1L << 20, 1L << 30});

    /** Digits that a number may have: fewer than could overflow with any unit. */
    private static final int MAX_DIGITS = 9;

    /** Names of units and how many of the smallest each is, in rising order. */
    record Units(String what, String examples, String[] names, long[] factors) {}

    @Override
    public T read(SourceValue cell) {
        String text = cell.node().isTextual() ? cell.node().textValue() : "";
        int digits = 0;
        while (digits < text.length() && text.charAt(digits) >= '0' && text.charAt(digits) <= '9') {
            digits++;
        }
        long factor = factor(text.substring(digits));
        if (digits == 0 || digits > MAX_DIGITS || factor == 0) {
            cell.reject("is not a " + units.what + "; write one like " + units.examples);
            return null;
        }
        T value = of.apply(Long.parseLong(text.substring(0, digits)) * factor);
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            cell.reject("is out of range: from " + show(min) + " to " + show(max));
            return null;
        }
        return value;
    }

    @Override
    public String show(T value) {
        long amount = in.applyAsLong(value);
        int unit = units.factors.length - 1;
        while (unit > 0 && (amount == 0 || amount % units.factors[unit] != 0)) {
            unit--;
        }
        return amount / units.factors[unit] + units.names[unit];
    }

    private long factor(String unit) {
        for (int i = 0; i < units.names.length; i++) {
            if (units.names[i].equals(unit)) {
                return units.factors[i];
            }
        }
        return 0;
    }
}
