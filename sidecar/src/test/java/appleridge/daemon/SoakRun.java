package appleridge.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One run of {@link SoakIT}: drawn clients and upstreams around a sidecar process, and what they
 * saw of the rules. Clients go on until the earliest time at which SIGKILL may come.
 */
final class SoakRun {
    private static final long PLAY_MILLIS = 8000;
    private static final int LATE_MILLIS = 500;
    private static final int MAX_PAUSE_MILLIS = 5500;
    private static final int DEADLINE_MILLIS = 1500;

    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM. */
    private static final long KILL_AFTER_MILLIS = DEADLINE_MILLIS + 700;

    /** How long after its client left an attempt may begin, with the lateness of these threads. */
    private static final long DEPARTED_MILLIS = 200;

    private static final int UPSTREAMS = 4;
    private static final int PACED_BYTES_PER_SECOND = 100_000_000;
    private static final int DEPARTING_CROWD = 30;
    private static final byte[] SHORT_BODY = "fine".getBytes(StandardCharsets.US_ASCII);
    private static final String[] CLASSES = {"read", "write", "hold", "pay"};

    private final Random random;
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();

    /** When each request last began to arrive, by upstream and id. */
    private final List<Map<String, Long>> begunAtNanos = new ArrayList<>();

    /** When an upstream began to respond to a request for a long response, by its id. */
    private final Map<String, Long> respondingSinceNanos = new ConcurrentHashMap<>();

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private final LatenessProbe probe = new LatenessProbe();
    private final SidecarProcess sidecar;
    private volatile long endNanos = Long.MAX_VALUE;
    private volatile boolean draining;

    SoakRun(Path folder, long seed) throws IOException {
        random = new Random(seed);
        StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
        opened.addAll(List.of(discovery, probe));
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            long upstreamSeed = random.nextLong();
            StubUpstream upstream = new StubUpstream(new Upstream(upstreamSeed)::serve);
            opened.add(upstream);
            begunAtNanos.add(upstream.begunAtNanos());
            targets.add(LoopbackSidecar.target("u" + i, upstream.address(), "Ready"));
        }
        if (random.nextBoolean()) {
            SlowReadingUpstream slow =
                    new SlowReadingUpstream(1000 + random.nextInt(39_000), 110_000);
            opened.add(slow);
            targets.add(LoopbackSidecar.target("slow", slow.address(), "Ready"));
        }
        for (int i = 0; i < 2; i++) {
            PacedUpstream paced = new PacedUpstream(PACED_BYTES_PER_SECOND, 0);
            begunAtNanos.add(paced.begunAtNanos());
            opened.add(paced);
            targets.add(LoopbackSidecar.target("paced" + i, paced.address(), "Ready"));
        }
        if (random.nextInt(3) == 0) {
            SilentUpstream silent = new SilentUpstream();
            opened.add(silent);
            targets.add(LoopbackSidecar.target("silent", silent.address(), "Ready"));
        }
        sidecar =
                SidecarProcess.start(
                        folder,
                        LoopbackSidecar.json(
                                        LoopbackSidecar.SettingValues.DEFAULT,
                                        discovery.address(),
                                        targets.toArray(String[]::new))
                                .replaceAll(
                                        "\"deadline\":\\d+",
                                        "\"deadline\":"
                                                + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS)),
                        Map.of());
        opened.add(sidecar);
    }

    /** Upstreams answer short, or as the request asks, and sometimes fail or hang for a while. */
    private final class Upstream {
        private final Random chance;

        Upstream(long seed) {
            chance = new Random(seed);
        }

        boolean serve(Socket socket, String request) throws IOException, InterruptedException {
            String id = StubUpstream.header(request, "x-request-id");
            recordExecution(id, request);
            if (StubUpstream.header(request, "x-response") != null) {
                respondingSinceNanos.putIfAbsent(id, System.nanoTime());
                return LongResponse.serveAsRequested(socket, request);
            }
            int draw;
            synchronized (chance) {
                draw = chance.nextInt(100);
            }
            Thread.sleep(draw < 3 ? 400 : 5 + draw / 4);
            if (draw >= 94) {
                recordRejection(id);
            }
            StubUpstream.write(
                    socket,
                    draw < 94
                            ? StubUpstream.response("200 OK", "fine")
                            : StubUpstream.response("503 Full", "", "X-Not-Run: 1"));
            return true;
        }
    }

    /**
     * Records that an upstream has read a whole request, which it executes unless it rejects it.
     */
    private void recordExecution(String id, String request) {
        if ("pay".equals(StubUpstream.header(request, "x-class"))) {
            executions.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        }
    }

    /** Records that an upstream has rejected a request without executing it. */
    private void recordRejection(String id) {
        AtomicInteger count = executions.get(id);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    /**
     * Checks when the attempts of requests began whose clients had left, also of unfinished ones.
     */
    private void checkDepartures() {
        for (Map<String, Long> begun : begunAtNanos) {
            begun.forEach(
                    (id, begunAt) -> {
                        Long leftAt = leftAtNanos.get(id);
                        if (leftAt != null && isLate(leftAt, begunAt)) {
                            long millis = TimeUnit.NANOSECONDS.toMillis(begunAt - leftAt);
                            violations.add(id + " begun " + millis + " ms after leave");
                        }
                    });
        }
    }

    private boolean isLate(long leftAtNanos, long begunAtNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(begunAtNanos - leftAtNanos);
        return millis > DEPARTED_MILLIS
                && millis > DEPARTED_MILLIS + 2 * probe.maxMillis(leftAtNanos, begunAtNanos);
    }

    private void checkDuplicates() {
        executions.forEach(
                (id, count) -> {
                    if (count.get() > 1) {
                        violations.add(id + " executed " + count + " times");
                    }
                });
    }

    /** Plays the run and returns the violations. */
    List<String> play() throws Exception {
        if (random.nextInt(3) == 0) {
            sidecar.shareCoreWithBusyProcesses(1 + random.nextInt(3));
        }
        startClients();
        Thread.sleep(PLAY_MILLIS / 2);
        for (int i = random.nextInt(4); i > 0; i--) {
            sidecar.signal("HUP");
            Thread.sleep(random.nextInt(100));
        }
        if (random.nextBoolean()) {
            sidecar.pause(50 + random.nextInt(100));
        }
        Thread.sleep(PLAY_MILLIS / 2);
        if (!sidecar.isAlive()) {
            violations.add("the process ended by itself");
        }
        draining = true;
        long killNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_MILLIS);
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            sidecar.signal("TERM");
            if (random.nextBoolean()) {
                sidecar.signal("HUP");
            }
            Thread.sleep(random.nextInt(30));
        }
        endNanos = killNanos;
        TimeUnit.NANOSECONDS.sleep(killNanos - System.nanoTime());
        sidecar.signal("KILL");
        for (Thread client : clients) {
            client.join(TimeUnit.SECONDS.toMillis(20));
        }
        checkDepartures();
        checkDuplicates();
        return List.copyOf(violations);
    }

    String log() throws IOException {
        return sidecar.log();
    }

    private void startClients() {
        int usual = 6 + random.nextInt(10);
        int crowd = random.nextInt(4) == 0 ? 150 : 0;
        for (int i = 0; i < usual; i++) {
            start(new Random(random.nextLong()), this::usualExchange);
        }
        for (int i = 0; i < 3; i++) {
            start(new Random(random.nextLong()), this::longExchange);
            start(new Random(random.nextLong()), this::uploadExchange);
            start(new Random(random.nextLong()), this::depart);
            start(new Random(random.nextLong()), this::departFromUploads);
        }
        int departing = random.nextInt(3) == 0 ? DEPARTING_CROWD : 0;
        for (int i = 0; i < departing; i++) {
            start(new Random(random.nextLong()), this::departFromUploads);
        }
        for (int i = 0; i < crowd; i++) {
            start(new Random(random.nextLong()), this::crowdExchange);
        }
    }

    /** What a client does again and again. */
    private interface Behaviour {
        void run(Random chance) throws IOException, InterruptedException;
    }

    private void start(Random chance, Behaviour behaviour) {
        Thread thread = new Thread(() -> repeat(chance, behaviour), "soak-client");
        thread.setDaemon(true);
        clients.add(thread);
        thread.start();
    }

    private void repeat(Random chance, Behaviour behaviour) {
        while (System.nanoTime() < endNanos) {
            try {
                behaviour.run(chance);
                Thread.sleep(chance.nextInt(50));
            } catch (IOException e) {
                if (!draining) {
                    violations.add(e.toString());
                } else {
                    return;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void usualExchange(Random chance) throws IOException, InterruptedException {
        try (TestClient client = new TestClient(sidecar.address())) {
            for (int i = 0; (i < 20 || draining) && System.nanoTime() < endNanos; i++) {
                String request = TestClient.request(CLASSES[chance.nextInt(4)], "1.0");
                String response = exchange(client, request, 1000);
                if (response.toLowerCase().contains("connection: close")) {
                    return;
                }
                Thread.sleep(chance.nextInt(30));
            }
        }
    }

    /** Sends a request and expects a final response in time. */
    private String exchange(TestClient client, String request, int timeoutMillis)
            throws IOException {
        client.socket.setSoTimeout(timeoutMillis + LATE_MILLIS);
        String id = StubUpstream.header(request, "x-request-id");
        client.send(request);
        try {
            String response = client.read();
            if (response == null) {
                throw new IOException(id + " got no response");
            }
            return response;
        } catch (SocketTimeoutException e) {
            violations.add(id + " has no response " + LATE_MILLIS + " ms after its time");
            throw new IOException(id + " timed out", e);
        }
    }

    private void longExchange(Random chance) throws IOException {
        LongResponse response =
                new LongResponse(
                        LongResponse.Framing.values()[chance.nextInt(3)],
                        LongResponse.Pace.values()[chance.nextInt(3)],
                        90_000 + chance.nextInt(210_000),
                        300 + chance.nextInt(600));
        int timeoutMillis = chance.nextBoolean() ? 400 : 1000;
        String request =
                TestClient.request(
                        CLASSES[chance.nextInt(4)],
                        String.valueOf(timeoutMillis / 1000.0),
                        response.requestHeader());
        String id = StubUpstream.header(request, "x-request-id");
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try (TestClient client = new TestClient(sidecar.address())) {
            client.socket.setSoTimeout(timeoutMillis + LATE_MILLIS);
            client.send(request);
            int first = client.socket.getInputStream().read();
            if (first < 0) {
                throw new IOException(id + " got no response");
            }
            client.socket.setSoTimeout(MAX_PAUSE_MILLIS);
            PushbackInputStream in = new PushbackInputStream(client.socket.getInputStream());
            in.unread(first);
            ReceivedResponse received = ReceivedResponse.read(in);
            boolean whole = received.complete() && isOfAnUpstream(response, received.body());
            if (!whole && !draining && beganBefore(id, dueNanos)) {
                violations.add(
                        id
                                + " "
                                + response
                                + ": "
                                + received.head().split("\n")[0]
                                + " "
                                + received.body().length
                                + " bytes");
            }
        } catch (SocketTimeoutException e) {
            violations.add(id + " " + response + ": no byte in time");
        }
    }

    /**
     * Whether the body is what some upstream sends: a retry may reach one of those whose responses
     * are all short.
     */
    private static boolean isOfAnUpstream(LongResponse response, byte[] body) {
        return Arrays.equals(response.body(), body) || Arrays.equals(SHORT_BODY, body);
    }

    /** Whether an upstream began to respond well before the client's time was up. */
    private boolean beganBefore(String id, long dueNanos) {
        Long since = respondingSinceNanos.get(id);
        return since != null && dueNanos - since > TimeUnit.MILLISECONDS.toNanos(100);
    }

    private void uploadExchange(Random chance) throws IOException {
        int bytes = 70_000 + chance.nextInt(900_000);
        String request =
                TestClient.request("pay", "0.4")
                        .replace(
                                "Content-Length: 4\r\n\r\nbody",
                                "Content-Length: " + bytes + "\r\n\r\n");
        try (TestClient client = new TestClient(sidecar.address())) {
            client.socket.setSoTimeout(400 + LATE_MILLIS);
            OutputStream out = client.socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.US_ASCII));
            out.write(new byte[bytes]);
            if (client.read() == null && !draining) {
                violations.add("upload of " + bytes + " bytes got no response");
            }
        } catch (SocketTimeoutException e) {
            violations.add("upload of " + bytes + " bytes has no response in time");
        }
    }

    /** Pipelines requests, leaves, and sometimes comes back with the id of one of them. */
    private void depart(Random chance) throws IOException, InterruptedException {
        String last = null;
        List<String> ids = new ArrayList<>();
        try (TestClient client = new TestClient(sidecar.address())) {
            for (int i = 1 + chance.nextInt(12); i > 0; i--) {
                int bytes = chance.nextBoolean() ? 4 : 60_000;
                last =
                        TestClient.request("pay", "1.0")
                                .replace(
                                        "Content-Length: 4\r\n\r\nbody",
                                        "Content-Length: "
                                                + bytes
                                                + "\r\n\r\n"
                                                + "b".repeat(bytes));
                ids.add(StubUpstream.header(last, "x-request-id"));
                client.send(last);
            }
            Thread.sleep(chance.nextInt(80));
        }
        long now = System.nanoTime();
        ids.forEach(id -> leftAtNanos.put(id, now));
        Thread.sleep(20 + chance.nextInt(80));
        String id = ids.get(ids.size() - 1);
        if (chance.nextBoolean()) {
            leftAtNanos.remove(id);
            try (TestClient again = new TestClient(sidecar.address())) {
                again.socket.setSoTimeout(1000 + LATE_MILLIS);
                again.exchange(last);
            }
        }
    }

    /** Pipelines long requests, and leaves in order or with a reset. */
    private void departFromUploads(Random chance) throws IOException, InterruptedException {
        List<String> ids = new ArrayList<>();
        try (TestClient client = new TestClient(sidecar.address())) {
            OutputStream out = client.socket.getOutputStream();
            for (int i = 1 + chance.nextInt(4); i > 0; i--) {
                int bytes = 66_000 + chance.nextInt(900_000);
                String request =
                        TestClient.request("write", "1.0")
                                .replace(
                                        "Content-Length: 4\r\n\r\nbody",
                                        "Content-Length: " + bytes + "\r\n\r\n");
                ids.add(StubUpstream.header(request, "x-request-id"));
                out.write(request.getBytes(StandardCharsets.US_ASCII));
                out.write(new byte[bytes]);
            }
            Thread.sleep(10 + chance.nextInt(90));
            if (chance.nextInt(3) == 0) {
                client.socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            // What is given up is answered while it is still being sent, and the connection closed.
        } finally {
            long now = System.nanoTime();
            ids.forEach(id -> leftAtNanos.put(id, now));
        }
        Thread.sleep(chance.nextInt(150));
    }

    /** Connects, writes half a request or a flood of empty lines, and stays for a while. */
    private void crowdExchange(Random chance) throws IOException, InterruptedException {
        try (TestClient client = new TestClient(sidecar.address())) {
            String request = TestClient.request("write", "1.0");
            if (chance.nextBoolean()) {
                client.send(request.substring(0, request.length() / 2));
                Thread.sleep(chance.nextInt(2500));
            } else {
                client.send("\r\n".repeat(1000));
                Thread.sleep(chance.nextInt(200));
            }
        } catch (IOException e) {
            // The sidecar may close what is unsound, and reject what exceeds its connections.
        }
    }

    /** Ends all processes and connections of the run. */
    void close() throws Exception {
        for (AutoCloseable each : opened) {
            each.close();
        }
    }
}
