package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimListener;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Minimal stand-in for a sidecar: forwards each request once to the next server of its list and
 * implements none of the balancing rules.
 */
final class DumbSidecar implements SidecarHost {
    private static final Pattern ENTRY =
            Pattern.compile(
                    "\"uid\":\"([^\"]*)\",\"endpoint\":\"([0-9.]+:[0-9]+)\".*?\"state\":\"([^\"]*)\"");
    private static final long START_DELAY = 20 * Site.MS;
    private static final long DRAIN_DELAY = 600 * Site.MS;

    private final Simulation simulation;
    private final Map<String, InetSocketAddress> servers = new LinkedHashMap<>();
    private final List<String> log;
    private SidecarHost.Process process;
    private SimListener listener;
    private InetSocketAddress discovery;
    private SimSocket watch;
    private long revision;
    private int nextServer;
    private long pausedUntil;

    DumbSidecar(Simulation simulation, List<String> log) {
        this.simulation = simulation;
        this.log = log;
    }

    @Override
    public void start(Process starting) {
        process = starting;
        log.add("start " + starting.name() + " " + starting.life());
        discovery = discovery(starting.config());
        servers.clear();
        applyList(starting.config());
        simulation.after(
                START_DELAY,
                () -> {
                    if (process == starting) {
                        listen();
                        watchDiscovery();
                    }
                });
    }

    private static InetSocketAddress discovery(String config) {
        Matcher matcher = Pattern.compile("\"discovery\":\"([0-9.]+:[0-9]+)\"").matcher(config);
        if (!matcher.find()) {
            throw new IllegalArgumentException("no discovery address in " + config);
        }
        return address(matcher.group(1));
    }

    private static InetSocketAddress address(String text) {
        String[] parts = text.split("[.:]");
        byte[] bytes = new byte[4];
        for (int i = 0; i < 4; i++) {
            bytes[i] = (byte) Integer.parseInt(parts[i]);
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(bytes), Integer.parseInt(parts[4]));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void applyList(String list) {
        Matcher matcher = ENTRY.matcher(list);
        if (list.contains("\"all\":true")) {
            servers.clear();
        }
        while (matcher.find()) {
            if (matcher.group(3).equals("Ready")) {
                servers.put(matcher.group(1), address(matcher.group(2)));
            } else {
                servers.remove(matcher.group(1));
            }
        }
        Matcher version = Pattern.compile("\"rev\":([0-9]+)").matcher(list);
        revision = version.find() ? Long.parseLong(version.group(1)) : 0;
    }

    private void listen() {
        try {
            listener =
                    process.host()
                            .listen(
                                    new InetSocketAddress(
                                            process.host().address(), Site.SIDECAR_PORT),
                                    64);
            listener.onAcceptable(this::accept);
        } catch (IOException e) {
            log.add("cannot listen");
        }
    }

    private void accept() {
        try {
            for (SimSocket next = listener.accept(); next != null; next = listener.accept()) {
                new ClientSide(next);
            }
        } catch (IOException e) {
            log.add("cannot accept");
        }
    }

    private void watchDiscovery() {
        Process current = process;
        InetSocketAddress from = discovery;
        if (current == null) {
            return;
        }
        HttpReader reader = new HttpReader(true);
        try {
            watch =
                    current.host()
                            .connect(
                                    from,
                                    new SimSocket.Events() {
                                        private final SimSocket[] connection = new SimSocket[1];

                                        @Override
                                        public void connected() {
                                            connection[0] = watch;
                                            try {
                                                new Outbox(connection[0])
                                                        .send(
                                                                "GET /registry/instances?since="
                                                                        + revision
                                                                        + "&timeout_ms=1000"
                                                                        + " HTTP/1.1\r\n"
                                                                        + "Host: a\r\n\r\n");
                                            } catch (IOException e) {
                                                log.add("cannot send the request to discovery");
                                            }
                                        }

                                        @Override
                                        public void failed(IOException cause) {
                                            scheduleRetry();
                                        }

                                        private void scheduleRetry() {
                                            simulation.after(
                                                    100 * Site.MS,
                                                    () -> {
                                                        if (process == current) {
                                                            watchDiscovery();
                                                        }
                                                    });
                                        }

                                        @Override
                                        public void readable() {
                                            try {
                                                while (connection[0].isOpen()
                                                        && connection[0].isReadable()) {
                                                    int read = reader.read(connection[0], 1 << 16);
                                                    if (read <= 0 || reader.advance()) {
                                                        if (read > 0
                                                                && reader.isWhole()
                                                                && reader.status() == 200
                                                                && reader.body().endsWith("]}")) {
                                                            applyList(reader.body());
                                                        }
                                                        connection[0].close();
                                                        scheduleRetry();
                                                    }
                                                }
                                            } catch (IOException e) {
                                                connection[0].close();
                                                scheduleRetry();
                                            }
                                        }
                                    });
        } catch (IOException e) {
            log.add("no descriptor left to connect to discovery");
        }
    }

    @Override
    public void kill() {
        log.add("kill " + process.name());
        process = null;
    }

    @Override
    public void term() {
        log.add("term " + process.name());
        Process current = process;
        simulation.after(
                DRAIN_DELAY,
                () -> {
                    if (process == current) {
                        process = null;
                        current.exited().accept(0);
                    }
                });
    }

    @Override
    public void hup(String config) {
        log.add("hup " + process.name());
        discovery = discovery(config);
        revision = 0;
    }

    @Override
    public void pause(long nanos) {
        log.add("pause " + process.name());
        pausedUntil = simulation.now() + nanos;
    }

    @Override
    public void stepWall(long nanos) {
        log.add("step " + process.name());
    }

    /** The connection of a client. */
    private final class ClientSide implements SimSocket.Events {
        private final SimSocket socket;
        private final HttpReader reader = new HttpReader(false);
        private final Outbox outbox;
        private boolean busy;

        ClientSide(SimSocket socket) {
            this.socket = socket;
            this.outbox = new Outbox(socket);
            socket.events(this);
        }

        @Override
        public void readable() {
            if (simulation.now() < pausedUntil) {
                simulation.at(pausedUntil, this::readable);
                return;
            }
            try {
                while (socket.isOpen() && socket.isReadable()) {
                    int read = reader.read(socket, 1 << 16);
                    if (read < 0) {
                        socket.close();
                    }
                    if (read <= 0) {
                        return;
                    }
                    proceed();
                }
            } catch (IOException e) {
                socket.close();
            }
        }

        @Override
        public void writable() {
            try {
                outbox.flush();
            } catch (IOException e) {
                socket.close();
            }
        }

        private void proceed() {
            if (busy || !reader.advance()) {
                return;
            }
            if (reader.isBroken()) {
                respond("400 Bad Request", "Connection: close\r\n", "");
                socket.close();
                return;
            }
            String id = reader.header("x-request-id");
            String deadline = reader.header("x-deadline");
            boolean known =
                    RequestClasses.ALL.stream()
                            .anyMatch(kind -> kind.name().equals(reader.header("x-class")));
            if (reader.word(1).equals("/health/ready")) {
                respond("200 OK", "", "ready");
            } else if (id == null
                    || deadline == null
                    || !known
                    || !reader.word(1).startsWith("/api")
                    || reader.header("content-length") != null
                            && reader.header("transfer-encoding") != null) {
                respond("400 Bad Request", "", "");
            } else {
                forward();
                return;
            }
            reader.next();
            proceed();
        }

        private void forward() {
            List<InetSocketAddress> all = new ArrayList<>(servers.values());
            if (all.isEmpty()) {
                respond("503 Service Unavailable", "Retry-After: 0.1\r\n", "");
                reader.next();
                return;
            }
            busy = true;
            StringBuilder text = new StringBuilder();
            text.append(reader.word(0))
                    .append(' ')
                    .append(reader.word(1))
                    .append(" HTTP/1.1\r\nX-Request-Id: ")
                    .append(reader.header("x-request-id"))
                    .append("\r\nX-Deadline: ")
                    .append(reader.header("x-deadline"))
                    .append("\r\n");
            if (reader.header("idempotency-key") != null) {
                text.append("Idempotency-Key: ")
                        .append(reader.header("idempotency-key"))
                        .append("\r\n");
            }
            if (reader.word(0).equals("POST")) {
                text.append("Content-Length: ").append(reader.bodyLength()).append("\r\n");
            }
            text.append("\r\n").append(reader.body());
            reader.next();
            new UpstreamSide(this, all.get(nextServer++ % all.size()), text.toString());
        }

        void respond(String status, String headers, String body) {
            busy = false;
            try {
                if (socket.isOpen()) {
                    outbox.send(ServerResponses.plain(status, headers, body));
                }
            } catch (IOException e) {
                socket.close();
            }
        }

        void answered(int status, String body) {
            respond(status + " Said", "", status == 200 ? body : "");
            proceed();
        }
    }

    /** The upstream connection that forwards one request to a server. */
    private final class UpstreamSide implements SimSocket.Events {
        private final ClientSide client;
        private final String text;
        private final HttpReader reader = new HttpReader(true);
        private SimSocket socket;
        private Outbox outbox;
        private boolean done;

        UpstreamSide(ClientSide client, InetSocketAddress to, String text) {
            this.client = client;
            this.text = text;
            simulation.after(390 * Site.MS, () -> finish(504, ""));
            if (process == null) {
                return;
            }
            try {
                socket = process.host().connect(to, this);
                outbox = new Outbox(socket);
            } catch (IOException e) {
                finish(503, "");
            }
        }

        private void finish(int status, String body) {
            if (!done) {
                done = true;
                if (socket != null) {
                    socket.close();
                }
                client.answered(status, body);
            }
        }

        @Override
        public void connected() {
            try {
                outbox.send(text);
            } catch (IOException e) {
                finish(502, "");
            }
        }

        @Override
        public void failed(IOException cause) {
            finish(503, "");
        }

        @Override
        public void writable() {
            try {
                outbox.flush();
            } catch (IOException e) {
                finish(502, "");
            }
        }

        @Override
        public void readable() {
            try {
                while (!done && socket.isReadable()) {
                    int read = reader.read(socket, 1 << 16);
                    if (read < 0) {
                        finish(502, "");
                    }
                    if (read <= 0) {
                        return;
                    }
                    while (reader.advance() && !done) {
                        if (reader.isBroken() || reader.status() >= 200) {
                            finish(reader.isBroken() ? 502 : reader.status(), reader.body());
                        } else {
                            reader.next();
                        }
                    }
                }
            } catch (IOException e) {
                finish(502, "");
            }
        }
    }
}
