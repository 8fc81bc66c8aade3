package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;

/** A simulated network with two hosts, for tests. */
final class TwoHosts {
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;

    final SeededRandom chance;
    final Simulation simulation;
    final Network network;
    final Host a;
    final Host b;

    TwoHosts(long seed) {
        chance = new SeededRandom(seed);
        simulation = new Simulation(chance.stream("ties"));
        network = new Network(simulation, chance.stream("network"));
        a = network.host("a", address(1), 100);
        b = network.host("b", address(2), 100);
    }

    static InetAddress address(int last) {
        try {
            return InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) last});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    static InetSocketAddress at(int last, int port) {
        return new InetSocketAddress(address(last), port);
    }

    NetworkConditions aToB() {
        return network.conditions(a, b);
    }

    NetworkConditions bToA() {
        return network.conditions(b, a);
    }

    void run(long nanos) {
        simulation.runUntil(simulation.now() + nanos);
    }

    /** Opens a connection from a to b and accepts it. */
    SimSocket connect(SimListener listener, SimSocket.Events events) throws IOException {
        SimSocket client = a.connect(listener.address(), events);
        run(MS);
        listener.accept();
        return client;
    }

    static int write(SimSocket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        return socket.write(bytes, 0, bytes.length);
    }

    /** Reads what is available, followed by "!" at the end of the stream or "?" after a reset. */
    static String read(SimSocket socket) {
        byte[] bytes = new byte[100_000];
        StringBuilder text = new StringBuilder();
        try {
            while (true) {
                int length = socket.read(bytes, 0, bytes.length);
                if (length <= 0) {
                    return text.append(length < 0 ? "!" : "").toString();
                }
                text.append(new String(bytes, 0, length, StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return text.append('?').toString();
        }
    }
}
