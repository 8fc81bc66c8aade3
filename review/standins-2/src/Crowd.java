import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Idle clients connect by hundreds and say nothing, while usual clients open connections. */
final class Crowd {
    private static final int CROWD = Integer.getInteger("crowd", 600);
    private static final int ROUNDS = 5;
    private static final int USUAL_CLIENTS = 10;

    /** A client's time, half a second in which an answer only earns nothing, and 50 ms. */
    private static final int TIME_MILLIS = 400;

    private static final int LOST_AFTER_MILLIS = TIME_MILLIS + 500 + 50;

    public static void main(String[] args) throws Exception {
        Rig.main(Crowd::run);
    }

    static boolean run(Rig rig) throws Exception {
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        AtomicInteger toldTooMuch = new AtomicInteger();
        List<Rig.Target> targets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Upstream upstream = new Upstream(rig, "u" + i, 30, (at, request) -> {
                String id = request.header("x-request-id");
                long passed = (System.nanoTime() - sentAt.get(id)) / 1_000_000;
                double told = Double.parseDouble(request.header("x-deadline"));
                boolean over = told > (TIME_MILLIS - passed) / 1000.0 + 0.15;
                rig.log("upstream " + at.uid + " gets " + id + " " + passed + " ms after it was sent, is told " + told + " s" + (over ? " (too much)" : ""));
                if (over) {
                    toldTooMuch.incrementAndGet();
                }
            });
            targets.add(new Rig.Target("u" + i, upstream.port(), "ebene", "Ready", 0));
        }
        Discovery discovery = new Discovery(rig, targets);
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar("n0", port, Rig.config("n0", port, discovery.port(), discovery.known(), 10_000, 100)
                .replace("\"sockets\":1024", "\"sockets\":256"));
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        for (int round = 0; round < ROUNDS; round++) {
            List<Http.Connection> idle = new ArrayList<>();
            if (Rig.TROUBLE) {
                try {
                    for (int i = 0; i < CROWD; i++) {
                        idle.add(Http.connect(port, 3000));
                    }
                } catch (java.io.IOException e) {
                    throw new Rig.CannotRun("the idle clients could not connect: " + e);
                }
                rig.note(CROWD + " idle clients have connected");
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                Thread client = new Thread(() -> client(rig, port, sentAt, lost, answered, closed));
                clients.add(client);
                client.start();
            }
            for (Thread client : clients) {
                client.join();
            }
            idle.forEach(Http.Connection::close);
            Rig.sleep(1000);
        }
        rig.quote(sidecar, "accept_gate", "client_connection.closed");
        Rig.check(sidecar.process().isAlive(), "the sidecar has ended");
        rig.note("of " + ROUNDS * USUAL_CLIENTS + " requests " + answered + " answered in time, " + lost + " not within " + LOST_AFTER_MILLIS
                + " ms, " + closed + " shut unread; " + toldTooMuch + " attempts were told too much time");
        return lost.get() == 0;
    }

    private static void client(Rig rig, int port, Map<String, Long> sentAt, AtomicInteger lost, AtomicInteger answered, AtomicInteger closed) {
        String id = Http.id();
        try (Http.Connection connection = Http.connect(port, 1000)) {
            long from = System.nanoTime();
            sentAt.put(id, from);
            connection.send(Http.request(id, "stock-check", "0.400", null, 0));
            rig.log("client has sent " + id);
            try {
                int status = connection.read(LOST_AFTER_MILLIS).status;
                rig.log("client gets " + status + " for " + id + " after " + (System.nanoTime() - from) / 1_000_000 + " ms");
                answered.incrementAndGet();
            } catch (java.net.SocketTimeoutException e) {
                rig.log("client has no answer for " + id + " after " + (System.nanoTime() - from) / 1_000_000 + " ms: LOST");
                lost.incrementAndGet();
            }
        } catch (java.io.IOException e) {
            // A new connection may be shut unread while idle clients fill the descriptors.
            rig.log("client's connection for " + id + " was shut: " + e);
            closed.incrementAndGet();
        }
    }
}
