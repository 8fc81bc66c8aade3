package appleridge.testbed.mutation;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;

/** Compiles one source against the running class path; nothing is written to disk. */
final class MemoryCompiler {
    private final JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    private final String classPath;

    MemoryCompiler(String classPath) {
        if (compiler == null) {
            throw new IllegalStateException("no compiler here: a JDK is needed, not a JRE alone");
        }
        this.classPath = classPath;
    }

    /**
     * The source's classes by their full names. Constants of its that others use stay as they were
     * there.
     */
    Map<String, byte[]> compile(String path, String source) {
        Map<String, byte[]> classes = new TreeMap<>();
        StringWriter errors = new StringWriter();
        try (JavaFileManager files =
                new Kept(
                        compiler.getStandardFileManager(null, null, StandardCharsets.UTF_8),
                        classes)) {
            boolean compiled =
                    compiler.getTask(
                                    errors,
                                    files,
                                    null,
                                    List.of(
                                            "-classpath",
                                            classPath,
                                            "-proc:none",
                                            "-implicit:none",
                                            "-g",
                                            "-nowarn"),
                                    null,
                                    List.of(new Source(path, source)))
                            .call();
            if (!compiled) {
                throw new IllegalStateException(path + " does not compile: " + errors);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return classes;
    }

    private static final class Source extends SimpleJavaFileObject {
        private final String text;

        Source(String path, String text) {
            super(URI.create("planted:///" + path), Kind.SOURCE);
            this.text = text;
        }

        @Override
        public CharSequence getCharContent(boolean ignoreEncodingErrors) {
            return text;
        }
    }

    /** Takes what is compiled in place of the disk. */
    private static final class Kept extends ForwardingJavaFileManager<JavaFileManager> {
        private final Map<String, byte[]> classes;

        Kept(JavaFileManager files, Map<String, byte[]> classes) {
            super(files);
            this.classes = classes;
        }

        @Override
        public JavaFileObject getJavaFileForOutput(
                Location location, String name, JavaFileObject.Kind kind, FileObject sibling) {
            URI uri = URI.create("planted:///" + name.replace('.', '/') + kind.extension);
            return new SimpleJavaFileObject(uri, kind) {
                @Override
                public OutputStream openOutputStream() {
                    return new ByteArrayOutputStream() {
                        @Override
                        public void close() {
                            classes.put(name, toByteArray());
                        }
                    };
                }
            };
        }
    }
}
