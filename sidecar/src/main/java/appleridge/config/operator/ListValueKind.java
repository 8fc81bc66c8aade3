package appleridge.config.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A list of values of one kind. */
record ListValueKind<T>(ValueKind<T> itemKind, int minSize, int maxSize)
        implements ValueKind<List<T>> {
    @Override
    public List<T> read(SourceValue cell) {
        if (!cell.node().isArray()) {
            cell.reject("is not a list");
            return null;
        }
        int size = cell.node().size();
        if (size < minSize || size > maxSize) {
            cell.reject("of " + size + ", allowed are " + minSize + " to " + maxSize);
            return null;
        }
        List<T> values = new ArrayList<>();
        boolean sound = true;
        for (int i = 0; i < size; i++) {
            T value = itemKind.read(cell.item(i));
            sound &= value != null;
            values.add(value);
        }
        return sound ? List.copyOf(values) : null;
    }

    @Override
    public String show(List<T> value) {
        return value.stream().map(itemKind::show).collect(Collectors.joining(", ", "[", "]"));
    }
}
