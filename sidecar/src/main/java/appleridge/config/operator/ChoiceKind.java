package appleridge.config.operator;

import java.util.Arrays;
import java.util.List;

/** An enum constant, spelled as its {@link SettingWord}. */
record ChoiceKind<E extends Enum<E> & SettingWord>(Class<E> type) implements ValueKind<E> {
    @Override
    public E read(SourceValue source) {
        String text = source.node().isTextual() ? source.node().textValue() : "";
        for (E each : type.getEnumConstants()) {
            if (format(each).equals(text)) {
                return each;
            }
        }
        List<String> all = Arrays.stream(type.getEnumConstants()).map(this::format).toList();
        source.reject(
                "is not one of \""
                        + String.join("\", \"", all)
                        + "\""
                        + SpellingHint.hint(text, all));
        return null;
    }

    @Override
    public String format(E value) {
        return value.settingWord();
    }
}
