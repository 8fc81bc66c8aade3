package appleridge.config.operator;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** One of an enum's constants: {@code BY_KEY} is written {@code "by-key"}. */
record ChoiceKind<E extends Enum<E>>(Class<E> type) implements ValueKind<E> {
    @Override
    public E read(SourceValue cell) {
        String text = cell.node().isTextual() ? cell.node().textValue() : "";
        for (E each : type.getEnumConstants()) {
            if (show(each).equals(text)) {
                return each;
            }
        }
        List<String> all = Arrays.stream(type.getEnumConstants()).map(this::show).toList();
        cell.wrong("is none of \"" + String.join("\", \"", all) + "\"" + Nearest.hint(text, all));
        return null;
    }

    @Override
    public String show(E value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
