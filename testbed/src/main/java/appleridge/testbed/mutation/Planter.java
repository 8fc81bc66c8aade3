package appleridge.testbed.mutation;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Makes the product with one fault in it, to be played in this process and never to be shipped. */
public final class Planter {
    private final ClassLoader sound = Planter.class.getClassLoader();
    private final PackedSources sources;
    private final MemoryCompiler compiler;

    /**
     * Reads the product's sources from beside the testbed's classes, and compiles against its class
     * path.
     */
    public Planter() throws IOException {
        this(PackedSources.read());
    }

    Planter(PackedSources sources) {
        this.sources = sources;
        this.compiler = new MemoryCompiler(System.getProperty("java.class.path"));
    }

    /**
     * The project's classes with the fault in them, loaded anew for each call. What is wrong with
     * the fault itself is told by an {@link IllegalStateException} with its name.
     */
    public PlantedLoader plant(PlantedFault fault) {
        try {
            Map<String, String> changed = new LinkedHashMap<>();
            for (Edit edit : fault.edits()) {
                String path = sources.path(edit.file());
                changed.put(path, edit.in(changed.getOrDefault(path, sources.text(path))));
            }
            Map<String, byte[]> classes = new TreeMap<>();
            changed.forEach((path, source) -> classes.putAll(compiler.compile(path, source)));
            return new PlantedLoader(sound, classes);
        } catch (IllegalStateException e) {
            throw new IllegalStateException(fault.name() + ": " + e.getMessage(), e);
        }
    }

    /** The project's classes as they are. */
    ClassLoader sound() {
        return sound;
    }
}
