import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** One of five upstreams reads long requests slowly; each client is owed its answer in its time. */
final class SlowRead {
    private static final int BYTES_A_SECOND = Integer.getInteger("rate", 300_000);
    private static final int UPSTREAMS = 5;
    private static final String[] CLASSES = {"stock-hold", "order-confirm", "pay-deposit"};
    private static final int[] TIME_MILLIS = {1000, 1500, 1500};

    public static void main(String[] args) throws Exception {
        Rig.main(SlowRead::run);
    }

    static boolean run(Rig rig) throws Exception {
        AtomicBoolean slow = new AtomicBoolean();
        List<Rig.Target> targets = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            String uid = "u" + i;
            boolean maySlow = i == 0;
            ServerSocket socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            Rig.daemon(uid, () -> accept(rig, uid, socket, () -> maySlow && slow.get()));
            targets.add(new Rig.Target(uid, socket.getLocalPort(), "ebene", "Ready", 0));
        }
        Discovery discovery = new Discovery(rig, targets);
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar("n0", port, Rig.config("n0", port, discovery.port(), discovery.known(), 10_000, 100));
        AtomicBoolean ending = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        for (int i = 0; i < 6; i++) {
            Rig.daemon("client", () -> client(rig, port, ending, sent, late));
        }
        Rig.sleep(2000);
        int before = sent.get();
        Rig.check(before > 10 && late.get() == 0, "clients were not served before: " + before + " sent, " + late + " late");
        if (Rig.TROUBLE) {
            slow.set(true);
            rig.note("u0 reads " + BYTES_A_SECOND + " bytes a second from now on");
        }
        Rig.sleep(25_000);
        slow.set(false);
        ending.set(true);
        Rig.sleep(6000);
        rig.quote(sidecar, "request.ended", "attempt.ended", "event_loop");
        Rig.check(sidecar.process().isAlive(), "the sidecar has ended");
        rig.note("of " + sent + " requests " + late + " got no answer within their time, 0.5 s and 50 ms");
        return late.get() == 0;
    }

    private static void accept(Rig rig, String uid, ServerSocket socket, BooleanSupplier slow) {
        while (true) {
            try {
                Http.Connection connection = new Http.Connection(socket.accept());
                Rig.daemon(uid + "-connection", () -> serve(rig, uid, connection, slow));
            } catch (IOException e) {
                return;
            }
        }
    }

    interface BooleanSupplier {
        boolean get();
    }

    /** Reads a head, then the body, fast or slowly, and answers when the last byte has come. */
    private static void serve(Rig rig, String uid, Http.Connection connection, BooleanSupplier slow) {
        try (connection) {
            InputStream in = connection.socket.getInputStream();
            byte[] bytes = new byte[1 << 16];
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int c = in.read();
                    if (c < 0) {
                        return;
                    }
                    head.append((char) c);
                }
                Map<String, String> headers = new HashMap<>();
                for (String line : head.toString().split("\r\n")) {
                    int colon = line.indexOf(": ");
                    if (colon > 0) {
                        headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 2));
                    }
                }
                String id = headers.get("x-request-id");
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                boolean isSlow = slow.get();
                rig.log("upstream " + uid + " reads " + id + ", " + length + " bytes" + (isSlow ? ", slowly" : ""));
                for (int got = 0; got < length; ) {
                    int read = in.read(bytes, 0, Math.min(length - got, isSlow ? BYTES_A_SECOND / 50 : bytes.length));
                    if (read < 0) {
                        rig.log("upstream " + uid + " has " + got + " bytes of " + id + ": the connection ended");
                        return;
                    }
                    got += read;
                    if (isSlow) {
                        Rig.sleep(20);
                    }
                }
                rig.log("upstream " + uid + " has all of " + id);
                String body = Upstream.answerTo(id);
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    private static void client(Rig rig, int port, AtomicBoolean ending, AtomicInteger sent, AtomicInteger late) {
        Random random = ThreadLocalRandom.current();
        while (!ending.get()) {
            int k = random.nextInt(CLASSES.length);
            String id = Http.id();
            int length = 600_000 + random.nextInt(400_000);
            String time = String.format(Locale.ROOT, "%.3f", TIME_MILLIS[k] / 1000.0);
            String request = Http.request(id, CLASSES[k], time, CLASSES[k].equals("pay-deposit") ? null : id + id, length);
            AtomicLong lastByte = new AtomicLong();
            try (Http.Connection connection = Http.connect(port, 1000)) {
                rig.log("client begins " + id + ", " + CLASSES[k] + ", " + length + " bytes, time " + time);
                Thread writer = new Thread(() -> {
                    try {
                        connection.send(request);
                        lastByte.set(System.nanoTime());
                        rig.log("client has written the last byte of " + id);
                    } catch (IOException e) {
                        // answered before the end, or cut
                    }
                });
                writer.setDaemon(true);
                writer.start();
                sent.incrementAndGet();
                String how;
                try {
                    how = "gets " + connection.read(10_000).status;
                } catch (SocketTimeoutException e) {
                    how = "waits in vain";
                } catch (IOException e) {
                    how = "is cut off";
                }
                long millis = lastByte.get() == 0 ? 0 : (System.nanoTime() - lastByte.get()) / 1_000_000;
                boolean isLate = millis > TIME_MILLIS[k] + 550;
                rig.log("client " + how + " for " + id + " " + millis + " ms after its last byte" + (isLate ? " LOST: too late by " + (millis - TIME_MILLIS[k]) + " ms" : ""));
                if (isLate) {
                    late.incrementAndGet();
                }
                Rig.sleep(random.nextInt(40));
            } catch (IOException e) {
                rig.log("client: " + e);
            }
        }
    }
}
