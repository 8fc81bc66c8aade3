package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A process on a machine of its own, as the network sees it. Several may share an address. */
public final class Host {
    private static final int FIRST_PORT = 32_768;
    private static final int PORTS = 28_232;

    private final Network network;
    private final String name;
    private final InetAddress address;
    private final Set<SimSocket> sockets = new LinkedHashSet<>();
    private final List<SimListener> listeners = new ArrayList<>();
    private final int index;
    private int maxDescriptors;
    private int ports;
    private int epoch;
    private int reserved;
    private long ahead;
    private boolean vanished;
    private boolean alive = true;

    Host(Network network, String name, InetAddress address, int maxDescriptors, int index) {
        this.network = network;
        this.name = name;
        this.address = address;
        this.maxDescriptors = maxDescriptors;
        this.index = index;
    }

    public String name() {
        return name;
    }

    public InetAddress address() {
        return address;
    }

    public Network network() {
        return network;
    }

    /**
     * Port 0 takes a free one. Throws if it is taken or descriptors are out. A dead process lives
     * again.
     */
    public SimListener listen(InetSocketAddress at, int backlog) throws IOException {
        checkDescriptors();
        return open(at, backlog);
    }

    /** Listens without asking for a descriptor. */
    SimListener open(InetSocketAddress at, int backlog) throws IOException {
        InetSocketAddress own =
                new InetSocketAddress(address, at.getPort() == 0 ? port() : at.getPort());
        if (network.listener(own, null) != null) {
            throw new BindException("Address already in use: " + own);
        }
        alive = true;
        SimListener listener = new SimListener(this, own, backlog);
        listeners.add(listener);
        return listener;
    }

    /** Throws if out of descriptors; all else is told to `events`. A dead process lives again. */
    public SimSocket connect(InetSocketAddress to, SimSocket.Events events) throws IOException {
        checkDescriptors();
        return open(to, events);
    }

    /** Connects without asking for a descriptor. */
    SimSocket open(InetSocketAddress to, SimSocket.Events events) {
        alive = true;
        Host target = network.route(this, to);
        SimSocket socket =
                new SimSocket(
                        this,
                        target == null ? this : target,
                        new InetSocketAddress(address, port()),
                        to,
                        network.nextId(),
                        null);
        socket.events(events);
        hold(socket);
        network.connecting(socket);
        if (!socket.isOpen()) {
            return socket;
        }
        if (target == null) {
            Handshake.lost(socket);
        } else {
            Handshake.begin(socket, target);
        }
        return socket;
    }

    /** Open files: listeners, and sockets connecting, connected or not yet closed. */
    public int descriptors() {
        return reserved + listeners.size() + sockets.size();
    }

    /** Whether nothing can be opened or accepted now. */
    public boolean isFull() {
        return descriptors() >= maxDescriptors;
    }

    public void maxDescriptors(int most) {
        maxDescriptors = most;
    }

    /**
     * The process ends: every connection is reset and listeners closed; peers hear of it after the
     * delay.
     */
    public void die() {
        alive = false;
        reserved = 0;
        for (SimListener listener : List.copyOf(listeners)) {
            listener.close();
        }
        for (SimSocket socket : List.copyOf(sockets)) {
            socket.reset();
        }
    }

    /**
     * The machine says nothing any more, and hears nothing. Its process goes on unless it is ended
     * too.
     */
    public void vanish() {
        vanished = true;
    }

    /**
     * The machine speaks again and knows nothing of its old connections; listeners are as they
     * were.
     */
    public void reappear() {
        if (!vanished) {
            return;
        }
        vanished = false;
        epoch++;
        for (SimListener listener : listeners) {
            listener.forget();
        }
        for (SimSocket socket : List.copyOf(sockets)) {
            socket.forget();
        }
    }

    public boolean alive() {
        return alive;
    }

    public boolean isVanished() {
        return vanished;
    }

    /**
     * This process's own present: ahead of the simulation's while it is in the middle of a task.
     */
    public long localNow() {
        return network.simulation().now() + ahead;
    }

    /** Set by who runs the process's tasks. */
    void ahead(long nanos) {
        ahead = nanos;
    }

    int index() {
        return index;
    }

    /** Grows when the machine has lost its connections. */
    int epoch() {
        return epoch;
    }

    List<SimListener> listeners() {
        return listeners;
    }

    Set<SimSocket> sockets() {
        return sockets;
    }

    void checkDescriptors() throws IOException {
        if (descriptors() >= maxDescriptors) {
            throw new IOException("Too many open files");
        }
    }

    /** A descriptor for a socket that neither listens nor connects so far. */
    void reserve() throws IOException {
        checkDescriptors();
        reserved++;
    }

    void unreserve() {
        reserved = Math.max(0, reserved - 1);
    }

    void hold(SimSocket socket) {
        sockets.add(socket);
    }

    void release(SimSocket socket) {
        sockets.remove(socket);
    }

    void release(SimListener listener) {
        listeners.remove(listener);
    }

    private int port() {
        return FIRST_PORT + ports++ % PORTS;
    }
}
