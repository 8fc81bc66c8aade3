package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/** A kind of value: how it is read from a file, and how it is shown to an operator. Immutable. */
interface ValueKind<T> {
    /** The value; null if it is not allowed, which has then been noted at the cell. */
    T read(SourceValue cell);

    /** As the file spells it, without quotes. */
    String show(T value);

    /**
     * A time in whole milliseconds with its unit, from {@code least} to {@code most}: {@code
     * "250ms"}.
     */
    static ValueKind<Duration> duration(Duration least, Duration most) {
        return new QuantityKind<>(
                QuantityKind.DURATION, Duration::ofMillis, Duration::toMillis, least, most);
    }

    /** A number of bytes with its unit, from {@code least} to {@code most}: {@code "16MiB"}. */
    static ValueKind<Long> size(long least, long most) {
        return new QuantityKind<>(QuantityKind.SIZE, bytes -> bytes, bytes -> bytes, least, most);
    }

    /** A whole number from {@code least} to {@code most}. */
    static ValueKind<Integer> whole(int least, int most) {
        return new WholeKind(least, most);
    }

    /** A number from {@code least} to {@code most}. */
    static ValueKind<Double> fraction(double least, double most) {
        return new FractionKind(least, most);
    }

    /** {@code host:port} with a literal address. */
    static ValueKind<InetSocketAddress> address() {
        return new AddressKind();
    }

    /** One of an enum's constants, by its word. */
    static <E extends Enum<E> & SettingWord> ValueKind<E> choice(Class<E> type) {
        return new ChoiceKind<>(type);
    }

    /** Text of one line, of 1 to {@code most} characters. */
    static ValueKind<String> text(int most) {
        return new TextKind(most);
    }

    /** {@code true} or {@code false}. */
    static ValueKind<Boolean> flag() {
        return new FlagKind();
    }

    /** A list of {@code least} to {@code most} values of a kind. */
    static <T> ValueKind<List<T>> list(ValueKind<T> of, int least, int most) {
        return new ListValueKind<>(of, least, most);
    }
}
