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

/** Writes down what is delivered, and on which thread. */
final class RecordingSessionListener implements SessionListener {
    final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
    volatile StalenessCause doubt = StalenessCause.NONE;
    volatile Map<String, NodeRead> last = Map.of();
    volatile long lastZxid;
    private final Supplier<Boolean> onLoop;
    volatile boolean elsewhere;

    RecordingSessionListener(Supplier<Boolean> onLoop) {
        this.onLoop = onLoop;
    }

    private void line(String line) {
        elsewhere |= !onLoop.get();
        lines.add(line);
    }

    static String what(NodeRead read) {
        return read.data() == null
                ? "?" + read.problem()
                : read.data().address().getPort() + "" + read.data().state();
    }

    @Override
    public void onSessionState(long now, SessionState state) {
        line("session " + state);
    }

    @Override
    public void onSnapshot(long now, long told, long zxid, Map<String, NodeRead> nodes) {
        last = nodes;
        lastZxid = zxid;
        Map<String, String> all = new TreeMap<>();
        if (nodes.size() <= 10) {
            nodes.forEach((name, read) -> all.put(name, what(read)));
        }
        line("snapshot " + (all.size() == nodes.size() ? all : nodes.size()));
    }

    @Override
    public void onNodeChanged(long now, long told, long zxid, String name) {
        line("changed " + name);
    }

    @Override
    public void onNodeRead(long now, String name, NodeRead read) {
        line("read " + name + " " + what(read));
    }

    @Override
    public void onNodeDeleted(long now, long told, long zxid, String name) {
        line("gone " + name);
    }

    @Override
    public void onStale(long now, StalenessCause why) {
        line("doubt " + why);
    }

    @Override
    public void onAccepted(long now) {
        line("accept");
    }

    @Override
    public StalenessCause staleness() {
        return doubt;
    }

    /** The next line, which has to be this. */
    void next(String expected) throws InterruptedException {
        assertEquals(expected, lines.poll(20, TimeUnit.SECONDS));
    }

    /** Passes over what comes before this line. */
    void until(String expected) throws InterruptedException {
        String line;
        do {
            line = lines.poll(20, TimeUnit.SECONDS);
            assertNotNull(line, "never delivered: " + expected);
        } while (!line.equals(expected));
    }
}
