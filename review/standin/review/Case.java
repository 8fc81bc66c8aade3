package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: the folders, the record, the trouble and the exit status. */
public abstract class Case {
    /** The rule held. */
    static final int HELD = 0;

    /** The rule was broken. */
    static final int BROKEN = 1;

    /** The case couldn't run. */
    static final int NOT_RUN = 2;

    protected final Path root;
    protected final Path temporary;
    protected final Log log;
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** {@code folder} is the case's folder, two below the root of the repository. */
    protected Case(Path folder) throws IOException {
        root = folder.toAbsolutePath().normalize().getParent().getParent();
        temporary = Files.createTempDirectory("review");
        log = new Log(folder.resolve("record.txt"));
        log.line("trouble=" + (trouble ? 1 : 0));
    }

    /** Plays the case; true if the rule held. */
    protected abstract boolean play() throws Exception;

    /** Ends what the case has started. */
    protected abstract void end() throws Exception;

    /** Creates a case from its folder. */
    protected interface Factory {
        Case create(Path folder) throws IOException;
    }

    /** Runs the case in the folder that is the first argument, and ends this process. */
    protected static void run(Factory factory, String... arguments) {
        try {
            run(factory.create(Path.of(arguments[0])));
        } catch (Throwable e) {
            // The JVM's own status would be taken for a broken rule.
            System.err.println("could not run: " + e);
            System.exit(NOT_RUN);
        }
    }

    private static void run(Case played) {
        int status = NOT_RUN;
        try {
            status = played.play() ? HELD : BROKEN;
        } catch (NotRunException e) {
            played.log.line("could not run: " + e.getMessage());
        } catch (Throwable e) {
            played.log.line("could not run: " + e);
        }
        try {
            played.end();
        } catch (Exception e) {
            played.log.line("could not end: " + e);
        }
        played.log.line(List.of("rule held", "rule broken", "not run").get(status));
        delete(played.temporary);
        System.exit(status);
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(Case::deleteFile);
        } catch (IOException e) {
            // It is a temporary folder.
        }
    }

    private static void deleteFile(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The case couldn't run. */
    protected static final class NotRunException extends Exception {
        private static final long serialVersionUID = 1L;

        public NotRunException(String message) {
            super(message);
        }
    }

    /** Waits for a sidecar to be ready. */
    protected void awaitReady(Sidecar sidecar) throws Exception {
        if (!sidecar.awaitReady(30_000)) {
            throw new NotRunException(
                    "the sidecar was not ready within 30 s: " + Files.readString(sidecar.output()));
        }
        log.line("sidecar ready pid=" + sidecar.process().pid());
    }
}
