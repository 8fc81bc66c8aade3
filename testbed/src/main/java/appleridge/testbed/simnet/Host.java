package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * An endpoint of the simulated network: a process on a machine of its own. Several hosts may have
 * the same address.
 */
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
    private int portsAssigned;
    private int epoch;
    private int reservedDescriptors;
    private long leadNanos;
    private boolean isolated;
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
     * Opens a listener; port 0 picks a free port. Throws if the port is in use or no descriptor is
     * left. A dead process is alive again afterwards.
     */
    public SimListener listen(InetSocketAddress at, int backlog) throws IOException {
        checkDescriptors();
        return open(at, backlog);
    }

    /** Opens a listener without checking the descriptor limit. */
    SimListener open(InetSocketAddress at, int backlog) throws IOException {
        InetSocketAddress own =
                new InetSocketAddress(address, at.getPort() == 0 ? nextPort() : at.getPort());
        if (network.listener(own, null) != null) {
            throw new BindException("Address already in use: " + own);
        }
        alive = true;
        SimListener listener = new SimListener(this, own, backlog);
        listeners.add(listener);
        return listener;
    }

    /**
     * Opens a connection. Throws if no descriptor is left; every other outcome is reported to
     * {@code events}. A dead process is alive again afterwards.
     */
    public SimSocket connect(InetSocketAddress to, SimSocket.Events events) throws IOException {
        checkDescriptors();
        return open(to, events);
    }

    /** Opens a connection without checking the descriptor limit. */
    SimSocket open(InetSocketAddress to, SimSocket.Events events) {
        alive = true;
        Host target = network.route(this, to);
        SimSocket socket =
                new SimSocket(
                        this,
                        target == null ? this : target,
                        new InetSocketAddress(address, nextPort()),
                        to,
                        network.nextId(),
                        null);
        socket.events(events);
        add(socket);
        network.connecting(socket);
        if (!socket.isOpen()) {
            return socket;
        }
        if (target == null) {
            Handshake.failUnroutable(socket);
        } else {
            Handshake.begin(socket, target);
        }
        return socket;
    }

    /**
     * Open descriptors: listeners, and sockets that are connecting, connected or not yet closed.
     */
    public int descriptors() {
        return reservedDescriptors + listeners.size() + sockets.size();
    }

    /** Whether the descriptor limit is reached, so that nothing can be opened or accepted. */
    public boolean isFull() {
        return descriptors() >= maxDescriptors;
    }

    public void maxDescriptors(int limit) {
        maxDescriptors = limit;
    }

    /**
     * Ends the process: listeners are closed and every connection is reset. Peers receive the
     * resets after the network delay.
     */
    public void die() {
        alive = false;
        reservedDescriptors = 0;
        for (SimListener listener : List.copyOf(listeners)) {
            listener.close();
        }
        for (SimSocket socket : List.copyOf(sockets)) {
            socket.reset();
        }
    }

    /**
     * Isolates the machine: it sends and receives nothing. Its process keeps running unless it is
     * ended as well.
     */
    public void isolate() {
        isolated = true;
    }

    /**
     * Reconnects a machine that was isolated. It has lost its connections and backlogs; its
     * listeners stay open.
     */
    public void reconnect() {
        if (!isolated) {
            return;
        }
        isolated = false;
        epoch++;
        for (SimListener listener : listeners) {
            listener.dropBacklog();
        }
        for (SimSocket socket : List.copyOf(sockets)) {
            socket.loseConnection();
        }
    }

    public boolean alive() {
        return alive;
    }

    public boolean isIsolated() {
        return isolated;
    }

    /**
     * The local time of this process, in nanoseconds: ahead of the simulation's time while a task
     * is running.
     */
    public long localNow() {
        return network.simulation().now() + leadNanos;
    }

    /** Sets how far local time is ahead of the simulation's; called by the process's event loop. */
    void setLead(long nanos) {
        leadNanos = nanos;
    }

    int index() {
        return index;
    }

    /** Incremented each time the machine loses its connections. */
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

    /**
     * Reserves a descriptor for a socket that has been created but doesn't listen or connect yet.
     */
    void reserve() throws IOException {
        checkDescriptors();
        reservedDescriptors++;
    }

    void unreserve() {
        reservedDescriptors = Math.max(0, reservedDescriptors - 1);
    }

    void add(SimSocket socket) {
        sockets.add(socket);
    }

    void remove(SimSocket socket) {
        sockets.remove(socket);
    }

    void remove(SimListener listener) {
        listeners.remove(listener);
    }

    private int nextPort() {
        return FIRST_PORT + portsAssigned++ % PORTS;
    }
}
