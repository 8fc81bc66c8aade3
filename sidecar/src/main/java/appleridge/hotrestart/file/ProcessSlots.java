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
 * The processes of one sidecar, by a folder that all of them have. Each holds the lock of a slot
 * for as long as it lives, which the system takes back however it ends, and writes its state beside
 * it, whole or not at all. Everything here blocks, if only for moments. Not to be used by two
 * threads at once.
 *
 * <p>Danger: the system gives a process's lock back when the process closes any descriptor of that
 * file, so the own slot is never opened twice.
 */
public final class ProcessSlots implements AutoCloseable {
    /**
     * More processes than ever are one sidecar: one that ends, one that serves, one that starts.
     */
    private static final int SLOTS = 4;

    private final Path folder;
    private final int own;
    private final FileLock lock;
    private final Consumer<String> warning;
    private boolean warned;

    private ProcessSlots(Path folder, int own, FileLock lock, Consumer<String> warning) {
        this.folder = folder;
        this.own = own;
        this.lock = lock;
        this.warning = warning;
    }

    /**
     * Takes a slot.
     *
     * @param warning told what can't be used, once
     * @throws IOException where there is none, or the folder can't be used
     */
    public static ProcessSlots take(Path folder, Consumer<String> warning) throws IOException {
        Files.createDirectories(folder);
        for (int slot = 0; slot < SLOTS; slot++) {
            FileLock lock = lock(folder, slot);
            if (lock != null) {
                // Whoever had it before is no more.
                Files.deleteIfExists(state(folder, slot));
                return new ProcessSlots(folder, slot, lock, warning);
            }
        }
        throw new IOException("all slots are taken");
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

    private static Path state(Path folder, int slot) {
        return folder.resolve("slot-" + slot + ".state");
    }

    /** Tells the others. Danger: a kill at any byte leaves what was there before. */
    public void tell(ProcessState state) throws IOException {
        Path next = folder.resolve("slot-" + own + ".next");
        Files.write(next, StateFile.write(state));
        Files.move(next, state(folder, own), StandardCopyOption.ATOMIC_MOVE);
    }

    /** What the others that live have told; one that has told nothing yet counts as none. */
    public List<ProcessState> others() throws IOException {
        List<ProcessState> others = new ArrayList<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            Path state = state(folder, slot);
            if (slot == own || !Files.exists(state)) {
                continue;
            }
            FileLock free = lock(folder, slot);
            if (free != null) {
                free.acquiredBy().close();
                continue;
            }
            try {
                others.add(StateFile.read(Files.readAllBytes(state)));
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
