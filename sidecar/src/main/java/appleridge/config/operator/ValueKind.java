package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/** A type of setting: how its value is read from a file and shown to an operator. Immutable. */
interface ValueKind<T> {
    /** Reads a value. If it is not allowed, reports a problem and returns null. */
    T read(SourceValue source);

    /** Formats a value as in the file, without quotes. */
    String format(T value);

    /**
     * A duration in whole milliseconds with a unit, from {@code min} to {@code max}: {@code
     * "250ms"}.
     */
    static ValueKind<Duration> duration(Duration min, Duration max) {
        return new QuantityKind<>(
                QuantityKind.DURATION, Duration::ofMillis, Duration::toMillis, min, max);
    }

    /** A number of bytes with a unit, from {@code min} to {@code max}: {@code "16MiB"}. */
    static ValueKind<Long> size(long min, long max) {
        return new QuantityKind<>(QuantityKind.SIZE, bytes -> bytes, bytes -> bytes, min, max);
    }

    /** A whole number from {@code min} to {@code max}. */
    static ValueKind<Integer> integer(int min, int max) {
        return new IntegerKind(min, max);
    }

    /** A number from {@code min} to {@code max}. */
    static ValueKind<Double> fraction(double min, double max) {
        return new FractionKind(min, max);
    }

    /** A literal IP address with a port. */
    static ValueKind<InetSocketAddress> address() {
        return new AddressKind();
    }

    /** An enum constant, spelled as its word. */
    static <E extends Enum<E> & SettingWord> ValueKind<E> choice(Class<E> type) {
        return new ChoiceKind<>(type);
    }

    /** A string of one line, of 1 to {@code max} characters. */
    static ValueKind<String> string(int max) {
        return new StringKind(max);
    }

    /** {@code true} or {@code false}. */
    static ValueKind<Boolean> bool() {
        return new BooleanKind();
    }

    /** A list of {@code min} to {@code max} values of a kind. */
    static <T> ValueKind<List<T>> list(ValueKind<T> of, int min, int max) {
        return new ListValueKind<>(of, min, max);
    }
}
