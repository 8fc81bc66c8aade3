package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients stop in the middle of a request and stay, and come again when turned away. */
public final class CrowdCase extends Case {
    private static final int DESCRIPTORS = 256;
    private static final int UPSTREAMS = 10;
    private static final int WORK_MS = 30;
    private static final int USUAL_CLIENTS = 20;
    private static final int USUAL_PAUSE_MS = 150;
    private static final int BAD_CLIENTS = 200;
    private static final int SECONDS = 20;

    private final List<AutoCloseable> started = new ArrayList<>();
    private final AtomicBoolean sending = new AtomicBoolean(true);
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final AtomicInteger notTurnedAway = new AtomicInteger();
    private final Map<UsualClient.End, AtomicInteger> ends = new EnumMap<>(UsualClient.End.class);
    private Sidecar sidecar;

    private CrowdCase(Path folder) throws IOException {
        super(folder);
        for (UsualClient.End end : UsualClient.End.values()) {
            ends.put(end, new AtomicInteger());
        }
    }

    public static void main(String[] args) {
        run(CrowdCase::new, args);
    }

    @Override
    protected boolean play() throws Exception {
        Discovery discovery = new Discovery(log);
        started.add(discovery);
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream("s-" + i, this::serve);
            started.add(upstream);
            String zone = List.of("ebene", "port-louis", "rose-belle").get(i % 3);
            discovery.put(upstream.uid(), upstream.port(), zone, "Ready", 0);
        }
        sidecar =
                new Sidecar(
                        root,
                        temporary,
                        Settings.map(
                                "name", "n0",
                                "seed", "8c1f30d27a5be964",
                                "discovery", discovery.address(),
                                "limits",
                                Settings.map("cores", 1.0, "memory_mb", 192, "sockets", DESCRIPTORS),
                                "known", discovery.list(),
                                "settings", Settings.site()));
        awaitReady(sidecar);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            usual.add(Threads.start("usual client", () -> askOnAndOn(number)));
        }
        Thread.sleep(2000);
        log.line((trouble ? BAD_CLIENTS : 0) + " bad clients begin");
        for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
            Threads.start("bad client", this::stopInRequests);
        }
        sidecar.process().waitFor(SECONDS, TimeUnit.SECONDS);
        boolean crashed = !sidecar.process().isAlive();
        sending.set(false);
        for (Thread client : usual) {
            client.join(5000);
        }
        log.line("usual clients: " + ends);
        log.line("bad clients: turned away " + turnedAway + ", not within 3 s " + notTurnedAway);
        if (crashed) {
            throw new NotRunException("the sidecar has ended");
        }
        return ends.get(UsualClient.End.LOST).get() == 0;
    }

    private void serve(
            Upstream upstream, Http request, Socket socket, InputStream in, OutputStream out)
            throws Exception {
        String id = request.header("x-request-id");
        log.line("run " + id + " at " + upstream.uid());
        Thread.sleep(WORK_MS);
        out.write(Upstream.ok((id + " done").getBytes()));
    }

    private void askOnAndOn(int number) throws InterruptedException {
        Random random = new Random(number);
        UsualClient client = new UsualClient(sidecar, log, "u" + number);
        while (sending.get() && sidecar.process().isAlive()) {
            UsualClient.Kind kind = random.nextBoolean() ? UsualClient.CHECK : UsualClient.CONFIRM;
            byte[] body = new byte[kind == UsualClient.CHECK ? 0 : 200];
            ends.get(client.ask(kind, body)).incrementAndGet();
            Thread.sleep(random.nextInt(2 * USUAL_PAUSE_MS));
        }
        client.close();
    }

    private void stopInRequests() {
        byte[] half =
                "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Class: order-confirm\r\nX-Dead"
                        .getBytes(StandardCharsets.US_ASCII);
        while (sending.get() && sidecar.process().isAlive()) {
            try (Socket socket = sidecar.connect()) {
                socket.setSoTimeout(3000);
                socket.getOutputStream().write(half);
                Http.read(new BufferedInputStream(socket.getInputStream()));
                turnedAway.incrementAndGet();
            } catch (SocketTimeoutException e) {
                notTurnedAway.incrementAndGet();
            } catch (IOException e) {
                turnedAway.incrementAndGet();
            }
        }
    }

    @Override
    protected void end() throws Exception {
        if (sidecar != null) {
            sidecar.close();
        }
        for (AutoCloseable each : started) {
            each.close();
        }
    }
}
