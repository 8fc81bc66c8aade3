package appleridge.config.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A list of {@code minSize} to {@code maxSize} values of one kind. */
record ListValueKind<T>(ValueKind<T> itemKind, int minSize, int maxSize)
        implements ValueKind<List<T>> {
    @Override
    public List<T> read(SourceValue source) {
        if (!source.node().isArray()) {
            source.reject("is not a list");
            return null;
        }
        int size = source.node().size();
        if (size < minSize || size > maxSize) {
            source.reject("has " + size + " items; allowed: " + minSize + " to " + maxSize);
            return null;
        }
        List<T> values = new ArrayList<>();
        boolean allValid = true;
        for (int i = 0; i < size; i++) {
            T value = itemKind.read(source.item(i));
            allValid &= value != null;
            values.add(value);
        }
        return allValid ? List.copyOf(values) : null;
    }

    @Override
    public String format(List<T> value) {
        return value.stream().map(itemKind::format).collect(Collectors.joining(", ", "[", "]"));
    }
}
