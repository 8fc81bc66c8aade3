package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** A value in the file, with what is needed to report a problem with it. */
record SourceValue(String path, JsonNode node, TomlText text, Findings findings) {
    /** Reports that this value is not allowed; the message is the value, then the reason. */
    void reject(String reason) {
        findings.problem(
                path, () -> text.positionOf(path), () -> MessageText.value(node) + " " + reason);
    }

    /** An item of a list; {@code index} counts from 0. */
    SourceValue item(int index) {
        return new SourceValue(MessageText.item(path, index), node.get(index), text, findings);
    }
}
