package appleridge.testbed.mutation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The product's sources as the build has put them beside the testbed's classes. */
final class PackedSources {
    private static final String DIRECTORY = "planted-sources";
    private static final String ENDING = ".java";

    /**
     * By path, which ends in the file's name: {@code
     * appleridge/loadbalancing/LoadBalancingPolicy.java}.
     */
    private final Map<String, String> byPath;

    PackedSources(Map<String, String> byPath) {
        this.byPath = new TreeMap<>(byPath);
    }

    static PackedSources read() throws IOException {
        Path place;
        try {
            place =
                    Path.of(
                            PackedSources.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
        if (Files.isDirectory(place)) {
            return under(place.resolve(DIRECTORY));
        }
        try (FileSystem jar = FileSystems.newFileSystem(place)) {
            return under(jar.getPath(DIRECTORY));
        }
    }

    private static PackedSources under(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return new PackedSources(
                    files.filter(file -> file.toString().endsWith(ENDING))
                            .collect(
                                    Collectors.toMap(
                                            file ->
                                                    root.relativize(file)
                                                            .toString()
                                                            .replace('\\', '/'),
                                            PackedSources::text)));
        }
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The one file of that name, which has as many packages ahead as it takes. */
    String path(String file) {
        String end = "/" + file + ENDING;
        List<String> found =
                byPath.keySet().stream()
                        .filter(path -> ("/" + path).endsWith(end) && isCompiled(path))
                        .toList();
        if (found.size() != 1) {
            throw new IllegalStateException(
                    found.isEmpty()
                            ? "no file " + file
                            : "more than one file: " + String.join(", ", found));
        }
        return found.get(0);
    }

    String text(String path) {
        return byPath.get(path);
    }

    /**
     * Danger: where a file has moved, an earlier build's copy stays behind; it has no class any
     * more.
     */
    private static boolean isCompiled(String path) {
        String type = path.substring(0, path.length() - ENDING.length()) + ".class";
        return PackedSources.class.getClassLoader().getResource(type) != null;
    }
}
