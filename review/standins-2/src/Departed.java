import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Clients with a long request leave while connections to upstreams don't come up. */
final class Departed {
    private static final int BODY = Integer.getInteger("body", 100 * 1024);

    public static void main(String[] args) throws Exception {
        Rig.main(Departed::run);
    }

    /** A port that listens, and whose queue is full, so that connections to it don't come up. */
    private static int silentPort() throws Exception {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        KEPT.add(socket);
        for (int i = 0; i < 8; i++) {
            Socket filler = new Socket();
            KEPT.add(filler);
            try {
                filler.connect(new InetSocketAddress("127.0.0.1", socket.getLocalPort()), 200);
            } catch (SocketTimeoutException e) {
                return socket.getLocalPort();
            }
        }
        throw new Rig.CannotRun("a queue of connections could not be filled");
    }

    private static final List<Object> KEPT = new ArrayList<>();

    static boolean run(Rig rig) throws Exception {
        Map<String, Long> closedAt = new ConcurrentHashMap<>();
        AtomicInteger breaks = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        List<Rig.Target> targets = new ArrayList<>();
        Upstream.Seen seen = (at, request) -> {
            String id = request.header("x-request-id");
            Long closed = closedAt.get(id);
            long late = closed == null ? 0 : (System.nanoTime() - closed) / 1_000_000;
            rig.log("upstream " + at.uid + " has all of " + id + ", " + request.body.length + " bytes" + (closed == null ? "" : ", " + late + " ms after its client closed"));
            whole.incrementAndGet();
            if (late > 150) {
                rig.log("BREAK: more than 100 ms (and 50) after its client closed");
                breaks.incrementAndGet();
            }
        };
        Upstream sound = new Upstream(rig, "u0", 20, seen);
        Upstream other = new Upstream(rig, "u1", 20, seen);
        Upstream third = new Upstream(rig, "u2", 20, seen);
        targets.add(new Rig.Target("u0", sound.port(), "ebene", "Ready", 0));
        targets.add(new Rig.Target("u1", other.port(), "ebene", "Ready", 0));
        // A third of the connections: those to one of three upstreams.
        targets.add(new Rig.Target("u2", Rig.TROUBLE ? silentPort() : third.port(), "ebene", "Ready", 0));
        Discovery discovery = new Discovery(rig, targets);
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar("n0", port, Rig.config("n0", port, discovery.port(), discovery.known(), 10_000, Integer.getInteger("connect", 250)));
        for (int i = 0; i < 40; i++) {
            String id = Http.id();
            try (Http.Connection connection = Http.connect(port, 1000)) {
                connection.socket.setSendBufferSize(1 << 20);
                connection.send(Http.request(id, "order-confirm", "1.500", id + id, BODY));
                Rig.sleep(10);
                closedAt.put(id, System.nanoTime());
                rig.log("client has sent " + id + " and closes");
            }
            Rig.sleep(390);
        }
        rig.quote(sidecar, "attempt.ended", "request.ended", "ejected");
        Rig.check(sidecar.process().isAlive(), "the sidecar has ended");
        rig.note(breaks + " attempts for clients that had gone, " + whole + " whole requests at upstreams");
        return breaks.get() == 0;
    }
}
