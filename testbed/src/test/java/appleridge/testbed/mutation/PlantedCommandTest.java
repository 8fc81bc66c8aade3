package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlantedCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final PlantedCommand command =
            new PlantedCommand(new PrintStream(out, true, StandardCharsets.UTF_8));

    @Test
    void tableHasEveryPackedFault() throws IOException {
        assertEquals(0, command.run("table"));
        String table = out.toString(StandardCharsets.UTF_8);
        for (PlantedFault fault : FaultFile.packed()) {
            assertTrue(table.contains("| `" + fault.name() + "` | "), fault.name());
        }
    }

    @Test
    void foundDayIsRecorded(@TempDir Path directory) throws IOException {
        Path faults = directory.resolve("faults.txt");
        Files.writeString(faults, "fault  once-resent\n  rules  DUPLICATE\n");
        assertEquals(
                0,
                command.run(
                        "search",
                        "1-50",
                        "--threads",
                        "1",
                        "--record",
                        faults.toString(),
                        "once-resent"));
        assertTrue(Files.readString(faults).contains("\n  seen   DUPLICATE "));
        assertTrue(
                Files.readString(directory.resolve("days").resolve("once-resent.txt"))
                        .contains("seed "));
    }

    @Test
    void wordsThatMakeNoSenseAreToldTheUsage() throws IOException {
        assertEquals(2, command.run());
        assertEquals(2, command.run("search", "one"));
        assertEquals(2, command.run("check", "no-such-fault"));
        assertEquals(2, command.run("check", "--threads"));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("usage: planted table"));
    }
}
