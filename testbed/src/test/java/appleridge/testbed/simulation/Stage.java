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

/** Some order servers and a discovery with nothing before them but the test. */
final class Stage {
    final Recorded told = new Recorded();
    final Simulation simulation = new Simulation(new SeededRandom(1));
    final Network network = new Network(simulation, new SeededRandom(2));
    final Day day;
    final Instances instances;
    final Fleet fleet;
    final Registry registry;
    private final Host sidecar = network.host("n0", Site.address(1, 0, 1), 1000);

    Stage(String sizes) {
        day =
                new Day(
                        Plan.parse(
                                "seed 1\n"
                                        + "set errors 0\n"
                                        + "set handshake 0\n"
                                        + "set chunked 0\n"
                                        + "set servers 2\n"
                                        + "set large-answers 0\n"
                                        + sizes),
                        simulation,
                        network,
                        told,
                        new SeededRandom(3));
        instances = new Instances(day);
        fleet = new Fleet(day.plan, instances);
        for (int i = 0; i < 2; i++) {
            Host host = network.host("s" + i, Site.address(3, i, 1), 1000);
            fleet.machines().add(new Machine(day, fleet, "s" + i, i, host));
        }
        fleet.machines().forEach(each -> each.begin(new RequestStates()));
        instances.pastEnds();
        registry =
                new Registry(
                        day,
                        instances,
                        new DeliveredEndpointUpdates(told),
                        network.host("d", Site.address(4, 0, 1), 1000),
                        0,
                        0);
        registry.listen();
    }

    Machine machine(int number) {
        return fleet.machines().get(number);
    }

    /** What a server is to know of a request. */
    Stage knows(String id, int requestClass, String key, long work) {
        byte[] body = (requestClass == 0 ? "" : "abc").getBytes(StandardCharsets.ISO_8859_1);
        Message message =
                Message.of(requestClass == 0 ? "GET" : "POST", "/api", key, body, body.length);
        day.asked.add(id, new SentRequestRegistry.Form(requestClass, message, work));
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

    void after(long wait) {
        simulation.runUntil(simulation.now() + wait);
    }

    /** What discovery says takes so long. */
    void slowFromDiscovery(long delay) {
        network.conditions(registry.host(), sidecar).delay = delay;
    }

    Line connect(InetSocketAddress to) {
        return new Line(to);
    }

    Line toServer(int number) {
        return connect(machine(number).address());
    }

    Line toDiscovery() {
        return connect(registry.address());
    }

    /** A connection that a test speaks on. */
    final class Line implements SimSocket.Events {
        private final StringBuilder heard = new StringBuilder();
        private final SimSocket socket;
        private boolean ended;
        private boolean failed;
        private boolean deaf;

        private Line(InetSocketAddress to) {
            try {
                socket = sidecar.connect(to, this);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            after(10 * Site.MS);
        }

        Line say(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            try {
                socket.write(bytes, 0, bytes.length);
            } catch (IOException e) {
                ended = true;
            }
            return this;
        }

        /** All that was heard since the last look, after so long. */
        String hear(long wait) {
            after(wait);
            String all = heard.toString();
            heard.setLength(0);
            return all;
        }

        /** Reads nothing from now on. */
        Line deaf() {
            deaf = true;
            return this;
        }

        boolean isEnded() {
            return ended;
        }

        boolean hasFailed() {
            return failed;
        }

        void close() {
            socket.close();
        }

        @Override
        public void failed(IOException why) {
            failed = true;
        }

        @Override
        public void readable() {
            if (deaf) {
                return;
            }
            byte[] bytes = new byte[4096];
            try {
                int read = socket.read(bytes, 0, bytes.length);
                while (read > 0) {
                    heard.append(new String(bytes, 0, read, StandardCharsets.ISO_8859_1));
                    read = socket.read(bytes, 0, bytes.length);
                }
                ended |= read < 0;
            } catch (IOException e) {
                ended = true;
            }
        }
    }
}
