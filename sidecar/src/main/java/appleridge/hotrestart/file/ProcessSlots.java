package appleridge.hotrestart.file;

import appleridge.hotrestart.ProcessState;
import java.io.IOException;
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
 * The processes of one sidecar, by a folder that they share. Each holds the lock of a slot for as
 * long as it lives, which the system releases however it ends, and writes its state beside it,
 * whole or not at all. Everything here blocks, if only for moments. Not thread-safe.
 *
 * <p>Invariant: a process never opens the lock file of its own slot a second time. The system
 * releases a lock when its process closes any descriptor of that file.
 */
public final class ProcessSlots implements AutoCloseable {
    /** More than there ever are: one that drains, one that serves, one that starts. */
    private static final int MAX_PROCESSES = 4;

    private final Path folder;
    private final int ownSlot;
    private final FileLock lock;
    private final Consumer<String> warning;
    private boolean warned;

    private ProcessSlots(Path folder, int own, FileLock lock, Consumer<String> warning) {
        this.folder = folder;
        this.ownSlot = own;
        this.lock = lock;
        this.warning = warning;
    }

    /**
     * Takes a free slot.
     *
     * @param warning told once of a state that can't be used
     * @throws IOException where no slot is free, or the folder can't be used
     */
    public static ProcessSlots acquire(Path folder, Consumer<String> warning) throws IOException {
        Files.createDirectories(folder);
        for (int slot = 0; slot < MAX_PROCESSES; slot++) {
            FileLock lock = lock(folder, slot);
            if (lock != null) {
                // Left behind by a process that has ended.
                Files.deleteIfExists(stateFile(folder, slot));
                return new ProcessSlots(folder, slot, lock, warning);
            }
        }
        throw new IOException("all " + MAX_PROCESSES + " slots of " + folder + " are taken");
    }

    private static FileLock lock(Path folder, int slot) throws IOException {
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
     * Publishes this process's state. Written beside and then moved, so that a kill at any byte
     * leaves the state of before.
     *
     * @throws IOException where it can't be written; the state of before stays
     */
    public void publish(ProcessState state) throws IOException {
        Path next = folder.resolve("slot-" + ownSlot + ".next");
        Files.write(next, ProcessStateCodec.write(state));
        Files.move(next, stateFile(folder, ownSlot), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * The published states of the other processes that live; of one that has published none yet,
     * none.
     *
     * @throws IOException where the folder can't be read
     */
    public List<ProcessState> readOthers() throws IOException {
        List<ProcessState> others = new ArrayList<>();
        for (int slot = 0; slot < MAX_PROCESSES; slot++) {
            Path state = stateFile(folder, slot);
            if (slot == ownSlot || !Files.exists(state)) {
                continue;
            }
            FileLock free = lock(folder, slot);
            if (free != null) {
                free.acquiredBy().close();
                continue;
            }
            try {
                others.add(ProcessStateCodec.read(Files.readAllBytes(state)));
            } catch (IOException e) {
                if (!warned) {
                    warned = true;
                    warning.accept("another process's state is not used: " + e.getMessage());
                }
            }
        }
        return others;
    }

    @Override
    public void close() throws IOException {
        lock.acquiredBy().close();
    }
}
