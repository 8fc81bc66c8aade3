package appleridge.testbed.invariants;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimListener;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An application, a sidecar and an order server on a simulated network; the test moves every byte.
 */
final class NetworkFixture {
    static final String SIDECAR = "side-0";
    private static final int PORT = 80;

    final Simulation simulation;
    final Network network;
    final Host app;
    final Host sidecar;
    final Host server;
    final SimListener sidecarListener;
    final SimListener serverListener;
    final RequestStates states = new RequestStates();

    /** Each state that was entered, with the request's id. */
    final List<String> enteredStates = new ArrayList<>();

    private long lastKey;

    NetworkFixture() throws IOException {
        SeededRandom chance = new SeededRandom(1);
        simulation = new Simulation(chance.stream("ties"));
        network = new Network(simulation, chance.stream("network"));
        app = host("app", 1);
        sidecar = host("side-0-process", 2);
        server = host("machine-1", 3);
        sidecarListener = sidecar.listen(new InetSocketAddress(sidecar.address(), PORT), 10);
        serverListener = server.listen(new InetSocketAddress(server.address(), PORT), 10);
        states.registerSidecar(sidecar.name(), SIDECAR);
        states.registerServer(server.name(), "a-1");
        network.tap(states);
        for (RequestState each : RequestState.values()) {
            states.onEnter(each, now -> enteredStates.add(now.state() + " " + now.id()));
        }
    }

    private Host host(String name, int last) throws IOException {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) last}), 100);
    }

    SimSocket connect(Host from, SimListener to) throws IOException {
        return from.connect(to.address(), new SimSocket.Events() {});
    }

    /** Returns both ends, the connecting one first. */
    SimSocket[] connected(Host from, SimListener to) throws IOException {
        SimSocket client = connect(from, to);
        run();
        return new SimSocket[] {client, to.accept()};
    }

    void run() {
        simulation.runUntil(simulation.now() + 5_000_000);
    }

    void startRequest(String id) {
        states.requestStarted(
                new ClientAttempt(
                        id,
                        id,
                        0,
                        SIDECAR,
                        0,
                        0,
                        null,
                        ++lastKey,
                        simulation.now(),
                        400_000_000L,
                        500_000_000L));
        states.moduleAccepted(SIDECAR, 1, lastKey, lastKey);
    }

    /**
     * Starts an attempt for the request with the module's number {@code number}, counted from 1.
     */
    void startAttempt(long number) {
        states.moduleStartedAttempt(SIDECAR, 1, number, "a-1");
    }

    void failAttempt(long number, int attempt) {
        states.moduleOutcome(SIDECAR, 1, number, attempt, "RESET", false);
    }

    static void write(SimSocket by, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        int written = by.write(bytes, 0, bytes.length);
        if (written != bytes.length) {
            throw new IOException(
                    "wrote " + written + " of " + bytes.length + " bytes: send buffer is full");
        }
    }

    static void read(SimSocket by) throws IOException {
        while (by.read(new byte[1000], 0, 1000) > 0) {
            continue;
        }
    }

    static String get(String id) {
        return "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: stock-check\r\n\r\n";
    }

    static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
