package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A table of the file, from which a section takes its values. It remembers which keys were asked
 * for, so that {@link #rejectUnknownKeys} can name the others. A value that makes no sense is noted
 * and its usual value handed out, so that reading goes on to the next problem. A table that the
 * file doesn't have hands out usual values alone.
 */
final class Table {
    private final String path;
    private final JsonNode node;
    private final TomlText text;
    private final Findings findings;
    private final Set<String> known = new LinkedHashSet<>();
    private final List<Table> parts = new ArrayList<>();
    private boolean valid = true;

    private Table(String path, JsonNode node, TomlText text, Findings findings) {
        this.path = path;
        this.node = node;
        this.text = text;
        this.findings = findings;
    }

    static Table top(JsonNode root, TomlText text, Findings findings) {
        return new Table("", root, text, findings);
    }

    /**
     * A value, or the usual one where the file says nothing.
     *
     * @param meaning what it is, in plain words
     */
    <T> T value(String key, ValueKind<T> kind, T defaultValue, String meaning) {
        return read(key, kind, defaultValue, kind.show(defaultValue), meaning);
    }

    /** A value that the file may leave out, and then there is none. */
    <T> Optional<T> optional(String key, ValueKind<T> kind, String meaning) {
        return Optional.ofNullable(read(key, kind, null, "", meaning));
    }

    /**
     * A value that the file has to give.
     *
     * @param standIn what to go on with where it doesn't, to find further problems; a file that
     *     gives just this counts as usual
     */
    <T> T required(String key, ValueKind<T> kind, T placeholder, String meaning) {
        if (!node.has(key)) {
            valid = false;
            findings.problem(child(key), () -> text.where(path), () -> "missing");
        }
        return value(key, kind, placeholder, meaning);
    }

    /** A table within this one. */
    Table table(String key) {
        known.add(key);
        JsonNode value = node.path(key);
        if (!value.isMissingNode() && !value.isObject()) {
            reject(key, MessageText.value(value) + " is not a table; write [" + child(key) + "]");
        }
        return part(child(key), value.isObject() ? value : JsonNodeFactory.instance.missingNode());
    }

    /** The tables that stand under a key each, {@code [[key]]}; none if the file has none. */
    List<Table> tables(String key) {
        known.add(key);
        JsonNode value = node.path(key);
        List<Table> tables = new ArrayList<>();
        for (int i = 0; i < value.size() && value.isArray() && value.get(i).isObject(); i++) {
            tables.add(part(MessageText.item(child(key), i), value.get(i)));
        }
        if (!value.isMissingNode() && (!value.isArray() || tables.size() < value.size())) {
            reject(
                    key,
                    MessageText.value(value)
                            + " is not a list of tables; write [["
                            + child(key)
                            + "]] before each");
        }
        return tables;
    }

    /** Whether the file has this table. */
    boolean present() {
        return node.isObject();
    }

    /** Whether all that was taken from it so far, apart from tables within it, made sense. */
    boolean valid() {
        return valid;
    }

    /** Notes that a key's value makes no sense together with what else the file says. */
    void reject(String key, String reason) {
        valid = false;
        findings.problem(child(key), () -> text.where(child(key)), () -> reason);
    }

    /** Notes that the table as a whole makes no sense. */
    void reject(String reason) {
        valid = false;
        findings.problem(path, () -> text.where(path), () -> reason);
    }

    /**
     * To be called once all values are taken: names the keys that nobody asked for, at any depth.
     */
    void rejectUnknownKeys() {
        node.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!known.contains(key)) {
                                findings.problem(
                                        child(key),
                                        () -> text.where(child(key)),
                                        () -> "unknown key" + Nearest.hint(key, known));
                            }
                        });
        parts.forEach(Table::rejectUnknownKeys);
    }

    private <T> T read(
            String key, ValueKind<T> kind, T defaultValue, String defaultShown, String meaning) {
        known.add(key);
        T value = defaultValue;
        if (node.has(key)) {
            T read = kind.read(new SourceValue(child(key), node.get(key), text, findings));
            valid &= read != null;
            value = read == null ? defaultValue : read;
        }
        findings.setting(
                new Setting(
                        child(key),
                        meaning,
                        value == null ? "" : kind.show(value),
                        defaultShown,
                        node.has(key)));
        return value;
    }

    private Table part(String itsPath, JsonNode value) {
        Table part = new Table(itsPath, value, text, findings);
        parts.add(part);
        return part;
    }

    private String child(String key) {
        return MessageText.child(path, key);
    }
}
