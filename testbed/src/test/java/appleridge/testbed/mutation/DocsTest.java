package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The page about planted faults has the tables as {@code planted table} prints them today. */
class DocsTest {
    @Test
    void pageHasTodaysTables() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "planted-faults.md"));
        for (String table : FindingsTable.ofRecords(FaultFile.packed()).split("\n\n")) {
            assertTrue(page.contains(table.strip()), table);
        }
    }
}
