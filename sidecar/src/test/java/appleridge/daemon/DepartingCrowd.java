package appleridge.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Clients that write requests whole and disconnect before these are answered, beside sound clients
 * that wait for their responses. Each runs on a thread of its own. Thread-safe.
 */
final class DepartingCrowd {
    private static final int MIN_STAY_MILLIS = 10;
    private static final int MAX_STAY_MILLIS = 100;
    private static final int RESET_PERCENT = 30;
    private static final int SHORT_CLIENTS = 8;
    private static final int LONG_CLIENTS = 4;
    private static final int MIN_LONG_BYTES = 66_000;
    private static final int MAX_LONG_BYTES = 970_000;
    private static final int TIMEOUT_MILLIS = 2000;
    private static final byte[] ZEROS = new byte[64 << 10];

    /** What a departing client sends: a number of requests at once, each of a drawn length. */
    record Load(int clients, int maxRequests, int minBytes, int maxBytes) {}

    /** What the sound clients got, by status; 0 stands for no response. */
    record SoundResult(Map<Integer, Integer> shortRequests, Map<Integer, Integer> longRequests) {
        int count(int status) {
            return shortRequests.getOrDefault(status, 0) + longRequests.getOrDefault(status, 0);
        }

        int total() {
            return Stream.of(shortRequests, longRequests)
                    .flatMap(counts -> counts.values().stream())
                    .mapToInt(Integer::intValue)
                    .sum();
        }
    }

    private final InetSocketAddress sidecar;
    private final Load load;
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> shortByStatus = new ConcurrentSkipListMap<>();
    private final Map<Integer, Integer> longByStatus = new ConcurrentSkipListMap<>();
    private volatile boolean ended;

    /** Starts the clients. */
    DepartingCrowd(InetSocketAddress sidecar, Load load, long seed) {
        this.sidecar = sidecar;
        this.load = load;
        Random random = new Random(seed);
        for (int i = 0; i < load.clients(); i++) {
            start(new Random(random.nextLong()), this::sendAndLeave);
        }
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            start(new Random(random.nextLong()), this::exchangeShort);
        }
        for (int i = 0; i < LONG_CLIENTS; i++) {
            start(new Random(random.nextLong()), this::exchangeLong);
        }
    }

    private interface Behaviour {
        void run(Random random) throws IOException, InterruptedException;
    }

    private void start(Random random, Behaviour behaviour) {
        Thread thread = new Thread(() -> repeat(random, behaviour), "crowd-client");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void repeat(Random random, Behaviour behaviour) {
        while (!ended) {
            try {
                behaviour.run(random);
                Thread.sleep(random.nextInt(40));
            } catch (IOException e) {
                // The sidecar may close a connection; what its client missed is counted.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void sendAndLeave(Random random) throws IOException, InterruptedException {
        List<String> ids = new ArrayList<>();
        try (TestClient client = new TestClient(sidecar)) {
            int requests = 1 + random.nextInt(load.maxRequests());
            for (int i = 0; i < requests; i++) {
                int bytes = load.minBytes() + random.nextInt(load.maxBytes() - load.minBytes() + 1);
                ids.add(send(client.socket, "write", bytes));
            }
            Thread.sleep(MIN_STAY_MILLIS + random.nextInt(MAX_STAY_MILLIS - MIN_STAY_MILLIS));
            if (random.nextInt(100) < RESET_PERCENT) {
                client.socket.setSoLinger(true, 0);
            }
        } finally {
            long now = System.nanoTime();
            ids.forEach(id -> leftAtNanos.put(id, now));
        }
    }

    /** Sends a request and returns its id. */
    private static String send(Socket socket, String requestClass, int bytes) throws IOException {
        String head =
                TestClient.request(requestClass, Double.toString(TIMEOUT_MILLIS / 1000.0))
                        .replace(
                                "Content-Length: 4\r\n\r\nbody",
                                "Content-Length: " + bytes + "\r\n\r\n");
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        for (int left = bytes; left > 0; left -= ZEROS.length) {
            out.write(ZEROS, 0, Math.min(left, ZEROS.length));
        }
        return StubUpstream.header(head, "x-request-id");
    }

    private void exchangeShort(Random random) throws IOException, InterruptedException {
        try (TestClient client = new TestClient(sidecar)) {
            for (int i = 0; i < 20 && !ended; i++) {
                receive(
                        client,
                        shortByStatus,
                        () ->
                                client.send(
                                        TestClient.request(
                                                random.nextBoolean() ? "read" : "write", "2.0")));
                Thread.sleep(random.nextInt(40));
            }
        }
    }

    private void exchangeLong(Random random) throws IOException {
        int bytes = MIN_LONG_BYTES + random.nextInt(MAX_LONG_BYTES - MIN_LONG_BYTES);
        try (TestClient client = new TestClient(sidecar)) {
            receive(client, longByStatus, () -> send(client.socket, "write", bytes));
        }
    }

    private interface Sending {
        void run() throws IOException;
    }

    private void receive(TestClient client, Map<Integer, Integer> byStatus, Sending sending)
            throws IOException {
        int status = 0;
        try {
            client.socket.setSoTimeout(2 * TIMEOUT_MILLIS);
            sending.run();
            String response = client.read();
            status = response == null ? 0 : TestClient.status(response);
            if (response == null || response.toLowerCase().contains("connection: close")) {
                throw new IOException("the connection ends");
            }
        } finally {
            if (!ended) {
                byStatus.merge(status, 1, Integer::sum);
            }
        }
    }

    /** When the client of each request left, by the request's id, on {@link System#nanoTime}. */
    Map<String, Long> leftAtNanos() {
        return leftAtNanos;
    }

    /** What the sound clients have got so far. */
    SoundResult soundResult() {
        return new SoundResult(Map.copyOf(shortByStatus), Map.copyOf(longByStatus));
    }

    /** Ends the clients: those that wait for a response still wait for it. */
    void end() throws InterruptedException {
        ended = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        }
    }
}
