package appleridge.lease.task;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * All processes that a command has started: its descendants, and those with its mark in their
 * environment. A process in a session of its own whose parents have ended is no descendant any
 * more; only the mark still identifies it.
 *
 * <p>Each method lists the processes again, and throws an {@link UncheckedIOException} if they
 * can't be listed, because it is then unknown what is left.
 */
final class ProcessTree {
    /** The environment variable that holds the mark. */
    static final String MARK_VARIABLE = "APPLERIDGE_TASK";

    private static final Path PROCESSES = Path.of("/proc");

    private final byte[] mark;
    private final ProcessHandle root;

    /**
     * Creates the tree of one run of a command.
     *
     * @param nonce the mark's value
     * @param root a process whose descendants belong to the tree, marked or not; it doesn't itself
     */
    ProcessTree(String nonce, ProcessHandle root) {
        this.mark = (MARK_VARIABLE + "=" + nonce + "\0").getBytes(StandardCharsets.ISO_8859_1);
        this.root = root;
    }

    /** Sends SIGTERM to all processes; returns how many there were. */
    int terminate() {
        Map<Long, ProcessHandle> alive = findAlive();
        alive.values().forEach(ProcessHandle::destroy);
        return alive.size();
    }

    /** Sends SIGKILL to all processes; returns how many there were. More may start meanwhile. */
    int kill() {
        Map<Long, ProcessHandle> alive = findAlive();
        alive.values().forEach(ProcessHandle::destroyForcibly);
        return alive.size();
    }

    /** Whether no process is left. */
    boolean isEmpty() {
        return findAlive().isEmpty();
    }

    private Map<Long, ProcessHandle> findAlive() {
        Map<Long, ProcessHandle> found = new LinkedHashMap<>();
        root.descendants().forEach(process -> found.put(process.pid(), process));
        try (DirectoryStream<Path> all = Files.newDirectoryStream(PROCESSES, "[0-9]*")) {
            all.forEach(process -> addIfMarked(process, found));
        } catch (NotDirectoryException | NoSuchFileException e) {
            // This system has no such directory: only descendants can be found.
        } catch (DirectoryIteratorException e) {
            throw new UncheckedIOException(e.getCause());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        found.values().removeIf(process -> !process.isAlive());
        return found;
    }

    /**
     * Obtains the handle before it reads the mark: a handle obtained afterwards could be that of
     * another process that got the same process ID in between.
     */
    private void addIfMarked(Path process, Map<Long, ProcessHandle> found) {
        long pid = Long.parseLong(process.getFileName().toString());
        if (pid == ProcessHandle.current().pid() || found.containsKey(pid)) {
            return;
        }
        Optional<ProcessHandle> handle = ProcessHandle.of(pid);
        handle.filter(candidate -> isMarked(process))
                .ifPresent(candidate -> found.put(pid, candidate));
    }

    private boolean isMarked(Path process) {
        try {
            return containsEntry(Files.readAllBytes(process.resolve("environ")), mark);
        } catch (IOException e) {
            // The process has ended meanwhile, or belongs to another user.
            return false;
        }
    }

    /** Whether an environment contains an entry; each entry ends with a zero byte. */
    static boolean containsEntry(byte[] environment, byte[] entry) {
        for (int at = 0; at + entry.length <= environment.length; at++) {
            if ((at == 0 || environment[at - 1] == 0)
                    && Arrays.equals(environment, at, at + entry.length, entry, 0, entry.length)) {
                return true;
            }
        }
        return false;
    }
}
