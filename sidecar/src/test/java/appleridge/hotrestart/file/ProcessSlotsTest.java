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
 * Tests the slots and the state files within one process; {@code InheritedListenerIT} tests the
 * locks between processes.
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
    void writtenStateIsReadBack() throws Exception {
        assertEquals(STATE, ProcessStateCodec.read(ProcessStateCodec.write(STATE)));
        ProcessState empty = new ProcessState(ProcessPhase.STARTING, List.of());
        assertEquals(empty, ProcessStateCodec.read(ProcessStateCodec.write(empty)));
    }

    /**
     * Guards against a truncated or corrupted file, or one of another version, being read as the
     * state of another process.
     */
    @Test
    void truncatedCorruptedOrOtherVersionStateIsRejected() throws Exception {
        byte[] whole = ProcessStateCodec.write(STATE);
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(
                    IOException.class,
                    () -> ProcessStateCodec.read(truncated),
                    "truncated to " + length);
        }
        Random random = new Random(3);
        for (int i = 0; i < 2000; i++) {
            byte[] corrupted = whole.clone();
            corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
            try {
                assertEquals(
                        STATE,
                        ProcessStateCodec.read(corrupted),
                        "a corrupted file is read only if its meaning is unchanged");
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
        assertThrows(
                IOException.class,
                () -> ProcessStateCodec.read("appleridge-state 2 0\nSERVING\n".getBytes()));
    }

    @Test
    void ownStateAndStatesOfFreeSlotsAreNotRead() throws Exception {
        List<String> warnings = new ArrayList<>();
        try (ProcessSlots slots = ProcessSlots.acquire(folder, warnings::add)) {
            slots.publish(STATE);
            assertEquals(List.of(), slots.readOthers(), "a process does not read its own state");
            Files.writeString(folder.resolve("slot-2.state"), "noise");
            assertEquals(List.of(), slots.readOthers(), "no process holds slot 2");
            assertEquals(List.of(), warnings);
        }
        try (ProcessSlots again = ProcessSlots.acquire(folder, warnings::add)) {
            assertEquals(List.of(), again.readOthers());
            assertTrue(
                    Files.notExists(folder.resolve("slot-0.state")),
                    "acquiring a slot deletes the state of its last owner");
        }
    }
}
