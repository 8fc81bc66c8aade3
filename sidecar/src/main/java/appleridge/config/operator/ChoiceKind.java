package appleridge.config.operator;

import java.util.Arrays;
import java.util.List;

/** One of an enum's constants, by its {@link SettingWord}. */
record ChoiceKind<E extends Enum<E> & SettingWord>(Class<E> type) implements ValueKind<E> {
    @Override
    public E read(SourceValue cell) {
        String text = cell.node().isTextual() ? cell.node().textValue() : "";
        for (E each : type.getEnumConstants()) {
            if (show(each).equals(text)) {
                return each;
            }
        }
        List<String> all = Arrays.stream(type.getEnumConstants()).map(this::show).toList();
        cell.reject("is none of \"" + String.join("\", \"", all) + "\"" + Nearest.hint(text, all));
        return null;
    }

    @Override
    public String show(E value) {
        return value.settingWord();
    }
}
