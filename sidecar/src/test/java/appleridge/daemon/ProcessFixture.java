package appleridge.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A sidecar process behind a silent discovery, its upstreams, and whatever else a test opens; all
 * of them are closed together.
 */
final class ProcessFixture {
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final List<String> targets = new ArrayList<>();

    /** Closes the resource at the end of the test. */
    <T extends AutoCloseable> T open(T resource) {
        opened.add(resource);
        return resource;
    }

    /** Adds an upstream of the sidecar, which is started later. */
    void addTarget(String name, String address) {
        targets.add(LoopbackSidecar.target(name, address, "Ready"));
    }

    /** Starts the sidecar with default settings and waits until it is ready. */
    SidecarProcess startSidecar(Path folder) throws IOException {
        StubUpstream discovery = open(new StubUpstream(StubUpstream.SILENT));
        return open(
                SidecarProcess.start(
                        folder,
                        LoopbackSidecar.json(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                discovery.address(),
                                targets.toArray(String[]::new)),
                        Map.of()));
    }

    /** Closes everything in the order in which it was opened. */
    void close() throws Exception {
        for (AutoCloseable each : opened) {
            each.close();
        }
    }
}
