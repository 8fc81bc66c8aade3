package appleridge.lease.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The command line of {@code task}. */
class TaskArgumentsTest {
    private static TaskArguments parse(String line) {
        return TaskArguments.parse(List.of(line.split(" ")));
    }

    @Test
    void argumentsOfTheCommandAreNotInterpreted() {
        TaskArguments arguments =
                parse("--lease nightly --operator o.toml -- run --lease x -- @file -v");
        assertEquals(Path.of("o.toml"), arguments.operator());
        assertEquals("nightly", arguments.lease());
        assertEquals(List.of("run", "--lease", "x", "--", "@file", "-v"), arguments.command());
    }

    @Test
    void wrongArgumentIsNamedInTheMessage() {
        for (String[] each :
                new String[][] {
                    {"--lease a --operator o", "no command after --"},
                    {"--lease a --operator o --", "Missing required parameter: 'COMMAND'"},
                    {"--operator o -- run", "Missing required option: '--lease NAME'"},
                    {"--lease a -- run", "Missing required option: '--operator FILE'"},
                    {
                        "--lease a --lease b --operator o -- run",
                        "option '--lease' (NAME) should be specified only"
                    },
                    {"--lease a/b --operator o -- run", "--lease may hold"},
                    {"--lease .. --operator o -- run", "--lease may hold"},
                    {"--lease a --operator o --leese b -- run", "Unknown option: '--leese'"},
                    {"--lease a --operator o stray -- run", "unknown argument: stray"},
                    {"--operator -- run", "Expected parameter for option '--operator'"}
                }) {
            String message =
                    assertThrows(IllegalArgumentException.class, () -> parse(each[0])).getMessage();
            assertTrue(message.startsWith(each[1]), message);
        }
    }

    @Test
    void usageNamesEveryOption() {
        String usage = TaskArguments.usage();
        assertTrue(
                usage.startsWith(
                        "Usage: task --operator FILE --lease NAME -- COMMAND [ARGUMENT...]"),
                usage);
        assertTrue(usage.contains("--lease NAME"), usage);
    }
}
