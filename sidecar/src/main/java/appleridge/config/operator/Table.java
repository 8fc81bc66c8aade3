package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A table of the file, from which a section reads its values. It records which keys were read, so
 * that {@link #rejectUnknownKeys} can report the others. For an invalid value it reports a problem
 * and returns the default, so that one pass finds every problem. A table that the file doesn't have
 * returns only defaults.
 */
final class Table {
    private final String path;
    private final JsonNode node;
    private final TomlText text;
    private final Findings findings;
    private final Set<String> knownKeys = new LinkedHashSet<>();
    private final List<Table> subtables = new ArrayList<>();
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
     * Reads a value; the default if the file doesn't have the key or its value is invalid.
     *
     * @param meaning a description for operators
     */
    <T> T value(String key, ValueKind<T> kind, T defaultValue, String meaning) {
        return read(key, kind, defaultValue, kind.format(defaultValue), meaning);
    }

    /** Reads a value that has no default; empty if the file doesn't have it. */
    <T> Optional<T> optional(String key, ValueKind<T> kind, String meaning) {
        return Optional.ofNullable(read(key, kind, null, "", meaning));
    }

    /**
     * Reads a value that the file must have; reports a problem if it doesn't.
     *
     * @param placeholder the value to continue with if it is missing, so that further problems are
     *     found; a file with exactly this value counts as unchanged
     */
    <T> T required(String key, ValueKind<T> kind, T placeholder, String meaning) {
        if (!node.has(key)) {
            valid = false;
            findings.problem(child(key), () -> text.positionOf(path), () -> "missing");
        }
        return value(key, kind, placeholder, meaning);
    }

    /** A table within this one; a table without keys if the file doesn't have it. */
    Table table(String key) {
        knownKeys.add(key);
        JsonNode value = node.path(key);
        if (!value.isMissingNode() && !value.isObject()) {
            reject(key, MessageText.value(value) + " is not a table; write [" + child(key) + "]");
        }
        return subtable(
                child(key), value.isObject() ? value : JsonNodeFactory.instance.missingNode());
    }

    /** The tables of an array of tables, {@code [[key]]}; empty if the file has none. */
    List<Table> tables(String key) {
        knownKeys.add(key);
        JsonNode value = node.path(key);
        List<Table> tables = new ArrayList<>();
        for (int i = 0; i < value.size() && value.isArray() && value.get(i).isObject(); i++) {
            tables.add(subtable(MessageText.item(child(key), i), value.get(i)));
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

    /** Whether no problem was found so far in this table itself, without its subtables. */
    boolean valid() {
        return valid;
    }

    /** Reports that a key's value is not allowed in combination with other values. */
    void reject(String key, String reason) {
        valid = false;
        findings.problem(child(key), () -> text.positionOf(child(key)), () -> reason);
    }

    /** Reports a problem with the table as a whole. */
    void reject(String reason) {
        valid = false;
        findings.problem(path, () -> text.positionOf(path), () -> reason);
    }

    /**
     * Reports the keys that were never read, at any depth. To be called after all values are read.
     */
    void rejectUnknownKeys() {
        node.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!knownKeys.contains(key)) {
                                findings.problem(
                                        child(key),
                                        () -> text.positionOf(child(key)),
                                        () -> "unknown key" + SpellingHint.hint(key, knownKeys));
                            }
                        });
        subtables.forEach(Table::rejectUnknownKeys);
    }

    private <T> T read(
            String key, ValueKind<T> kind, T defaultValue, String defaultShown, String meaning) {
        knownKeys.add(key);
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
                        value == null ? "" : kind.format(value),
                        defaultShown,
                        node.has(key)));
        return value;
    }

    private Table subtable(String subtablePath, JsonNode value) {
        Table subtable = new Table(subtablePath, value, text, findings);
        subtables.add(subtable);
        return subtable;
    }

    private String child(String key) {
        return MessageText.child(path, key);
    }
}
