package appleridge.config.operator;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.dataformat.toml.TomlReadFeature;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;

/** A TOML 1.0 text with its tree and the positions of its keys. */
final class TomlText {
    /** Maximum size of a file in bytes. */
    static final int MAX_BYTES = 1 << 20;

    private final String text;
    private Positions positions;

    private TomlText(String text) {
        this.text = text;
    }

    /** Decodes a file's bytes; reports a problem and returns null if they are not valid text. */
    static TomlText of(byte[] bytes, Findings findings) {
        if (bytes.length > MAX_BYTES) {
            findings.problem("", () -> Position.UNKNOWN, () -> "is larger than 1 MiB");
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer out = CharBuffer.allocate(bytes.length);
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        CoderResult result = decoder.decode(in, out, true);
        if (result.isError()) {
            findings.problem("", () -> linePosition(bytes, in.position()), () -> "is not UTF-8");
            return null;
        }
        String text = out.flip().toString();
        if (text.startsWith("\ufeff")) {
            findings.problem(
                    "",
                    () -> new Position(1, 1),
                    () -> "begins with a byte order mark; save it as UTF-8 without one");
            return null;
        }
        return new TomlText(text);
    }

    /** Parses the tree, always an object; reports a problem and returns null if it is not TOML. */
    JsonNode tree(Findings findings) {
        try {
            return TomlMapper.builder()
                    .enable(TomlReadFeature.PARSE_JAVA_TIME)
                    .build()
                    .readTree(text);
        } catch (StreamConstraintsException e) {
            findings.problem(
                    "",
                    () -> Position.UNKNOWN,
                    () -> "is nested too deeply, or has a value that is too long");
        } catch (JacksonException e) {
            malformed(e, findings);
        } catch (DateTimeException e) {
            // The parser lets the exception of java.time for an impossible date through.
            findings.problem(
                    "",
                    () -> Position.UNKNOWN,
                    () -> "not a date or time: " + sanitized(e.getMessage()));
        }
        return null;
    }

    Position positionOf(String path) {
        return positions().positionOf(path);
    }

    private void malformed(JacksonException e, Findings findings) {
        String message = String.valueOf(e.getOriginalMessage());
        Positions.Duplicate duplicate = positions().duplicate();
        if (duplicate != null
                && (message.equals("Duplicate key") || message.equals("Table redefined"))) {
            findings.problem(
                    duplicate.path(),
                    duplicate::second,
                    () -> "is defined twice; first on line " + duplicate.first().line());
            return;
        }
        String reason =
                message.startsWith("Invalid number representation")
                        ? "a number that is too long or too large"
                        : "invalid TOML: " + sanitized(message);
        JsonLocation location = e.getLocation();
        findings.problem(
                "",
                () ->
                        location == null
                                ? Position.UNKNOWN
                                : new Position(location.getLineNr(), location.getColumnNr()),
                () -> reason);
    }

    private Positions positions() {
        if (positions == null) {
            positions = Positions.of(text);
        }
        return positions;
    }

    /** Sanitizes a message of the parser, which may quote any part of the file. */
    private static String sanitized(String message) {
        String shown = message.length() > 120 ? message.substring(0, 117) + "..." : message;
        return shown.replaceAll("[\\p{Cntrl}\\p{Cf}\\p{Zl}\\p{Zp}\\p{Cs}]", "?");
    }

    private static Position linePosition(byte[] bytes, int position) {
        int line = 1;
        for (int i = 0; i < position; i++) {
            line += bytes[i] == '\n' ? 1 : 0;
        }
        return new Position(line, 0);
    }
}
