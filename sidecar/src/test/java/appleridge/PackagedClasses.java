package appleridge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.jar.JarFile;

/** The contents of the packaged jar, for tests that name classes in strings. */
public final class PackagedClasses {
    private PackagedClasses() {}

    /**
     * Asserts that the jar has a class whose qualified name contains {@code name}. Guards against a
     * check that a class is <em>not</em> loaded that passes because the name is outdated.
     *
     * @param name a class or package name with dots, or a part of it
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
                    "no class in the jar has a name that contains: " + name);
        }
    }
}
