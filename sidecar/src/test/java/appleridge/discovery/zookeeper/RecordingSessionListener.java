package appleridge.discovery.zookeeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Records each call as one line of text, and whether any call came on a thread other than the
 * loop's.
 */
final class RecordingSessionListener implements SessionListener {
    final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();

    /** What {@link #staleness()} returns. */
    volatile StalenessCause staleness = StalenessCause.NONE;

    /** The nodes of the last snapshot. */
    volatile Map<String, NodeRead> last = Map.of();

    volatile long lastZxid;
    volatile boolean calledOffLoop;
    private final Supplier<Boolean> onLoop;

    RecordingSessionListener(Supplier<Boolean> onLoop) {
        this.onLoop = onLoop;
    }

    private void record(String line) {
        calledOffLoop |= !onLoop.get();
        lines.add(line);
    }

    private static String describe(NodeRead read) {
        return read.data() == null
                ? "?" + read.problem()
                : read.data().address().getPort() + "" + read.data().state();
    }

    @Override
    public void onSessionState(long now, SessionState state) {
        record("session " + state);
    }

    @Override
    public void onSnapshot(long now, long asOfNanos, long zxid, Map<String, NodeRead> nodes) {
        last = nodes;
        lastZxid = zxid;
        Map<String, String> all = new TreeMap<>();
        if (nodes.size() <= 10) {
            nodes.forEach((name, read) -> all.put(name, describe(read)));
        }
        record("snapshot " + (all.size() == nodes.size() ? all : nodes.size()));
    }

    @Override
    public void onNodeChanged(long now, long notifiedAtNanos, long zxid, String name) {
        record("changed " + name);
    }

    @Override
    public void onNodeRead(long now, String name, NodeRead read) {
        record("read " + name + " " + describe(read));
    }

    @Override
    public void onNodeDeleted(long now, long notifiedAtNanos, long zxid, String name) {
        record("deleted " + name);
    }

    @Override
    public void onStale(long now, StalenessCause cause) {
        record("stale " + cause);
    }

    @Override
    public void onAccepted(long now) {
        record("accept");
    }

    @Override
    public StalenessCause staleness() {
        return staleness;
    }

    /** Waits for the next line and asserts that it is the expected one. */
    void next(String expected) throws InterruptedException {
        assertEquals(expected, lines.poll(20, TimeUnit.SECONDS));
    }

    /** Waits for this line and skips all lines before it. */
    void until(String expected) throws InterruptedException {
        String line;
        do {
            line = lines.poll(20, TimeUnit.SECONDS);
            assertNotNull(line, "not delivered within 20 s: " + expected);
        } while (!line.equals(expected));
    }
}
