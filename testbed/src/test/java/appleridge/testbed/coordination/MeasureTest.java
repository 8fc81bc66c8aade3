package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MeasureTest {
    @TempDir private Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private void assertRejected(String message, String... args) throws Exception {
        Path jar = Files.createFile(folder.resolve("a.jar"));
        PrintStream err = new PrintStream(output, true, StandardCharsets.UTF_8);
        String[] all = new String[args.length + 2];
        System.arraycopy(args, 0, all, 0, args.length);
        all[args.length] = "--jar";
        all[args.length + 1] = jar.toString();
        assertEquals(2, new Measure(err, err).run(all));
        String text = output.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("measure: " + message + "\nusage:"), text);
    }

    @Test
    void namesAnUnknownMeasurement() throws Exception {
        assertRejected("unknown measurement: membership-weather", "membership-weather");
    }

    @Test
    void namesAnUnknownOption() throws Exception {
        assertRejected("unknown option: --fast", "membership-drain", "--fast");
    }

    @Test
    void namesAnInvalidNumber() throws Exception {
        assertRejected("--seed is not an integer: x", "membership-herd", "--seed", "x");
    }

    @Test
    void namesAMissingJar() {
        PrintStream err = new PrintStream(output, true, StandardCharsets.UTF_8);
        assertEquals(2, new Measure(err, err).run("membership-drain", "--jar", "no-such.jar"));
        assertTrue(
                output.toString(StandardCharsets.UTF_8)
                        .startsWith("measure: no such file: no-such.jar"));
    }
}
