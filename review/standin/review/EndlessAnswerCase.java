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
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Some upstreams' answers are spoilt: they grow beyond 64 KiB and never end. */
public final class EndlessAnswerCase extends Case {
    private static final int UPSTREAMS = 10;
    private static final int WORK_MS = 30;
    private static final int CLIENTS = 30;
    private static final int MEAN_PAUSE_MS = 250;
    private static final double SPOILT = 0.03;
    private static final int SPOILT_BYTES = 100_000;
    private static final int PIECE_EVERY_MS = 200;
    private static final int DEADLINE_MS = 400;

    /** Half a second after its time, and the 50 ms of sockets. */
    private static final int SLACK_MS = 550;

    private static final int SECONDS = 20;

    private final List<AutoCloseable> started = new ArrayList<>();
    private final AtomicBoolean sending = new AtomicBoolean(true);
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private Sidecar sidecar;

    private EndlessAnswerCase(Path folder) throws IOException {
        super(folder);
    }

    public static void main(String[] args) {
        run(EndlessAnswerCase::new, args);
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
                                Settings.map("cores", 1.0, "memory_mb", 192, "sockets", 1024),
                                "known", discovery.list(),
                                "settings", Settings.site()));
        awaitReady(sidecar);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Threads.start("client", () -> askOnAndOn(number)));
        }
        sidecar.process().waitFor(SECONDS, TimeUnit.SECONDS);
        boolean crashed = !sidecar.process().isAlive();
        sending.set(false);
        for (Thread client : clients) {
            client.join(5000);
        }
        log.line(
                "asked " + asked + ", answered " + answered + ", broken off in time " + broken
                        + ", without a final answer " + unanswered);
        if (crashed) {
            throw new NotRunException("the sidecar has ended");
        }
        return unanswered.get() == 0;
    }

    private void serve(
            Upstream upstream, Http request, Socket socket, InputStream in, OutputStream out)
            throws Exception {
        String id = request.header("x-request-id");
        Thread.sleep(WORK_MS);
        if (!trouble || ThreadLocalRandom.current().nextDouble() >= SPOILT) {
            log.line("run " + id + " at " + upstream.uid());
            out.write(Upstream.ok((id + " done").getBytes()));
            return;
        }
        log.line("run " + id + " at " + upstream.uid() + ", answered without end");
        out.write(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        byte[] noise = new byte[SPOILT_BYTES];
        Arrays.fill(noise, (byte) 'z');
        for (int bytes = SPOILT_BYTES; sending.get(); bytes = 1000) {
            out.write((Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(noise, 0, bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(PIECE_EVERY_MS);
        }
    }

    private void askOnAndOn(int number) throws InterruptedException {
        Random random = new Random(number);
        while (sending.get() && sidecar.process().isAlive()) {
            ask("u" + number + "-" + ids.incrementAndGet());
            Thread.sleep(random.nextInt(2 * MEAN_PAUSE_MS));
        }
    }

    /** Sends a request on a connection of its own, and reads until its time and the slack are up. */
    private void ask(String id) {
        asked.incrementAndGet();
        long bytes = 0;
        try (Socket socket = sidecar.connect()) {
            socket.getOutputStream()
                    .write(
                            ("GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                                            + "\r\nX-Class: stock-check\r\nX-Tenant: cycles-moris"
                                            + "\r\nX-Deadline: 0.400\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            long until = System.nanoTime() + (DEADLINE_MS + SLACK_MS) * 1_000_000L;
            InputStream in = new BufferedInputStream(socket.getInputStream());
            StringBuilder end = new StringBuilder();
            byte[] part = new byte[16 << 10];
            while (true) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new SocketTimeoutException("time is up");
                }
                socket.setSoTimeout((int) left);
                int n = in.read(part);
                if (n < 0) {
                    break;
                }
                bytes += n;
                end.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
            }
            boolean chunked = end.toString().toLowerCase().contains("transfer-encoding: chunked");
            boolean whole = bytes > 0 && (!chunked || end.toString().endsWith("0\r\n\r\n"));
            (whole ? answered : broken).incrementAndGet();
            log.line("answered " + id + (whole ? " whole" : " broken off") + ", " + bytes + " bytes");
        } catch (SocketTimeoutException e) {
            unanswered.incrementAndGet();
            log.line("no final answer for " + id + " at its time and " + SLACK_MS + " ms; " + bytes
                    + " bytes so far");
        } catch (IOException e) {
            broken.incrementAndGet();
            log.line("answered " + id + " broken off by " + e.getMessage());
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
