package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** A value as it stands in the file, and whom to tell if it makes no sense. */
record SourceValue(String path, JsonNode node, TomlText text, Findings findings) {
    /** Notes that this value can't be taken; it is named in front of the reason. */
    void reject(String reason) {
        findings.problem(
                path, () -> text.where(path), () -> MessageText.value(node) + " " + reason);
    }

    /** An item of a list; {@code index} counts from 0. */
    SourceValue item(int index) {
        return new SourceValue(MessageText.item(path, index), node.get(index), text, findings);
    }
}
