package appleridge.hotrestart.file;

import appleridge.hotrestart.ProcessState;
import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The slots of the processes of one sidecar, in a folder that they share. A process holds the file
 * lock of one slot as long as it runs; the operating system releases the lock however the process
 * ends. It publishes its state in a file of that slot, which is replaced atomically. All methods do
 * blocking file I/O. Not thread-safe.
 *
 * <p>Invariant: a process never opens the lock file of its own slot a second time, because the
 * operating system releases a lock when its process closes any descriptor of the file.
 */
public final class ProcessSlots implements AutoCloseable {
    /** One process drains, one serves and one starts; a fourth slot is spare. */
    private static final int MAX_PROCESSES = 4;

    private final Path folder;
    private final int ownSlot;
    private final FileLock lock;
    private final Consumer<String> warning;
    private IdTableFiles idTables;
    private boolean warned;

    private ProcessSlots(Path folder, int ownSlot, FileLock lock, Consumer<String> warning) {
        this.folder = folder;
        this.ownSlot = ownSlot;
        this.lock = lock;
        this.warning = warning;
    }

    /**
     * Locks the first free slot, and deletes the state that its last owner left there.
     *
     * @param warning called with a log line the first time that another process's state can't be
     *     read
     * @throws IOException if no slot is free or the folder can't be used
     */
    public static ProcessSlots acquire(Path folder, Consumer<String> warning) throws IOException {
        Files.createDirectories(folder);
        for (int slot = 0; slot < MAX_PROCESSES; slot++) {
            FileLock lock = tryLock(folder, slot);
            if (lock != null) {
                // The state is that of a process that has ended.
                Files.deleteIfExists(stateFile(folder, slot));
                return new ProcessSlots(folder, slot, lock, warning);
            }
        }
        throw new IOException(
                "all " + MAX_PROCESSES + " process slots in " + folder + " are locked");
    }

    /** Locks a slot; returns null if another process holds its lock. */
    private static FileLock tryLock(Path folder, int slot) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve("slot-" + slot + ".lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = channel.tryLock();
        if (lock == null) {
            channel.close();
        }
        return lock;
    }

    private static Path stateFile(Path folder, int slot) {
        return folder.resolve("slot-" + slot + ".state");
    }

    /**
     * Publishes this process's state. Writes a temporary file and renames it, so that a process
     * killed while writing leaves the previous state.
     *
     * @throws IOException if the file can't be written; the previous state stays
     */
    public void publish(ProcessState state) throws IOException {
        Path temporary = folder.resolve("slot-" + ownSlot + ".next");
        Files.write(temporary, ProcessStateCodec.write(state));
        Files.move(temporary, stateFile(folder, ownSlot), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Reads the states of the other running processes. Leaves out a process that has published none
     * yet, and one whose state can't be read.
     *
     * @throws IOException if a slot can't be checked
     */
    public List<ProcessState> readOthers() throws IOException {
        List<ProcessState> others = new ArrayList<>();
        for (int slot = 0; slot < MAX_PROCESSES; slot++) {
            Path state = stateFile(folder, slot);
            if (slot == ownSlot || !Files.exists(state)) {
                continue;
            }
            FileLock freeSlotLock = tryLock(folder, slot);
            if (freeSlotLock != null) {
                // No process holds this slot: the state is that of one that has ended.
                freeSlotLock.acquiredBy().close();
                continue;
            }
            try {
                others.add(ProcessStateCodec.read(Files.readAllBytes(state)));
            } catch (IOException e) {
                if (!warned) {
                    warned = true;
                    warning.accept(
                            "another process's state is not used: "
                                    + state
                                    + ": "
                                    + e.getMessage());
                }
            }
        }
        return others;
    }

    /**
     * Creates the table of request ids that this process shares with the others. Must be called
     * once, before {@link #readIdTables}.
     *
     * @param entries the number of values of a table
     */
    public LongBuffer createIdTable(int entries) throws IOException {
        idTables = new IdTableFiles(folder, entries);
        return idTables.create(ownSlot);
    }

    /** Returns the tables of the other processes, among them such as have ended. */
    public List<LongBuffer> readIdTables() throws IOException {
        for (int slot = 0; slot < MAX_PROCESSES; slot++) {
            if (slot != ownSlot) {
                idTables.openOther(slot);
            }
        }
        return idTables.others();
    }

    /** Releases the slot. */
    @Override
    public void close() throws IOException {
        lock.acquiredBy().close();
    }
}
