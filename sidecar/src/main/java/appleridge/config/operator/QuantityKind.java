package appleridge.config.operator;

import java.util.function.LongFunction;
import java.util.function.ToLongFunction;

/** A whole number followed by a unit, such as a duration or a size. */
record QuantityKind<T extends Comparable<T>>(
        Units units, LongFunction<T> fromAmount, ToLongFunction<T> toAmount, T min, T max)
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

    /** Maximum number of digits; 9 digits can't overflow with any unit. */
    private static final int MAX_DIGITS = 9;

    /** Names of units and their sizes in the smallest unit, in ascending order. */
    record Units(String quantity, String examples, String[] names, long[] factors) {}

    @Override
    public T read(SourceValue source) {
        String text = source.node().isTextual() ? source.node().textValue() : "";
        int digits = 0;
        while (digits < text.length() && text.charAt(digits) >= '0' && text.charAt(digits) <= '9') {
            digits++;
        }
        long factor = factor(text.substring(digits));
        if (digits == 0 || digits > MAX_DIGITS || factor == 0) {
            source.reject("is not a " + units.quantity + "; write one like " + units.examples);
            return null;
        }
        T value = fromAmount.apply(Long.parseLong(text.substring(0, digits)) * factor);
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            source.reject("is out of range: from " + format(min) + " to " + format(max));
            return null;
        }
        return value;
    }

    @Override
    public String format(T value) {
        long amount = toAmount.applyAsLong(value);
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
