package appleridge.testbed.campaign;

import appleridge.config.SidecarConfig;
import appleridge.http1.BufferBudgets;
import appleridge.http1.BufferLimits;
import appleridge.http1.ClientListener;
import appleridge.http1.ClientTimeouts;
import appleridge.http1.RequestParser;
import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import appleridge.request.Endpoint;
import appleridge.request.EndpointSubscription;
import appleridge.request.EventLog;
import appleridge.request.RequestCoordinator;
import appleridge.request.SendDeadlines;
import appleridge.request.UpstreamRequest;
import appleridge.request.UpstreamTransport;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimLoop;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import appleridge.transport.SidecarEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * The product's side towards clients on a simulated network, with a module that holds or refuses
 * all.
 */
final class Front implements AutoCloseable {
    static final long MS = 1_000_000;
    static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int PORT = 80;
    private static final String CONFIG =
            """
            {"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:9","seed":"1",
             "settings":{"profiles":[
               {"name":"pay","slo":1000000000,"deadline":3000000000,"semantics":"once"}],
             "quantum":5000000,"discovery":"subscribe",
             "caps":{"connIdle":10000000000,"connectTimeout":500000000},
             "rules":{"askWithin":10000000000,
               "answerSlack":20000000,"stopSendingWithin":2000000000,"coldShare":0.4,
               "rampTime":7000000000,"overloadFactor":4.0,"tipAfter":1500000000}}}
            """;

    final Simulation simulation;
    final Network network;
    final Host app;
    final Host sidecar;
    final SimLoop loop;
    final List<String> failures = new ArrayList<>();
    final List<String> warnings = new ArrayList<>();
    ClientListener server;
    private boolean refuses;
    private int names;

    Front(long seed, int maxConnections, ClientTimeouts times) throws IOException {
        SeededRandom chance = new SeededRandom(seed);
        simulation = new Simulation(chance.stream("ties"));
        network = new Network(simulation, chance.stream("network"));
        app = network.host("app", address(1), 10_000);
        sidecar = network.host("sidecar", address(2), 10_000);
        loop =
                new SimLoop(
                        simulation,
                        sidecar,
                        chance.stream("sidecar"),
                        new SimLoop.Costs(10_000, 2_000, 100));
        SidecarConfig config = SidecarConfig.parse(CONFIG.getBytes(StandardCharsets.UTF_8));
        loop.execute(
                () -> {
                    SidecarEventLoop time =
                            new SidecarEventLoop(loop, () -> simulation.now() / MS, new Noting());
                    RequestCoordinator exchanges =
                            new RequestCoordinator(
                                    time,
                                    time,
                                    config.settings(),
                                    10_000,
                                    new NoUpstreams(),
                                    time.log(),
                                    Module::new);
                    exchanges.start(new NoLists(), List.of(), Map.of());
                    server =
                            new ClientListener(
                                    time,
                                    new SimSockets(loop),
                                    exchanges,
                                    new RequestParser(config),
                                    maxConnections,
                                    times,
                                    BufferBudgets.of(
                                            new BufferLimits(16 << 20, 8 << 20, 8 << 20, 4 << 20),
                                            time.log()));
                    server.listen(new InetSocketAddress(sidecar.address(), PORT));
                });
        run(MS);
    }

    private static InetAddress address(int last) {
        try {
            return InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) last});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    void run(long nanos) {
        simulation.runUntil(simulation.now() + nanos);
    }

    /** From now on all that comes is refused at once; else it is held until its time is up. */
    void refuses() {
        refuses = true;
    }

    /** A new connection of the application's. */
    Client client() throws IOException {
        return new Client();
    }

    List<Client> clients(int number) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            clients.add(client());
        }
        return clients;
    }

    String request() {
        return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: "
                + ++names
                + "\r\nX-Class: pay\r\nX-Deadline: 3.0\r\nContent-Length: 0\r\n\r\n";
    }

    @Override
    public void close() {
        loop.die();
    }

    /** One connection of the application's. */
    final class Client implements SimSocket.Events {
        final SimSocket socket;
        private final StringBuilder heard = new StringBuilder();
        private final ArrayList<byte[]> rest = new ArrayList<>();
        private boolean deaf;
        private boolean ended;

        private Client() throws IOException {
            socket = app.connect(new InetSocketAddress(sidecar.address(), PORT), this);
        }

        /** It reads nothing from now on. */
        void readsNothing() {
            deaf = true;
        }

        void readsOn() {
            deaf = false;
            readable();
        }

        /** Sends as soon as the connection takes it. */
        Client send(String text) {
            rest.add(text.getBytes(StandardCharsets.US_ASCII));
            writable();
            return this;
        }

        @Override
        public void connected() {
            writable();
        }

        @Override
        public void failed(IOException why) {
            ended = true;
        }

        @Override
        public void writable() {
            try {
                while (socket.isEstablished() && !rest.isEmpty()) {
                    byte[] next = rest.get(0);
                    int done = socket.write(next, 0, next.length);
                    rest.remove(0);
                    if (done < next.length) {
                        rest.add(0, Arrays.copyOfRange(next, done, next.length));
                        return;
                    }
                }
            } catch (IOException e) {
                end();
            }
        }

        @Override
        public void readable() {
            byte[] bytes = new byte[8192];
            try {
                while (!deaf && !ended) {
                    int length = socket.read(bytes, 0, bytes.length);
                    if (length <= 0) {
                        if (length < 0) {
                            end();
                        }
                        return;
                    }
                    heard.append(new String(bytes, 0, length, StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                end();
            }
        }

        private void end() {
            ended = true;
            socket.close();
        }

        /** Whether the sidecar has ended the connection and the client knows. */
        boolean ended() {
            return ended;
        }

        /** The statuses of what was answered. */
        List<Integer> statuses() {
            List<Integer> statuses = new ArrayList<>();
            for (String each : heard.toString().split("HTTP/1.1 ")) {
                if (!each.isEmpty()) {
                    statuses.add(Integer.parseInt(each.substring(0, 3)));
                }
            }
            return statuses;
        }
    }

    private final class Noting implements EventLog {
        @Override
        public void info(String line) {}

        @Override
        public void warning(String line) {
            warnings.add(line);
        }

        @Override
        public void failure(String what, Throwable cause) {
            failures.add(what + ": " + cause);
        }
    }

    private final class Module implements LoadBalancingPolicy {
        private final PolicyActions actions;

        Module(PolicyActions actions) {
            this.actions = actions;
        }

        @Override
        public void start(long now) {}

        @Override
        public void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries) {}

        @Override
        public void onRequest(long now, RequestInfo request) {
            if (refuses) {
                actions.reject(request.id(), 0, AnswerReason.NO_READY_HOST);
            }
        }

        @Override
        public void onResponseStarted(
                long now, long request, int attempt, long upstream, long elapsed) {}

        @Override
        public void onAttemptEnded(
                long now,
                long request,
                int attempt,
                long upstream,
                Outcome outcome,
                long elapsed,
                boolean ended,
                float[] load) {}

        @Override
        public void onClientDisconnected(long now, long request) {}

        @Override
        public void onTimer(long now, long token) {}
    }

    private static final class NoUpstreams implements UpstreamTransport {
        @Override
        public AttemptHandle send(
                Endpoint to, UpstreamRequest what, SendDeadlines window, AttemptListener listener) {
            throw new IllegalStateException("nothing is sent on here");
        }

        @Override
        public void closeIdleConnections(Endpoint endpoint) {}
    }

    private static final class NoLists implements EndpointSubscription {
        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void readPendingUpdates(long stalledSinceNanos) {}
    }
}
