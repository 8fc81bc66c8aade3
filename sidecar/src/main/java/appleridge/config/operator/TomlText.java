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

/** A TOML 1.0 text: its tree, and the places of its keys. */
final class TomlText {
    /** Bytes that a file may have. */
    static final int MAX_BYTES = 1 << 20;

    private final String text;
    private Positions positions;

    private TomlText(String text) {
        this.text = text;
    }

    /** The text in a file's bytes; what can't be one is noted, and null returned. */
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
            findings.problem("", () -> lineOf(bytes, in.position()), () -> "is not UTF-8");
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

    /** The tree, always an object; what is no TOML is noted, and null returned. */
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
            // The parser hands on what java.time throws for an impossible date.
            findings.problem(
                    "",
                    () -> Position.UNKNOWN,
                    () -> "not a date or time: " + inOneLine(e.getMessage()));
        }
        return null;
    }

    Position where(String path) {
        return positions().where(path);
    }

    private void malformed(JacksonException e, Findings findings) {
        String message = String.valueOf(e.getOriginalMessage());
        Positions.Twice twice = positions().twice();
        if (twice != null
                && (message.equals("Duplicate key") || message.equals("Table redefined"))) {
            findings.problem(
                    twice.path(),
                    twice::second,
                    () -> "stands twice; first on line " + twice.first().line());
            return;
        }
        String reason =
                message.startsWith("Invalid number representation")
                        ? "a number that is too long or too large"
                        : "not TOML: " + inOneLine(message);
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

    /** A message that may quote any part of the file. */
    private static String inOneLine(String message) {
        String shown = message.length() > 120 ? message.substring(0, 117) + "..." : message;
        return shown.replaceAll("[\\p{Cntrl}\\p{Cf}\\p{Zl}\\p{Zp}\\p{Cs}]", "?");
    }

    private static Position lineOf(byte[] bytes, int position) {
        int line = 1;
        for (int i = 0; i < position; i++) {
            line += bytes[i] == '\n' ? 1 : 0;
        }
        return new Position(line, 0);
    }
}
