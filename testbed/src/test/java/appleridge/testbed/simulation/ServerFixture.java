package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Two order servers and a discovery service, to which a test connects directly. */
final class ServerFixture {
    final DayRecorder recorder = new DayRecorder();
    final Simulation simulation = new Simulation(new SeededRandom(1));
    final Network network = new Network(simulation, new SeededRandom(2));
    final Day day;
    final Instances instances;
    final Fleet fleet;
    final Registry registry;
    private final Host sidecar = network.host("n0", Site.address(1, 0, 1), 1000);

    ServerFixture(String parameters) {
        day =
                new Day(
                        Plan.parse(
                                "seed 1\n"
                                        + "set errors 0\n"
                                        + "set handshake 0\n"
                                        + "set chunked 0\n"
                                        + "set servers 2\n"
                                        + "set large-answers 0\n"
                                        + parameters),
                        simulation,
                        network,
                        recorder,
                        new SeededRandom(3));
        instances = new Instances(day);
        fleet = new Fleet(day.plan, instances);
        for (int i = 0; i < 2; i++) {
            Host host = network.host("s" + i, Site.address(3, i, 1), 1000);
            fleet.machines().add(new Machine(day, fleet, "s" + i, i, host));
        }
        fleet.machines().forEach(each -> each.begin(new RequestStates()));
        instances.endHistory();
        registry =
                new Registry(
                        day,
                        instances,
                        new DeliveredEndpointUpdates(recorder),
                        network.host("d", Site.address(4, 0, 1), 1000),
                        0,
                        0);
        registry.listen();
    }

    Machine machine(int number) {
        return fleet.machines().get(number);
    }

    /** Registers a request as sent by a regular client, so that the servers process it. */
    ServerFixture addRequest(String id, int requestClass, String key, long work) {
        byte[] body = (requestClass == 0 ? "" : "abc").getBytes(StandardCharsets.ISO_8859_1);
        Message message =
                Message.of(requestClass == 0 ? "GET" : "POST", "/api", key, body, body.length);
        day.sentRequests.add(id, new SentRequestRegistry.SentRequest(requestClass, message, work));
        return this;
    }

    static String get(String id) {
        return "GET /api HTTP/1.1\r\nX-Request-Id: " + id + "\r\nX-Deadline: 0.4\r\n\r\n";
    }

    static String post(String id, String key) {
        return "POST /api HTTP/1.1\r\nX-Request-Id: "
                + id
                + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: 3\r\n\r\nabc";
    }

    /** Runs the simulation for this many nanoseconds. */
    void advance(long wait) {
        simulation.runUntil(simulation.now() + wait);
    }

    /** Sets the one-way delay from discovery to the test. */
    void delayFromDiscovery(long delay) {
        network.conditions(registry.host(), sidecar).delay = delay;
    }

    Connection connect(InetSocketAddress to) {
        return new Connection(to);
    }

    Connection connectToServer(int number) {
        return connect(machine(number).address());
    }

    Connection connectToDiscovery() {
        return connect(registry.address());
    }

    /** The test's end of a connection; the tests act as a sidecar. */
    final class Connection implements SimSocket.Events {
        private final StringBuilder received = new StringBuilder();
        private final SimSocket socket;
        private boolean closed;
        private boolean connectFailed;
        private boolean readingStopped;

        private Connection(InetSocketAddress to) {
            try {
                socket = sidecar.connect(to, this);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            advance(10 * Site.MS);
        }

        Connection send(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            try {
                socket.write(bytes, 0, bytes.length);
            } catch (IOException e) {
                closed = true;
            }
            return this;
        }

        /** Waits, and returns all that has been received since the last call. */
        String receive(long wait) {
            advance(wait);
            String all = received.toString();
            received.setLength(0);
            return all;
        }

        /** Reads nothing from now on. */
        Connection stopReading() {
            readingStopped = true;
            return this;
        }

        /** Whether the other end has closed or reset this connection. */
        boolean isClosed() {
            return closed;
        }

        boolean hasConnectFailed() {
            return connectFailed;
        }

        void close() {
            socket.close();
        }

        @Override
        public void failed(IOException why) {
            connectFailed = true;
        }

        @Override
        public void readable() {
            if (readingStopped) {
                return;
            }
            byte[] bytes = new byte[4096];
            try {
                int read = socket.read(bytes, 0, bytes.length);
                while (read > 0) {
                    received.append(new String(bytes, 0, read, StandardCharsets.ISO_8859_1));
                    read = socket.read(bytes, 0, bytes.length);
                }
                closed |= read < 0;
            } catch (IOException e) {
                closed = true;
            }
        }
    }
}
