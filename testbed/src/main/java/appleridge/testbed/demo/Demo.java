package appleridge.testbed.demo;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The command {@code demo}: runs a simulated site with one real sidecar under traffic and faults,
 * and reports whether the four rules held.
 */
public final class Demo {
    /** Time after SIGTERM in which clients still send new requests. */
    private static final int TRAFFIC_AFTER_TERM_MILLIS = 300;

    /** Longer than any client waits for its answer. */
    private static final int FINAL_ANSWERS_MILLIS = 5000;

    private static final int POLL_MILLIS = 20;

    private final Options options;
    private final PrintStream out;

    private Demo(Options options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /**
     * Returns the process's exit status: 0 if the four rules held and the sidecar exited cleanly, 1
     * if not, 2 for invalid arguments.
     */
    public static int run(PrintStream out, PrintStream err, String... args) {
        try {
            Options options = Options.parse(args);
            if (!Files.isRegularFile(options.jar())) {
                throw new IllegalArgumentException(
                        "no such file: "
                                + options.jar()
                                + " (built by: mvn -q -DskipTests package; or named by --jar)");
            }
            return new Demo(options, out).runSite();
        } catch (IllegalArgumentException e) {
            err.println("demo: " + e.getMessage());
            err.println(Options.USAGE);
            return 2;
        } catch (IOException | ExecutionException e) {
            err.println("demo: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private int runSite() throws IOException, InterruptedException, ExecutionException {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("site", true), NioIoHandler.newFactory());
        Site site = new Site(group.next(), options.seed());
        try (SidecarProcess sidecar = new SidecarProcess(options.jar())) {
            site.open();
            out.println(
                    "Six order servers in three zones, discovery, and one sidecar; "
                            + "the sidecar is starting ...");
            SidecarSettings settings = new SidecarSettings(Site.ZONES, options.seed());
            sidecar.start(
                    port ->
                            settings.configuration(
                                    port, site.registry.endpoint(), site.registry.whole()));
            site.attach(sidecar.port(), options.rate());
            out.println(
                    "... and serves at 127.0.0.1:"
                            + sidecar.port()
                            + ": "
                            + (int) options.rate()
                            + " requests a second for "
                            + options.seconds()
                            + " s.\n");
            Board board = new Board(out);
            boolean alive = traffic(board, site, sidecar, settings);
            int status = sidecar.awaitExit();
            List<Finding> findings = onLoop(site, () -> new Verdict(site.log).findings());
            boolean held = board.verdict(findings, site.log, alive ? status : -1);
            if (!held) {
                out.println("\nThe end of the sidecar's log:");
                sidecar.lastLines().forEach(out::println);
            }
            return held ? 0 : 1;
        } finally {
            site.loop.execute(site::close);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS);
        }
    }

    /** Runs traffic and faults. Returns whether the sidecar was alive until SIGTERM. */
    private boolean traffic(
            Board board, Site site, SidecarProcess sidecar, SidecarSettings settings)
            throws InterruptedException, ExecutionException {
        Faults faults =
                new Faults(
                        site,
                        options.seconds(),
                        () ->
                                sidecar.reload(
                                        settings.configuration(
                                                sidecar.port(),
                                                site.registry.endpoint(),
                                                site.registry.whole())));
        site.loop.execute(
                () -> {
                    faults.begin();
                    site.clients.start();
                });
        Future<?> lines =
                site.loop.scheduleAtFixedRate(
                        () -> line(board, site, faults.active()), 1, 1, TimeUnit.SECONDS);
        for (int second = 0; second < options.seconds() && sidecar.alive(); second++) {
            TimeUnit.SECONDS.sleep(1);
        }
        boolean alive = sidecar.alive();
        sidecar.term();
        TimeUnit.MILLISECONDS.sleep(TRAFFIC_AFTER_TERM_MILLIS);
        site.loop.execute(site.clients::stop);
        for (int waited = 0; waited < FINAL_ANSWERS_MILLIS; waited += POLL_MILLIS) {
            if (onLoop(site, () -> site.clients.open() + site.badClients.open()) == 0) {
                break;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        lines.cancel(false);
        site.loop.execute(
                () -> {
                    line(board, site, "SIGTERM, final answers");
                    site.clients.closeIdle();
                });
        return alive;
    }

    private static void line(Board board, Site site, String now) {
        board.line(site.log.newlyEnded, now);
        site.log.newlyEnded.clear();
    }

    private static <T> T onLoop(Site site, Callable<T> action)
            throws InterruptedException, ExecutionException {
        return site.loop.submit(action).get();
    }
}
