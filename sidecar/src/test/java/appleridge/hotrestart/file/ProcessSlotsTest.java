package appleridge.hotrestart.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.hotrestart.MaintenanceDirective;
import appleridge.hotrestart.ProcessPhase;
import appleridge.hotrestart.ProcessState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The folder by which processes know of each other; locks between real processes are
 * HeldListenerIT's.
 */
@Timeout(60)
class ProcessSlotsTest {
    private static final ProcessState STATE =
            new ProcessState(
                    ProcessPhase.SERVING,
                    List.of(
                            new MaintenanceDirective(
                                    "s-5be2a07c", true, 1_700_000_000_000_000_000L),
                            new MaintenanceDirective("b", false, 7)));

    @TempDir private Path folder;

    @Test
    void writtenStateIsRead() throws Exception {
        assertEquals(STATE, ProcessStateCodec.read(ProcessStateCodec.write(STATE)));
        ProcessState empty = new ProcessState(ProcessPhase.STARTING, List.of());
        assertEquals(empty, ProcessStateCodec.read(ProcessStateCodec.write(empty)));
    }

    /**
     * Guards against half a file, another version's or noise being taken for word of the other
     * process.
     */
    @Test
    void tornOrForeignStateIsRejected() throws Exception {
        byte[] whole = ProcessStateCodec.write(STATE);
        for (int length = 0; length < whole.length; length++) {
            byte[] torn = Arrays.copyOf(whole, length);
            assertThrows(IOException.class, () -> ProcessStateCodec.read(torn), "cut at " + length);
        }
        Random random = new Random(3);
        for (int i = 0; i < 2000; i++) {
            byte[] wrong = whole.clone();
            wrong[random.nextInt(wrong.length)] ^= (byte) (1 + random.nextInt(255));
            try {
                assertEquals(
                        STATE,
                        ProcessStateCodec.read(wrong),
                        "only what says the same may be taken");
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
        assertThrows(
                IOException.class,
                () -> ProcessStateCodec.read("appleridge-state 2 0\nSERVING\n".getBytes()));
    }

    @Test
    void foreignFilesInTheFolderAreIgnored() throws Exception {
        List<String> warnings = new ArrayList<>();
        try (ProcessSlots slots = ProcessSlots.acquire(folder, warnings::add)) {
            slots.publish(STATE);
            assertEquals(List.of(), slots.readOthers(), "the own state is not another's");
            Files.writeString(folder.resolve("slot-2.state"), "noise");
            assertEquals(List.of(), slots.readOthers(), "nobody holds that slot");
            assertEquals(List.of(), warnings);
        }
        try (ProcessSlots again = ProcessSlots.acquire(folder, warnings::add)) {
            assertEquals(List.of(), again.readOthers());
            assertTrue(
                    Files.notExists(folder.resolve("slot-0.state")), "who had the slot is no more");
        }
    }
}
