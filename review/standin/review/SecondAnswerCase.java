package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Some upstreams' answers come a second time, some milliseconds after the first. */
public final class SecondAnswerCase extends Case {
    private static final int UPSTREAMS = 10;
    private static final int WORK_MS = 30;
    private static final int CLIENTS = 60;
    private static final int MEAN_PAUSE_MS = 200;
    private static final double SECOND_ANSWERS = 0.02;
    private static final int SECOND_AFTER_MS = 6;
    private static final long ONE_WAY_NANOS = 500_000;
    private static final int SECONDS = 60;

    private final List<AutoCloseable> started = new ArrayList<>();
    private final AtomicBoolean sending = new AtomicBoolean(true);
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger seconds = new AtomicInteger();
    private final Map<UsualClient.End, AtomicInteger> ends = new EnumMap<>(UsualClient.End.class);
    private Sidecar sidecar;

    private SecondAnswerCase(Path folder) throws IOException {
        super(folder);
        for (UsualClient.End end : UsualClient.End.values()) {
            ends.put(end, new AtomicInteger());
        }
    }

    public static void main(String[] args) {
        run(SecondAnswerCase::new, args);
    }

    @Override
    protected boolean play() throws Exception {
        Discovery discovery = new Discovery(log);
        started.add(discovery);
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream("s-" + i, this::serve);
            Link link = new Link(upstream.port(), ONE_WAY_NANOS);
            started.add(upstream);
            started.add(link);
            String zone = List.of("ebene", "port-louis", "rose-belle").get(i % 3);
            discovery.put(upstream.uid(), link.port(), zone, "Ready", 0);
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
        log.line("clients: " + ends + "; attempts that ran: " + ran + "; second answers: " + seconds);
        if (crashed) {
            throw new NotRunException("the sidecar has ended");
        }
        return ends.get(UsualClient.End.FOREIGN).get() == 0;
    }

    private void serve(Upstream upstream, Http request, Socket socket, InputStream in, OutputStream out)
            throws Exception {
        ran.incrementAndGet();
        String id = request.header("x-request-id");
        log.line("run " + id + " at " + upstream.uid());
        Thread.sleep(WORK_MS);
        byte[] answer = Upstream.ok((id + " done at " + upstream.uid()).getBytes());
        out.write(answer);
        if (!trouble || ThreadLocalRandom.current().nextDouble() >= SECOND_ANSWERS) {
            return;
        }
        long due =
                System.nanoTime()
                        + ThreadLocalRandom.current().nextLong(1_000_000L, SECOND_AFTER_MS * 1_000_000L);
        while (System.nanoTime() < due) {
            if (in.available() > 0) {
                // The next request waits on the connection.
                return;
            }
            Thread.onSpinWait();
        }
        if (in.available() == 0) {
            out.write(answer);
            seconds.incrementAndGet();
            log.line("second answer for " + id + " at " + upstream.uid());
        }
    }

    private void askOnAndOn(int number) throws InterruptedException {
        Random random = new Random(number);
        UsualClient client = new UsualClient(sidecar, log, "u" + number);
        Thread.sleep(random.nextInt(MEAN_PAUSE_MS));
        while (sending.get() && sidecar.process().isAlive()) {
            UsualClient.Kind kind = random.nextBoolean() ? UsualClient.CHECK : UsualClient.CONFIRM;
            byte[] body = new byte[kind == UsualClient.CHECK ? 0 : 200];
            ends.get(client.ask(kind, body)).incrementAndGet();
            Thread.sleep(random.nextInt(2 * MEAN_PAUSE_MS));
        }
        client.close();
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
