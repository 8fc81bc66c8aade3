package appleridge.hotrestart.file;

import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tables of request ids in memory-mapped files, one for each process slot: a process writes its own
 * and reads those of the others, also after they have ended. All methods do blocking file I/O. Not
 * thread-safe; the tables may be read and written on another thread.
 */
final class IdTableFiles {
    /** The number of tables of other processes that are kept; those opened first go. */
    private static final int MAX_TABLES = 8;

    private final Path folder;
    private final long bytes;
    private final Deque<LongBuffer> others = new ArrayDeque<>();
    private final Set<Object> openedFiles = new HashSet<>();

    /**
     * Opens no table yet.
     *
     * @param entries the number of long values of each table
     */
    IdTableFiles(Path folder, int entries) {
        this.folder = folder;
        this.bytes = (long) entries * Long.BYTES;
    }

    private Path file(int slot) {
        return folder.resolve("slot-" + slot + ".ids");
    }

    /**
     * Creates this process's empty table. That of the slot's last owner is kept as another's: the
     * file is replaced, not overwritten.
     */
    LongBuffer create(int slot) throws IOException {
        openOther(slot);
        Files.deleteIfExists(file(slot));
        try (FileChannel channel =
                FileChannel.open(
                        file(slot),
                        StandardOpenOption.CREATE_NEW,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes).asLongBuffer();
        }
    }

    /** Opens the table of another process's slot, unless there is none or it is open. */
    void openOther(int slot) throws IOException {
        Path path = file(slot);
        if (!Files.exists(path) || Files.size(path) != bytes) {
            return;
        }
        if (!openedFiles.add(Files.readAttributes(path, "unix:ino").get("ino"))) {
            return;
        }
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            others.add(channel.map(FileChannel.MapMode.READ_ONLY, 0, bytes).asLongBuffer());
        }
        if (others.size() > MAX_TABLES) {
            others.poll();
        }
    }

    /** The tables of other processes that are open, as a copy. */
    List<LongBuffer> others() {
        return new ArrayList<>(others);
    }
}
