package appleridge.testbed.coordination;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.CreateMode;
import org.apache.zookeeper.KeeperException;
import org.apache.zookeeper.ZooKeeper;

/**
 * Measures the CPU time, memory and response times of a sidecar with a long server list that
 * changes many times a second.
 */
final class ScaleCheck {
    /** The parameters of a run; {@code changes} per second. */
    record Plan(int nodes, int changes, int seconds, double rate, long seed) {}

    private static final double MAX_CPU_SHARE = 0.1;
    private static final int SETTLE_MILLIS = 5000;
    private static final int SESSION_MILLIS = 30_000;
    private static final long STARTED_AGO_MILLIS = TimeUnit.HOURS.toMillis(1);
    private static final int IN_FLIGHT = 500;
    private static final int SESSIONS = 10;

    private final Plan plan;
    private final PrintStream out;
    private final SplittableRandom random;
    private final List<NodeWriter> writers = new ArrayList<>();
    private boolean[] present;
    private boolean[] terminating;

    /**
     * One measured span: the share of a core, and response times that bound the turns of the loop.
     */
    private record Span(double cpu, Samples turns) {}

    ScaleCheck(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        this.random = new SplittableRandom(plan.seed());
    }

    boolean run(Path jar)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        try (CoordinatedSite site = new CoordinatedSite(plan.seed(), DrainCheck.GRACE);
                ManyServers servers = new ManyServers(site.loop)) {
            site.open(0);
            for (int i = 0; i < SESSIONS; i++) {
                writers.add(
                        new NodeWriter(
                                site.coordination.address(), CoordinatedSite.ROOT, SESSION_MILLIS));
            }
            createNodes(site, servers);
            site.start(jar, CoordinatedSite.Source.NODES, plan.rate());
            site.await(() -> site.drains.size() == plan.nodes());
            out.println(
                    plan.nodes()
                            + " nodes; the sidecar was told of all after "
                            + Samples.millis(site.time.nanos())
                            + " ms of the run");
            boolean held = spans(site, servers);
            site.stopClients();
            for (NodeWriter writer : writers) {
                writer.close();
            }
            return held;
        }
    }

    private boolean spans(CoordinatedSite site, ManyServers servers)
            throws IOException, InterruptedException, ExecutionException {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        Span busy = span(site, servers, "with requests", false);
        Span busyChanges = span(site, servers, "with requests and changes", true);
        site.loop.execute(site.clients::stop);
        Span rest = span(site, servers, "at rest", false);
        Span restChanges = span(site, servers, "with changes", true);
        out.println(
                "the changes' own share of a core: "
                        + round(restChanges.cpu - rest.cpu)
                        + " at rest, "
                        + round(busyChanges.cpu - busy.cpu)
                        + " beside requests");
        out.println(
                "memory at most "
                        + ProcessFigures.memory(site.sidecar.pid(), "VmHWM") / 1024
                        + " MiB");
        out.println(
                "answers to requests: "
                        + site.onLoop(
                                () ->
                                        new Samples(
                                                        site.traffic.answers().stream()
                                                                .filter(
                                                                        answer ->
                                                                                answer.status()
                                                                                        == 200)
                                                                .map(Traffic.Answer::took)
                                                                .toList())
                                                .millis())
                        + ", refused "
                        + site.onLoop(
                                () ->
                                        site.traffic.answers().stream()
                                                .filter(answer -> answer.status() != 200)
                                                .count())
                        + ", without an answer "
                        + site.traffic.endings());
        return restChanges.cpu <= MAX_CPU_SHARE;
    }

    /**
     * Measures the CPU time first and the response times second, because the probe itself uses CPU
     * time.
     */
    private Span span(CoordinatedSite site, ManyServers servers, String what, boolean changing)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        long cpu = ProcessFigures.cpu(site.sidecar.pid());
        long from = site.time.nanos();
        runSpan(site, servers, changing);
        double share =
                (ProcessFigures.cpu(site.sidecar.pid()) - cpu)
                        / (double) (site.time.nanos() - from);
        try (Probe probe = new Probe(site.sidecar.port())) {
            runSpan(site, servers, changing);
            Span span = new Span(share, probe.drainSamples());
            out.println(
                    what
                            + ": "
                            + round(share)
                            + " of a core, "
                            + ProcessFigures.memory(site.sidecar.pid(), "VmRSS") / 1024
                            + " MiB, health responses in "
                            + span.turns.millis()
                            + ", p99.9 "
                            + Samples.millis(span.turns.quantile(0.999))
                            + " ms");
            return span;
        }
    }

    private void runSpan(CoordinatedSite site, ManyServers servers, boolean changing)
            throws InterruptedException {
        if (changing) {
            change(site, servers);
        } else {
            TimeUnit.SECONDS.sleep(plan.seconds());
        }
    }

    private ZooKeeper writer(int number) {
        return writers.get(number % SESSIONS).client();
    }

    private static String path(int number) {
        return CoordinatedSite.ROOT + "/order-server-" + number;
    }

    private byte[] data(CoordinatedSite site, ManyServers servers, int number) {
        return new ServerNode(
                        servers.address(number),
                        CoordinatedSite.ZONES.get(number % 3),
                        !terminating[number],
                        site.time.unixMillis(0) - STARTED_AGO_MILLIS)
                .bytes();
    }

    private void createNodes(CoordinatedSite site, ManyServers servers)
            throws InterruptedException {
        present = new boolean[plan.nodes()];
        terminating = new boolean[plan.nodes()];
        for (int from = 0; from < plan.nodes(); from += IN_FLIGHT) {
            int until = Math.min(plan.nodes(), from + IN_FLIGHT);
            CountDownLatch made = new CountDownLatch(until - from);
            for (int i = from; i < until; i++) {
                present[i] = true;
                writer(i)
                        .create(
                                path(i),
                                data(site, servers, i),
                                Rules.OPEN_ACL,
                                CreateMode.EPHEMERAL,
                                (code, path, context, name) -> made.countDown(),
                                null);
            }
            made.await();
        }
    }

    private void change(CoordinatedSite site, ManyServers servers) throws InterruptedException {
        long gap = TimeUnit.SECONDS.toNanos(1) / plan.changes();
        long next = site.time.nanos();
        long until = next + TimeUnit.SECONDS.toNanos(plan.seconds());
        while (next < until) {
            long wait = next - site.time.nanos();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            change(site, servers, random.nextInt(plan.nodes()));
            next += gap;
        }
    }

    /** Deletes a node, creates it again or flips its state. */
    private void change(CoordinatedSite site, ManyServers servers, int number) {
        if (!present[number]) {
            present[number] = true;
            writer(number)
                    .create(
                            path(number),
                            data(site, servers, number),
                            Rules.OPEN_ACL,
                            CreateMode.EPHEMERAL,
                            (code, path, context, name) -> {},
                            null);
        } else if (random.nextBoolean()) {
            present[number] = false;
            writer(number).delete(path(number), -1, (code, path, context) -> {}, null);
        } else {
            terminating[number] = !terminating[number];
            writer(number)
                    .setData(
                            path(number),
                            data(site, servers, number),
                            -1,
                            (code, path, context, stat) -> {},
                            null);
        }
    }

    private static double round(double number) {
        return Math.round(number * 1000) / 1000.0;
    }
}
