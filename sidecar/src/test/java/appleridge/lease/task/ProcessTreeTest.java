package appleridge.lease.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Recognition of a command's processes by the mark in their environment. */
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

    /** Guards against a process of the command that is no longer its descendant. */
    @Test
    void orphanedProcessIsFoundByItsMarkAndKilled() throws Exception {
        String nonce = "t" + ProcessHandle.current().pid();
        ProcessBuilder builder = new ProcessBuilder("setsid", "--fork", "sleep", "60");
        builder.environment().put(ProcessTree.MARK_VARIABLE, nonce);
        Process parent = builder.start();
        assertEquals(0, parent.waitFor());
        ProcessTree tree = new ProcessTree(nonce, parent.toHandle());
        ProcessTree otherTree = new ProcessTree(nonce + "x", parent.toHandle());
        // Between fork and exec the process exists already, with the same environment.
        assertFalse(tree.isEmpty());
        assertTrue(otherTree.isEmpty());
        assertEquals(1, tree.kill());
        while (!tree.isEmpty()) {
            Thread.onSpinWait();
        }
    }
}
