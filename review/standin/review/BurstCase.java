package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send hundreds of requests at once, with bodies of the longest allowed length. */
public final class BurstCase extends Case {
    private static final int UPSTREAMS = 10;
    private static final int WORK_MS = 80;
    private static final int USUAL_CLIENTS = 20;
    private static final int USUAL_PAUSE_MS = 150;
    private static final int BAD_CLIENTS = 100;
    private static final int REQUESTS_AT_ONCE = 200;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int BURSTS = 6;
    private static final int BURST_PAUSE_MS = 5000;

    private final List<Upstream> upstreams = new ArrayList<>();
    private final AtomicBoolean sending = new AtomicBoolean(true);
    private final AtomicInteger ran = new AtomicInteger();
    private final Map<UsualClient.End, AtomicInteger> ends = new EnumMap<>(UsualClient.End.class);
    private Discovery discovery;
    private Sidecar sidecar;

    private BurstCase(Path folder) throws IOException {
        super(folder);
        for (UsualClient.End end : UsualClient.End.values()) {
            ends.put(end, new AtomicInteger());
        }
    }

    public static void main(String[] args) {
        run(BurstCase::new, args);
    }

    @Override
    protected boolean play() throws Exception {
        discovery = new Discovery(log);
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream("s-" + i, this::serve);
            upstreams.add(upstream);
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
                                Settings.map("cores", 1.0, "memory_mb", 192, "sockets", 1024),
                                "known", discovery.list(),
                                "settings", Settings.site()));
        awaitReady(sidecar);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            usual.add(Threads.start("usual client", () -> askOnAndOn(number)));
        }
        Thread.sleep(3000);
        for (int burst = 0; burst < BURSTS && sidecar.process().isAlive(); burst++) {
            if (trouble) {
                burst(burst);
            }
            sidecar.process().waitFor(BURST_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        boolean crashed = !sidecar.process().isAlive();
        sending.set(false);
        for (Thread client : usual) {
            client.join(5000);
        }
        log.line("usual clients: " + ends + "; attempts that ran: " + ran);
        List<String> output = Files.readAllLines(sidecar.output());
        output.subList(Math.max(0, output.size() - 5), output.size())
                .forEach(line -> log.line("sidecar log: " + line));
        if (crashed) {
            log.line("the sidecar has crashed, status " + sidecar.process().exitValue());
        }
        return !crashed;
    }

    private void serve(
            Upstream upstream, Http request, Socket socket, InputStream in, OutputStream out)
            throws Exception {
        ran.incrementAndGet();
        String id = request.header("x-request-id");
        log.line("run " + id + " at " + upstream.uid());
        Thread.sleep(WORK_MS);
        out.write(Upstream.ok((id + " done").getBytes()));
        out.flush();
    }

    private void askOnAndOn(int number) throws InterruptedException {
        Random random = new Random(number);
        UsualClient client = new UsualClient(sidecar, log, "u" + number);
        while (sending.get() && sidecar.process().isAlive()) {
            UsualClient.Kind kind =
                    random.nextBoolean() ? UsualClient.CHECK : UsualClient.CONFIRM;
            byte[] body = new byte[kind == UsualClient.CHECK ? 0 : 200];
            Arrays.fill(body, (byte) 'b');
            ends.get(client.ask(kind, body)).incrementAndGet();
            Thread.sleep(random.nextInt(2 * USUAL_PAUSE_MS));
        }
        client.close();
    }

    private void burst(int number) {
        log.line(
                "burst " + number + ": " + BAD_CLIENTS + " bad clients, each with "
                        + REQUESTS_AT_ONCE + " requests of " + BODY_BYTES + " bytes at once");
        for (int i = 0; i < BAD_CLIENTS; i++) {
            String name = "b" + number + "-" + i;
            Threads.start("bad client", () -> sendAtOnce(name));
        }
    }

    /** Sends at full speed and reads what it is sent. */
    private void sendAtOnce(String name) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'b');
        int answers = 0;
        String end = "closed";
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(3000);
            Threads.start("bad client's writer", () -> write(socket, name, body));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (Http.read(in) != null) {
                answers++;
            }
        } catch (IOException e) {
            end = e.getMessage();
        }
        log.line("bad client " + name + ": " + answers + " answers, then " + end);
    }

    private static void write(Socket socket, String name, byte[] body) {
        try {
            for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                String id = name + "-" + i;
                socket.getOutputStream()
                        .write(
                                Http.bytes(
                                        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: "
                                                + id
                                                + "\r\nX-Class: order-confirm\r\n"
                                                + "X-Tenant: cycles-moris\r\nX-Deadline: 1.5\r\n"
                                                + "Idempotency-Key: key-" + id + "\r\n",
                                        body));
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    @Override
    protected void end() throws Exception {
        if (sidecar != null) {
            sidecar.close();
        }
        if (discovery != null) {
            discovery.close();
        }
        for (Upstream upstream : upstreams) {
            upstream.close();
        }
    }
}
