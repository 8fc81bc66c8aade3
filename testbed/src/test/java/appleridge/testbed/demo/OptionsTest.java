package appleridge.testbed.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class OptionsTest {
    @Test
    void defaultsApplyWithoutArguments() {
        Options options = Options.parse();
        assertEquals(30, options.seconds());
        assertTrue(options.jar().endsWith(Path.of("sidecar", "target", "appleridge.jar")));
    }

    @Test
    void allOptionsAreParsed() {
        assertEquals(
                new Options(60, 7, 200, Path.of("a.jar")),
                Options.parse("--seconds", "60", "--seed", "7", "--rate", "200", "--jar", "a.jar"));
    }

    @Test
    void invalidOptionIsNamed() {
        for (String[] args :
                new String[][] {
                    {"--seconds"}, {"--seconds", "4"}, {"--rate", "301"}, {"--seed", "x"}, {"fast"}
                }) {
            String message =
                    assertThrows(IllegalArgumentException.class, () -> Options.parse(args))
                            .getMessage();
            assertTrue(message.contains(args[0]), message);
        }
    }
}
