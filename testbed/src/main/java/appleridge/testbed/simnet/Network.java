package appleridge.testbed.simnet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A simulated IP network that carries byte streams between hosts. Its conditions (delay, loss,
 * bandwidth and so on) are set per pair of hosts and direction.
 */
public final class Network {
    private static final int CONNECTING = 1;
    private static final int CONNECTED = 2;
    private static final int ACCEPTED = 3;
    private static final int WRITTEN = 4;
    private static final int READ = 5;
    private static final int ENDED = 6;

    private final Simulation simulation;
    private final SeededRandom chance;
    private final List<Host> hosts = new ArrayList<>();
    private final Map<InetAddress, List<Host>> byAddress = new LinkedHashMap<>();
    private final List<List<NetworkConditions>> conditions = new ArrayList<>();
    private final List<Tap> taps = new ArrayList<>(2);
    private long ids;
    private long tapTime;

    public Network(Simulation simulation, SeededRandom chance) {
        this.simulation = simulation;
        this.chance = chance;
    }

    /**
     * Adds a host. Several hosts may share an address; a connect goes to the one that listens on
     * the port.
     */
    public Host host(String name, InetAddress address, int maxDescriptors) {
        Host host = new Host(this, name, address, maxDescriptors, hosts.size());
        hosts.add(host);
        byAddress.computeIfAbsent(address, any -> new ArrayList<>(1)).add(host);
        conditions.add(new ArrayList<>());
        return host;
    }

    /** The conditions from one host to another. Changes apply to whatever is sent afterwards. */
    public NetworkConditions conditions(Host from, Host to) {
        List<NetworkConditions> row = conditions.get(from.index());
        while (row.size() <= to.index()) {
            row.add(null);
        }
        NetworkConditions existing = row.get(to.index());
        if (existing == null) {
            existing = new NetworkConditions();
            row.set(to.index(), existing);
        }
        return existing;
    }

    public void tap(Tap tap) {
        taps.add(tap);
    }

    /**
     * The local time of the process whose call is being reported; valid only within a tap. Never
     * earlier than the simulation's time.
     */
    public long tapTime() {
        return tapTime;
    }

    /** The open sockets of a host, in the order in which they were opened or accepted. */
    public List<SimSocket> sockets(Host of) {
        return new ArrayList<>(of.sockets());
    }

    public Simulation simulation() {
        return simulation;
    }

    SeededRandom chance() {
        return chance;
    }

    long nextId() {
        return ++ids;
    }

    /** The host that a connect to this address reaches; null if no machine has the address. */
    Host route(Host from, InetSocketAddress to) {
        List<Host> there = byAddress.get(to.getAddress());
        if (there == null) {
            return to.getAddress().isLoopbackAddress() ? from : null;
        }
        Host last = there.get(there.size() - 1);
        SimListener listener = listener(to, last);
        return listener == null ? last : listener.host();
    }

    /**
     * The listener on the port of `at`, searched among all hosts that share the address of `first`
     * (if null: the address of `at`), the last added first; null if there is none.
     */
    SimListener listener(InetSocketAddress at, Host first) {
        List<Host> there = byAddress.get(first == null ? at.getAddress() : first.address());
        for (int i = there.size() - 1; i >= 0; i--) {
            for (SimListener listener : there.get(i).listeners()) {
                if (listener.address().getPort() == at.getPort()) {
                    return listener;
                }
            }
        }
        return null;
    }

    void connecting(SimSocket socket) {
        note(CONNECTING, socket, 0, "connects");
        for (Tap tap : taps) {
            tap.connecting(socket);
        }
    }

    void connected(SimSocket socket) {
        note(CONNECTED, socket, 0, "is connected");
        for (Tap tap : taps) {
            tap.connected(socket);
        }
    }

    void accepted(SimSocket socket) {
        note(ACCEPTED, socket, 0, "is accepted");
        for (Tap tap : taps) {
            tap.accepted(socket);
        }
    }

    void written(SimSocket by, byte[] bytes, int offset, int length) {
        note(
                WRITTEN,
                by,
                digest(bytes, offset, length),
                simulation.isTraced() ? "writes " + length : null);
        for (Tap tap : taps) {
            tap.written(by, bytes, offset, length);
        }
    }

    void read(SimSocket by, byte[] bytes, int offset, int length) {
        note(READ, by, length, simulation.isTraced() ? "reads " + length : null);
        for (Tap tap : taps) {
            tap.read(by, bytes, offset, length);
        }
    }

    void ended(SimSocket socket, String how) {
        note(ENDED, socket, how.length(), how);
        for (Tap tap : taps) {
            tap.ended(socket, how);
        }
    }

    private void note(int kind, SimSocket socket, long what, String text) {
        tapTime = socket.host().localNow();
        Supplier<String> line = simulation.isTraced() ? () -> socket + " " + text : null;
        simulation.note(kind, socket.id(), what + 31 * tapTime, line);
    }

    private static long digest(byte[] bytes, int offset, int length) {
        int hash = length;
        for (int i = offset; i < offset + length; i++) {
            hash = 31 * hash + bytes[i];
        }
        return hash;
    }
}
