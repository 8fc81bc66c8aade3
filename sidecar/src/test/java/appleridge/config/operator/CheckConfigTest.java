package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The report of {@code check-config}. */
class CheckConfigTest {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @TempDir Path directory;

    private static PlatformFile.Summary platform(Path file) throws java.io.IOException {
        if (Files.readString(file).isEmpty()) {
            throw new IllegalArgumentException("settings missing\nand more");
        }
        return new PlatformFile.Summary(1000, Map.of("listen", "127.0.0.1:80"));
    }

    private int run(String configByDefault, String... arguments) {
        bytes.reset();
        PrintStream out = new PrintStream(bytes, false, StandardCharsets.UTF_8);
        return new CheckConfig(CheckConfigTest::platform, out)
                .run(List.of(arguments), configByDefault);
    }

    private String output() {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private String file(String name, String text) throws Exception {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    @Test
    void reportShowsSettingsOfBothFilesAndConsequences() throws Exception {
        String config = file("config.json", "{}");
        String operator =
                file(
                        "operator.toml",
                        "version = 1\n"
                                + "[clients]\n"
                                + "idle-timeout = \"1m\"\n"
                                + "request-timeout = \"2000ms\"\n"
                                + "[limits]\n"
                                + "clients-part = 0.3\n");
        assertEquals(CheckConfig.EXIT_OK, run(null, "--config", config, "--operator", operator));
        assertEquals(
                "Platform's file "
                        + config
                        + "\n"
                        + "  listen = 127.0.0.1:80\n"
                        + "\n"
                        + "Operator's file "
                        + operator
                        + "\n"
                        + "  version = 1 (line 1, same as the default): version of this file's"
                        + " format\n"
                        + "  clients.request-timeout = 2s (line 4, same as the default): how long"
                        + " receiving a request may take, from its first byte to its last\n"
                        + "  clients.first-request-timeout = 2s (default): how long a new"
                        + " connection may stay without a request\n"
                        + "  clients.idle-timeout = 1m (line 3, instead of 15s): how long a"
                        + " connection is kept open between requests\n"
                        + "  limits.clients-part = 0.3 (line 6, instead of 0.4): fraction of the"
                        + " file descriptors for client connections\n"
                        + "  limits.upstreams-part = 0.45 (default): fraction of the file"
                        + " descriptors for upstream connections\n"
                        + "\n"
                        + "Changed from the defaults:\n"
                        + "  clients.idle-timeout = 1m instead of 15s\n"
                        + "  limits.clients-part = 0.3 instead of 0.4\n"
                        + "\n"
                        + "Consequences:\n"
                        + "  of 1000 file descriptors, 300 are for client connections, 450 for"
                        + " upstream connections, and 250 for the program itself\n"
                        + "\n"
                        + "No problems.\n",
                output());
    }

    @Test
    void defaultsAreReportedWithoutFiles() {
        assertEquals(CheckConfig.EXIT_OK, run(null));
        assertTrue(
                output().startsWith(
                                "Platform's file: none given, so not checked\n\n"
                                        + "Operator's file: none given, so all settings have their"
                                        + " defaults\n"
                                        + "  clients.request-timeout = 2s (default): "),
                output());
        assertTrue(output().endsWith("for upstream connections\n\nNo problems.\n"), output());
    }

    @Test
    void problemsOfBothFilesAreReported() throws Exception {
        String config = file("config.json", "");
        String operator = file("operator.toml", "version = 1\nlimit = 1\nclients = 1");
        assertEquals(CheckConfig.EXIT_PROBLEMS, run(config, "--operator", operator));
        assertEquals(
                "Platform's file "
                        + config
                        + ": 1 problem\n"
                        + "  settings missing\n"
                        + "\n"
                        + "Operator's file "
                        + operator
                        + ": 2 problems\n"
                        + "  line 2, column 1: limit: unknown key; did you mean \"limits\"?\n"
                        + "  line 3, column 1: clients: 1 is not a table; write [clients]\n"
                        + "\n"
                        + "3 problems: a sidecar would not start.\n",
                output());
    }

    @Test
    void jsonReportHasTheSameContent() throws Exception {
        String operator = file("operator.toml", "version = 1\n[limits]\nclients-part = 0.3\n");
        assertEquals(
                CheckConfig.EXIT_OK,
                run(file("config.json", "{}"), "--json", "--operator", operator));
        JsonNode root = new ObjectMapper().readTree(output());
        assertEquals(
                "{\"path\":\"limits.clients-part\",\"value\":\"0.3\",\"default\":\"0.4\",\"from\":\"file\",\"line\":3,\"changed\":true,\"meaning\":\"fraction"
                    + " of the file descriptors for client connections\"}",
                root.at("/operator/settings/4").toString());
        assertEquals("{\"listen\":\"127.0.0.1:80\"}", root.at("/platform/settings").toString());
        assertEquals(1, root.at("/consequences").size());
        assertTrue(root.at("/fine").booleanValue());

        assertEquals(
                CheckConfig.EXIT_PROBLEMS,
                run("missing.json", "--operator", file("operator.toml", "a"), "--json"));
        assertEquals(
                "{\"fine\":false,\"problems\":2,\"platform\":{\"file\":\"missing.json\",\"problem\":\"no"
                    + " such file\"},\"operator\":{\"file\":\""
                        + operator
                        + "\",\"problems\":[{\"path\":\"\",\"line\":1,\"column\":2,\"text\":\"invalid"
                        + " TOML: Premature end of file\"}],\"settings\":[]},\"consequences\":[]}",
                new ObjectMapper().readTree(output()).toString());
    }

    @Test
    void invalidArgumentsAreNamed() {
        String usage = "\nusage: check-config [--config FILE] [--operator FILE] [--json]\n";
        assertEquals(CheckConfig.EXIT_PROBLEMS, run(null, "--operator"));
        assertEquals("--operator needs a file" + usage, output());
        assertEquals(CheckConfig.EXIT_PROBLEMS, run(null, "--config", "a", "--config", "b"));
        assertEquals("--config is given twice" + usage, output());
        assertEquals(CheckConfig.EXIT_PROBLEMS, run(null, "--jsn"));
        assertEquals("unknown argument: \"--jsn\"" + usage, output());
    }
}
