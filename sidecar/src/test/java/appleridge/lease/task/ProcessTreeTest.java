package appleridge.lease.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whose a process is, by the mark in its environment. */
@Timeout(30)
class ProcessTreeTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void onlyAWholeEnvironmentEntryIsTheMark() {
        byte[] mark = bytes("APPLERIDGE_TASK=ab\0");
        assertTrue(ProcessTree.containsEntry(bytes("APPLERIDGE_TASK=ab\0"), mark));
        assertTrue(ProcessTree.containsEntry(bytes("A=1\0APPLERIDGE_TASK=ab\0B=2\0"), mark));
        assertFalse(ProcessTree.containsEntry(bytes("A=1\0APPLERIDGE_TASK=abc\0"), mark));
        assertFalse(ProcessTree.containsEntry(bytes("MY_APPLERIDGE_TASK=ab\0"), mark));
        assertFalse(ProcessTree.containsEntry(bytes(""), mark));
    }

    /** Guards against a command's child that is nobody's child any more. */
    @Test
    void orphanedProcessIsFoundByItsMarkAndKilled() throws Exception {
        String nonce = "t" + ProcessHandle.current().pid();
        ProcessBuilder builder = new ProcessBuilder("setsid", "--fork", "sleep", "60");
        builder.environment().put(ProcessTree.VARIABLE, nonce);
        Process ended = builder.start();
        assertEquals(0, ended.waitFor());
        ProcessTree tree = new ProcessTree(nonce, ended.toHandle());
        ProcessTree another = new ProcessTree(nonce + "x", ended.toHandle());
        // Between its fork and its own program it is there already, with the same environment.
        assertFalse(tree.isEmpty());
        assertTrue(another.isEmpty());
        assertEquals(1, tree.kill());
        while (!tree.isEmpty()) {
            Thread.onSpinWait();
        }
    }
}
