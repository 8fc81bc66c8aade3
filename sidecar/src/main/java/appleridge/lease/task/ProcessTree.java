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
 * All that a command has started: what descends from it, and what carries its mark in the
 * environment with which it was started. Danger: a process that leaves its session and its parents
 * is nobody's child any more; only the mark still shows whose it is.
 */
final class ProcessTree {
    /** The variable that is the mark. */
    static final String VARIABLE = "APPLERIDGE_TASK";

    private static final Path PROCESSES = Path.of("/proc");

    private final byte[] mark;
    private final ProcessHandle root;

    /** {@code root}: all that descends from it counts, marked or not; it itself doesn't. */
    ProcessTree(String nonce, ProcessHandle root) {
        this.mark = (VARIABLE + "=" + nonce + "\0").getBytes(StandardCharsets.ISO_8859_1);
        this.root = root;
    }

    /** Tells all of them to end; how many there are. */
    int terminate() {
        Map<Long, ProcessHandle> living = living();
        living.values().forEach(ProcessHandle::destroy);
        return living.size();
    }

    /** Ends all of them; how many there were. More may have been started meanwhile. */
    int kill() {
        Map<Long, ProcessHandle> living = living();
        living.values().forEach(ProcessHandle::destroyForcibly);
        return living.size();
    }

    /** Whether there is none. */
    boolean isEmpty() {
        return living().isEmpty();
    }

    private Map<Long, ProcessHandle> living() {
        Map<Long, ProcessHandle> found = new LinkedHashMap<>();
        root.descendants().forEach(each -> found.put(each.pid(), each));
        long own = ProcessHandle.current().pid();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(PROCESSES, "[0-9]*")) {
            for (Path each : all) {
                long pid = Long.parseLong(each.getFileName().toString());
                // Danger: taken after the look at its mark, it could be another process of the same
                // number.
                Optional<ProcessHandle> handle =
                        pid == own || found.containsKey(pid)
                                ? Optional.empty()
                                : ProcessHandle.of(pid);
                handle.filter(there -> marked(each)).ifPresent(there -> found.put(pid, there));
            }
        } catch (NotDirectoryException | NoSuchFileException e) {
            // No such folder on this system: what descends is all that can be found.
        } catch (DirectoryIteratorException e) {
            throw new UncheckedIOException(e.getCause());
        } catch (IOException e) {
            // Danger: what can't be looked at for now is not gone.
            throw new UncheckedIOException(e);
        }
        found.values().removeIf(each -> !each.isAlive());
        return found;
    }

    private boolean marked(Path process) {
        try {
            return containsEntry(Files.readAllBytes(process.resolve("environ")), mark);
        } catch (IOException e) {
            // Ended meanwhile, or another user's.
            return false;
        }
    }

    /** Whether an environment holds an entry. */
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
