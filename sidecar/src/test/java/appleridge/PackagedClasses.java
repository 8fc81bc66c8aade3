package appleridge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.jar.JarFile;

/** What the packaged jar holds, for tests that name classes in strings. */
public final class PackagedClasses {
    private PackagedClasses() {}

    /**
     * Guards against a check that a class is <em>not</em> loaded and that holds for any name, such
     * as one from before a rename.
     *
     * @param name a class or package with dots, or a part of it
     */
    public static void assertPackaged(String name) throws IOException {
        String path = name.replace('.', '/');
        try (JarFile jar = new JarFile("target/appleridge.jar")) {
            assertTrue(
                    jar.stream()
                            .anyMatch(
                                    entry ->
                                            entry.getName().endsWith(".class")
                                                    && entry.getName().contains(path)),
                    "no class of the jar has this in its name: " + name);
        }
    }
}
