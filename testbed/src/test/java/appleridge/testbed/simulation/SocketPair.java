package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimListener;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Two simulated hosts and an open connection between them. */
final class SocketPair {
    final Simulation simulation = new Simulation(new SeededRandom(1));
    final Network network = new Network(simulation, new SeededRandom(2));
    private final Host clientHost = network.host("one", Site.address(9, 0, 1), 100);
    private final Host serverHost = network.host("other", Site.address(9, 0, 2), 100);
    private final SimSocket client;
    private final SimSocket server;

    SocketPair() throws IOException {
        InetSocketAddress address = new InetSocketAddress(serverHost.address(), 80);
        SimListener listener = serverHost.listen(address, 5);
        client = clientHost.connect(address, new SimSocket.Events() {});
        settle();
        server = listener.accept();
    }

    SimSocket client() {
        return client;
    }

    SimSocket server() {
        return server;
    }

    /** Runs the simulation for 100 ms, so that everything in transit arrives. */
    void settle() {
        simulation.runUntil(simulation.now() + 100 * Site.MS);
    }

    /** Reads all available bytes as ISO 8859-1 text. */
    static String text(SimSocket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] bytes = new byte[1000];
        int read = socket.read(bytes, 0, bytes.length);
        while (read > 0) {
            for (int i = 0; i < read; i++) {
                text.append((char) (bytes[i] & 0xff));
            }
            read = socket.read(bytes, 0, bytes.length);
        }
        return text.toString();
    }
}
