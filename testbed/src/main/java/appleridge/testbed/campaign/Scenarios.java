package appleridge.testbed.campaign;

import appleridge.testbed.simulation.Plan;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The scenarios that are kept with the testbed. Each showed something that was mended then, as its
 * first line says, and is played for ever.
 */
final class Scenarios {
    private static final String DIRECTORY = "scenarios";
    private static final String ENDING = ".txt";

    /**
     * One of them.
     *
     * @param what what it showed
     */
    record Scenario(String name, String what, Plan plan) {}

    private Scenarios() {}

    /** All of them, by their names. */
    static List<Scenario> kept() throws IOException {
        Path place;
        try {
            place =
                    Path.of(
                            Scenarios.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
        if (Files.isDirectory(place)) {
            return in(place.resolve(DIRECTORY));
        }
        try (FileSystem jar = FileSystems.newFileSystem(place)) {
            return in(jar.getPath(DIRECTORY));
        }
    }

    private static List<Scenario> in(Path directory) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(directory)) {
            files = all.filter(each -> each.toString().endsWith(ENDING)).sorted().toList();
        }
        List<Scenario> scenarios = new ArrayList<>();
        for (Path file : files) {
            scenarios.add(read(file.getFileName().toString(), Files.readString(file)));
        }
        return scenarios;
    }

    /** A file of that name; what makes no sense is told with it. */
    static Scenario read(String file, String text) {
        String name = file.substring(0, file.length() - ENDING.length());
        String first = text.lines().findFirst().orElse("");
        if (!first.startsWith("# ")) {
            throw new IllegalArgumentException(
                    name + ": the first line says what it showed, behind #");
        }
        try {
            return new Scenario(name, first.substring(2), Plan.parse(text));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(name + ": " + e.getMessage(), e);
        }
    }
}
