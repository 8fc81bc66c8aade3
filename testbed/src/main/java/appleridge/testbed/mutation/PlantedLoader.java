package appleridge.testbed.mutation;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;

/**
 * Loads all classes of the project anew, those of one source as they were compiled with a fault in
 * it. What is not the project's comes from the parent, and only such types can cross the border.
 */
public final class PlantedLoader extends ClassLoader {
    private static final String OURS = "appleridge.";

    static {
        registerAsParallelCapable();
    }

    private final Map<String, byte[]> changed;

    PlantedLoader(ClassLoader parent, Map<String, byte[]> changed) {
        super(parent);
        this.changed = changed;
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (!name.startsWith(OURS)) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : define(name);
        }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
        byte[] bytes = changed.get(name);
        if (bytes == null) {
            try (InputStream in =
                    getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
                if (in == null) {
                    throw new ClassNotFoundException(name);
                }
                bytes = in.readAllBytes();
            } catch (IOException e) {
                throw new ClassNotFoundException(name, e);
            }
        }
        return defineClass(name, bytes, 0, bytes.length);
    }
}
