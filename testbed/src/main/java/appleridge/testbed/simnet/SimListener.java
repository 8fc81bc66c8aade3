package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * A listening socket. Established connections wait in its backlog until accepted; their bytes may
 * arrive before.
 */
public final class SimListener {
    private final Host host;
    private final InetSocketAddress address;
    private final int backlog;
    private final ArrayDeque<SimSocket> waiting = new ArrayDeque<>();
    private Runnable onEnter = () -> {};
    private boolean open = true;

    SimListener(Host host, InetSocketAddress address, int backlog) {
        this.host = host;
        this.address = address;
        this.backlog = Math.max(1, backlog);
    }

    /**
     * Accepts the oldest waiting connection; null if there is none. Throws if no descriptor is
     * left; the connection then stays in the backlog.
     */
    public SimSocket accept() throws IOException {
        SimSocket first = waiting.peek();
        if (first == null) {
            return null;
        }
        host.checkDescriptors();
        waiting.poll();
        first.accept();
        return first;
    }

    /** Sets a callback that runs whenever a connection enters the backlog. */
    public void onAcceptable(Runnable what) {
        onEnter = what;
    }

    public int waiting() {
        return waiting.size();
    }

    /** Closes the listener and resets the connections in its backlog. */
    public void close() {
        if (open) {
            open = false;
            host.remove(this);
            while (!waiting.isEmpty()) {
                waiting.poll().reset();
            }
        }
    }

    public boolean isOpen() {
        return open;
    }

    Host host() {
        return host;
    }

    public InetSocketAddress address() {
        return address;
    }

    boolean isFull() {
        return waiting.size() >= backlog;
    }

    void enterBacklog(SimSocket socket) {
        waiting.add(socket);
        onEnter.run();
    }

    /** Drops the backlog, because the machine has lost its connections. */
    void dropBacklog() {
        waiting.clear();
    }
}
