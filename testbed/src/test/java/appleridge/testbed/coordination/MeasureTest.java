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

    private final ByteArrayOutputStream said = new ByteArrayOutputStream();

    private void refused(String why, String... args) throws Exception {
        Path jar = Files.createFile(folder.resolve("a.jar"));
        PrintStream err = new PrintStream(said, true, StandardCharsets.UTF_8);
        String[] all = new String[args.length + 2];
        System.arraycopy(args, 0, all, 0, args.length);
        all[args.length] = "--jar";
        all[args.length + 1] = jar.toString();
        assertEquals(2, new Measure(err, err).run(all));
        String text = said.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("measure: " + why + "\nusage:"), text);
    }

    @Test
    void whatIsNotThereIsNamed() throws Exception {
        refused("unknown: membership-weather", "membership-weather");
    }

    @Test
    void aWordThatNobodyAskedForIsNamed() throws Exception {
        refused("unknown: --fast", "membership-drain", "--fast");
    }

    @Test
    void aSenselessNumberIsNamed() throws Exception {
        refused("--seed makes no sense: x", "membership-herd", "--seed", "x");
    }

    @Test
    void aMissingJarIsNamed() {
        PrintStream err = new PrintStream(said, true, StandardCharsets.UTF_8);
        assertEquals(2, new Measure(err, err).run("membership-drain", "--jar", "no-such.jar"));
        assertTrue(
                said.toString(StandardCharsets.UTF_8)
                        .startsWith("measure: no such file: no-such.jar"));
    }
}
