package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Reading any file yields either sections or problems of bounded length without control characters,
 * and never throws.
 */
class OperatorFileFuzzTest {
    private static final int ROUNDS = 20_000;
    private static final String[] TOKENS = {
        "version",
        "clients",
        "limits",
        "request-timeout",
        "clients-part",
        "=",
        ".",
        ",",
        "[",
        "]",
        "[[",
        "]]",
        "{",
        "}",
        "\"",
        "'",
        "\"\"\"",
        "'''",
        "\\",
        "\\u",
        "\n",
        "\\U0010ffff",
        "\r\n",
        "\r",
        " ",
        "\t",
        "#",
        "1",
        "00",
        "0.4",
        "0x",
        "1e9999",
        "-",
        "+inf",
        "nan",
        "_",
        "true",
        "\"2s\"",
        "25:61:00",
        "2026-02-30",
        "1979-05-27T07:32:00",
        "Z",
        "+99:99",
        "\u0000",
        "\ufeff",
        "\u202e",
        "\ud83d\ude00",
        "\u007f",
        "a"
    };

    private final Random random = new Random(20);

    @Test
    void randomSyntaxTokens() {
        for (int i = 0; i < ROUNDS; i++) {
            StringBuilder text = new StringBuilder(random.nextBoolean() ? "version=1\n" : "");
            for (int j = random.nextInt(30); j >= 0; j--) {
                text.append(TOKENS[random.nextInt(TOKENS.length)]);
            }
            check(text.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    @Test
    void randomValues() {
        for (int i = 0; i < ROUNDS; i++) {
            StringBuilder text = new StringBuilder("version = 1\n");
            for (int j = 0; j < 3; j++) {
                text.append(
                        random.nextInt(4) == 0 ? "[limits]\nclients-part = " : "key" + j + " = ");
                for (int k = random.nextInt(3); k >= 0; k--) {
                    text.append(TOKENS[random.nextInt(TOKENS.length)]);
                }
                text.append('\n');
            }
            check(text.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    @Test
    void randomBytes() {
        for (int i = 0; i < ROUNDS; i++) {
            byte[] bytes = new byte[random.nextInt(60)];
            random.nextBytes(bytes);
            for (int j = 0; random.nextBoolean() && j < bytes.length; j++) {
                bytes[j] &= 0x7f;
            }
            check(bytes);
        }
    }

    @Test
    void corruptedExampleFile() throws Exception {
        byte[] example = Files.readAllBytes(Path.of("..", "deploy", "operator.example.toml"));
        for (int i = 0; i < ROUNDS / 4; i++) {
            byte[] bytes = example.clone();
            for (int j = random.nextInt(4); j >= 0; j--) {
                int from = random.nextInt(bytes.length);
                int to = random.nextInt(bytes.length);
                int length = Math.min(random.nextInt(20), bytes.length - Math.max(from, to));
                System.arraycopy(bytes, from, bytes, to, length);
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            check(bytes);
        }
    }

    @Test
    void longRepetitionsOfOneToken() {
        for (String token : TOKENS) {
            check(("a=" + token.repeat(100_000 / token.length())).getBytes(StandardCharsets.UTF_8));
            check((token + ".").repeat(50_000).getBytes(StandardCharsets.UTF_8));
            check(("a=" + (token + "=").repeat(50_000)).getBytes(StandardCharsets.UTF_8));
            check(("a=" + ("{a=" + token).repeat(20_000)).getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void check(byte[] bytes) {
        OperatorFile.Inspection inspection =
                assertDoesNotThrow(
                        () -> OperatorFile.inspect(bytes),
                        () -> new String(bytes, StandardCharsets.UTF_8));
        assertTrue(inspection.file() != null || inspection.findings().count() > 0);
        for (String line : inspection.findings().lines()) {
            assertTrue(
                    line.length() < 1000 && line.chars().noneMatch(Character::isISOControl), line);
        }
    }
}
