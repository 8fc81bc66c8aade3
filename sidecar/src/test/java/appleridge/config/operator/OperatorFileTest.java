package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading of the operator's file: its settings, and the message for each kind of problem. */
class OperatorFileTest {
    private static final Path EXAMPLE = Path.of("..", "deploy", "operator.example.toml");

    @TempDir Path directory;

    private static List<String> problems(String text) {
        return OperatorFile.inspect(text.getBytes(StandardCharsets.UTF_8)).findings().lines();
    }

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("operator.toml"), text);
    }

    @Test
    void exampleFileHasEveryKeyWithItsDefault() {
        assertEquals(
                new OperatorFile(
                        Optional.of(ClientsSection.DEFAULTS),
                        Optional.of(LimitsSection.DEFAULTS),
                        Optional.empty(),
                        Optional.empty()),
                OperatorFile.read(EXAMPLE));
        List<Setting> settings = OperatorFile.inspect(EXAMPLE).findings().settings();
        assertEquals(6, settings.size());
        for (Setting each : settings) {
            assertTrue(each.fromFile(), each.path());
            assertFalse(each.isChanged(), each.path());
        }
    }

    @Test
    void sectionsHaveTheDefaults() {
        assertEquals(
                new ClientsSection(
                        Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(15)),
                ClientsSection.DEFAULTS);
        assertEquals(409, LimitsSection.DEFAULTS.clientConnections(1024));
        assertEquals(460, LimitsSection.DEFAULTS.upstreamConnections(1024));
    }

    @Test
    void missingSectionsAreEmpty() throws Exception {
        assertEquals(
                new OperatorFile(
                        Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty()),
                OperatorFile.read(file("version = 1")));
        assertEquals(
                Optional.of(new LimitsSection(0.5, 0.44)),
                OperatorFile.read(
                                file(
                                        "version = 1\n"
                                            + "limits = { clients-part = 0.5, upstreams-part = 0.44"
                                            + " }"))
                        .limits());
    }

    @Test
    void omittedKeysHaveTheDefaults() throws Exception {
        OperatorFile read =
                OperatorFile.read(file("version = 1\n[clients]\nidle-timeout = \"1h\"\n"));
        assertEquals(
                Optional.of(
                        new ClientsSection(
                                Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofHours(1))),
                read.clients());
        assertEquals(Optional.empty(), read.limits());
    }

    @Test
    void everyProblemIsReportedWithItsPosition() {
        Map<String, String> expected = new LinkedHashMap<>();
        expected.put("", "version: missing");
        expected.put(
                "version = 2\nnew-key = 1",
                "line 1, column 1: version: 2 is not supported; this program reads version 1");
        expected.put("version = \"1\"", "line 1, column 1: version: \"1\" is not a whole number");
        expected.put(
                "version = 0",
                "line 1, column 1: version: 0 is out of range: from 1 to 2147483647");
        expected.put(
                "version = 1\nclients = 5",
                "line 2, column 1: clients: 5 is not a table; write [clients]");
        expected.put(
                "version = 1\n[[clients]]",
                "line 2, column 1: clients: a list is not a table; write [clients]");
        expected.put(
                "version = 1\n[client]\nidle-timeout = \"1s\"",
                "line 2, column 1: client: unknown key; did you mean \"clients\"?");
        expected.put(
                "version = 1\n[clients]\n  idle-tmeout = \"1s\"",
                "line 3, column 3: clients.idle-tmeout: unknown key; did you mean"
                        + " \"idle-timeout\"?");
        expected.put(
                "version = 1\nclients.nothing-like-it = true",
                "line 2, column 1: clients.nothing-like-it: unknown key");
        expected.put(
                "version = 1\n[clients]\n\"a\u202e.b\" = 1",
                "line 3, column 1: clients.\"a\\u202e.b\": unknown key");
        expected.put(
                "version = 1\n[clients]\nrequest-timeout = 2000",
                "line 3, column 1: clients.request-timeout: 2000 is not a duration; write one like "
                        + "\"250ms\", \"2s\" or \"1m\"");
        expected.put(
                "version = 1\n[clients]\nrequest-timeout = \"2h\"",
                "line 3, column 1: clients.request-timeout: \"2h\" is out of range: from 100ms to"
                        + " 1m");
        expected.put(
                "version = 1\n[limits]\nclients-part = \"0.4\"",
                "line 3, column 1: limits.clients-part: \"0.4\" is not a number");
        expected.put(
                "version = 1\n[limits]\nclients-part = 40",
                "line 3, column 1: limits.clients-part: 40 is out of range: from 0.05 to 0.9");
        expected.put(
                "version = 1\n[limits]\nclients-part = 0.5",
                "line 2, column 1: limits: clients-part 0.5 and upstreams-part 0.45 add up to 0.95"
                        + "; the sum must be less than 0.95, because the program needs the rest");
        expected.put(
                "version = 1\n[clients]\nidle-timeout = \"1s\"\nidle-timeout = \"1s\"",
                "line 4, column 1: clients.idle-timeout: is defined twice; first on line 3");
        expected.put(
                "version = 1\n[clients]\n[limits]\n[clients]",
                "line 4, column 1: clients: is defined twice; first on line 2");
        expected.put(
                "version = 1\nclients = {}\nclients.idle-timeout = \"1s\"",
                "line 3, column 9: invalid TOML: Object already closed");
        expected.put(
                "version = 1 limits = {}",
                "line 1, column 13: invalid TOML: More data after value has "
                        + "already ended. Invalid value preceding this position?");
        expected.put(
                "version = 1e99999999999",
                "line 1, column 24: a number that is too long or too large");
        expected.put(
                "version = 25:99:00",
                "not a date or time: Text '25:99:00' could not be parsed: "
                        + "Invalid value for MinuteOfHour (valid values 0 - 59): 99");
        expected.put(
                "version = 2026-01-01",
                "line 1, column 1: version: a date or time is not a whole " + "number");
        expected.put(
                "\ufeffversion = 1",
                "line 1, column 1: begins with a byte order mark; save it as UTF-8 without one");
        expected.put(
                "a = " + "[".repeat(5000), "is nested too deeply, or has a value that is too long");
        expected.forEach((text, problem) -> assertEquals(List.of(problem), problems(text), text));
    }

    @Test
    void problemsAreReportedInTheOrderOfTheFile() {
        assertEquals(
                List.of(
                        "version: missing",
                        "line 1, column 1: verson: unknown key; did you mean \"version\"?",
                        "line 3, column 1: clients.idle: unknown key",
                        "line 4, column 1: clients.request-timeout: \"1ms\" is out of range: from"
                                + " 100ms to 1m",
                        "line 6, column 1: limits.upstreams-part: 0.99 is out of range: from 0.05"
                                + " to 0.9"),
                problems(
                        "verson = 1\n[clients]\nidle = \"3s\"\nrequest-timeout = \"1ms\"\n"
                                + "[limits]\nupstreams-part = 0.99\n"));
    }

    @Test
    void problemsBeyondTheMaximumAreOnlyCounted() {
        StringBuilder text = new StringBuilder("version = 1\n");
        for (int i = 0; i < 100; i++) {
            text.append("key").append(i).append(" = 0\n");
        }
        List<String> problems = problems(text.toString());
        assertEquals(21, problems.size());
        assertEquals("line 2, column 1: key0: unknown key", problems.get(0));
        assertEquals("and 80 more", problems.get(20));
    }

    @Test
    void exceptionMessageNamesTheFile() throws Exception {
        Path one = file("version = 3");
        assertEquals(
                one
                        + ": line 1, column 1: version: 3 is not supported; this program reads"
                        + " version 1",
                message(one));
        Path two = file("version = 1\na = 1\nb = 1");
        assertEquals(
                two
                        + ": 2 problems\n"
                        + "  line 2, column 1: a: unknown key\n"
                        + "  line 3, column 1: b: unknown key",
                message(two));
        OperatorFileException e =
                assertThrows(OperatorFileException.class, () -> OperatorFile.read(two));
        assertEquals(new Problem("b", 3, 1, "unknown key"), e.problems().get(1));
    }

    @Test
    void fileThatIsMissingNotUtf8OrTooLargeIsRejected() throws Exception {
        Path missing = directory.resolve("missing.toml");
        assertEquals(missing + ": no such file", message(missing));
        assertEquals(directory + ": Is a directory", message(directory));
        Path latin =
                Files.write(
                        directory.resolve("latin.toml"),
                        "version = 1\n# caf\u00e9\n".getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(latin + ": line 2: is not UTF-8", message(latin));
        Path cut = Files.write(directory.resolve("cut.toml"), new byte[] {'a', (byte) 0xc3});
        assertEquals(cut + ": line 1: is not UTF-8", message(cut));
        String most = "version = 1\n" + "#".repeat(TomlText.MAX_BYTES - 12);
        assertEquals(
                new OperatorFile(
                        Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty()),
                OperatorFile.read(file(most)));
        Path large = file(most + "#");
        assertEquals(large + ": is larger than 1 MiB", message(large));
    }

    private static String message(Path file) {
        return assertThrows(OperatorFileException.class, () -> OperatorFile.read(file))
                .getMessage();
    }
}
