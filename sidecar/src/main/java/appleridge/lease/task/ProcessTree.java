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
 * environment. A process that leaves its session and its parents is nobody's child any more: only
 * the mark still shows whose it is.
 *
 * <p>Each method lists the processes anew, and throws an {@link UncheckedIOException} if they can't
 * be listed: then it is unknown what is left.
 */
final class ProcessTree {
    /** The environment variable that is the mark. */
    static final String VARIABLE = "APPLERIDGE_TASK";

    private static final Path PROCESSES = Path.of("/proc");

    private final byte[] mark;
    private final ProcessHandle root;

    /**
     * For one run of a command.
     *
     * @param nonce the mark's value
     * @param root all its descendants count, marked or not; it itself doesn't
     */
    ProcessTree(String nonce, ProcessHandle root) {
        this.mark = (VARIABLE + "=" + nonce + "\0").getBytes(StandardCharsets.ISO_8859_1);
        this.root = root;
    }

    /** Sends SIGTERM to all; returns how many there were. */
    int terminate() {
        Map<Long, ProcessHandle> living = living();
        living.values().forEach(ProcessHandle::destroy);
        return living.size();
    }

    /** Sends SIGKILL to all; returns how many there were. More may have started meanwhile. */
    int kill() {
        Map<Long, ProcessHandle> living = living();
        living.values().forEach(ProcessHandle::destroyForcibly);
        return living.size();
    }

    /** Whether there are none. */
    boolean isEmpty() {
        return living().isEmpty();
    }

    private Map<Long, ProcessHandle> living() {
        Map<Long, ProcessHandle> found = new LinkedHashMap<>();
        root.descendants().forEach(process -> found.put(process.pid(), process));
        try (DirectoryStream<Path> all = Files.newDirectoryStream(PROCESSES, "[0-9]*")) {
            all.forEach(process -> addIfMarked(process, found));
        } catch (NotDirectoryException | NoSuchFileException e) {
            // No such folder on this system: only descendants can be found.
        } catch (DirectoryIteratorException e) {
            throw new UncheckedIOException(e.getCause());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        found.values().removeIf(process -> !process.isAlive());
        return found;
    }

    /**
     * The handle is taken before the mark is read: taken after it, it could be another process that
     * got the same number in between.
     */
    private void addIfMarked(Path process, Map<Long, ProcessHandle> found) {
        long pid = Long.parseLong(process.getFileName().toString());
        if (pid == ProcessHandle.current().pid() || found.containsKey(pid)) {
            return;
        }
        Optional<ProcessHandle> handle = ProcessHandle.of(pid);
        handle.filter(there -> isMarked(process)).ifPresent(there -> found.put(pid, there));
    }

    private boolean isMarked(Path process) {
        try {
            return containsEntry(Files.readAllBytes(process.resolve("environ")), mark);
        } catch (IOException e) {
            // It has ended meanwhile, or is another user's.
            return false;
        }
    }

    /** Whether an environment has an entry; both end with a zero byte. */
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
