package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** A socket that listens; accepted connections wait in its backlog, with bytes arriving. */
public final class SimListener {
    private final Host host;
    private final InetSocketAddress address;
    private final int backlog;
    private final ArrayDeque<SimSocket> waiting = new ArrayDeque<>();
    private Runnable told = () -> {};
    private boolean open = true;

    SimListener(Host host, InetSocketAddress address, int backlog) {
        this.host = host;
        this.address = address;
        this.backlog = Math.max(1, backlog);
    }

    /**
     * Null if none waits; throws when out of descriptors, the connection then stays in the backlog.
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

    /** Told of every connection that enters the backlog. */
    public void onAcceptable(Runnable what) {
        told = what;
    }

    public int waiting() {
        return waiting.size();
    }

    /** Connections still in the backlog are reset. */
    public void close() {
        if (open) {
            open = false;
            host.release(this);
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

    void enter(SimSocket socket) {
        waiting.add(socket);
        told.run();
    }

    /** The machine has lost what waited. */
    void forget() {
        waiting.clear();
    }
}
