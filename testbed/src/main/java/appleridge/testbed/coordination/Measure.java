package appleridge.testbed.coordination;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.zookeeper.KeeperException;

/**
 * The command {@code measure}: measures service discovery on real sockets with a real sidecar
 * process.
 */
public final class Measure {
    private static final String USAGE =
            """
            usage: java -jar testbed.jar measure WHAT [--jar FILE] [--seed N] [--rate N] ...
              membership-drain [--sequences 300] [--servers 12] [--strikes all|none|cut,\
              reset,...]
                          [--source nodes|both] [--session 2s]
                  servers vanish, flap and restart: how long requests still reach them
              membership-outage [--pairs 10] [--seconds 60] [--servers 9]
                  normal operation and outage in turns: requests lost or refused, latencies
              membership-latency [--rounds 100] [--servers 9] [--source \
              nodes|both|registry] [--warm]
                  from a session's end to the last request, from a new node to the first
              membership-scale [--nodes 10000] [--changes 100] [--seconds 60]
                  CPU time and memory of a sidecar with a long list and many changes
              membership-herd [--sessions 300] [--nodes 1000]
                  requests at a coordination server when all sidecars reconnect at once\
            """;

    private final PrintStream out;
    private final PrintStream err;

    public Measure(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Time for cold servers to warm up and for the last updates to take effect. */
    private static final int SETTLE_MILLIS = 10_000;

    private static final Logger CLIENT_LOGGER = Logger.getLogger("appleridge.zookeeper");

    /** Returns the exit status: 0 if the measured values are within their bounds. */
    public int run(String... args) {
        // The stand-ins' own clients lose their sessions by design; their log is noise.
        CLIENT_LOGGER.setLevel(Level.OFF);
        try {
            Options options =
                    new Options(Arrays.copyOfRange(args, Math.min(1, args.length), args.length));
            Path jar = options.path("--jar");
            boolean held =
                    run(
                            args.length == 0 ? "" : args[0],
                            options,
                            jar == null ? jarBesideThisOne() : jar);
            return held ? 0 : 1;
        } catch (IllegalArgumentException e) {
            err.println("measure: " + e.getMessage());
            err.println(USAGE);
            return 2;
        } catch (IOException | ExecutionException | KeeperException e) {
            err.println("measure: " + e);
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private boolean run(String what, Options options, Path jar)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        long seed = options.number("--seed", 1);
        int rate = options.number("--rate", 150);
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException("no such file: " + jar);
        }
        switch (what) {
            case "membership-drain" -> {
                DrainCheck.Plan plan =
                        new DrainCheck.Plan(
                                options.number("--sequences", 300),
                                options.number("--servers", 12),
                                rate,
                                seed,
                                options.strikes(),
                                options.source(),
                                options.text("--session", CoordinatedSite.MIN_SESSION_TIMEOUT));
                options.requireAllUsed();
                return new DrainCheck(plan, out).run(jar).held();
            }
            case "membership-outage" -> {
                OutageCheck check =
                        new OutageCheck(
                                new OutageCheck.Plan(
                                        options.number("--pairs", 10),
                                        options.number("--seconds", 60),
                                        options.number("--servers", 9),
                                        rate,
                                        seed,
                                        SETTLE_MILLIS),
                                out);
                options.requireAllUsed();
                return check.held(check.run(jar));
            }
            case "membership-latency" -> {
                LatencyCheck.Plan plan =
                        new LatencyCheck.Plan(
                                options.number("--rounds", 100),
                                options.number("--servers", 9),
                                rate,
                                seed,
                                options.source(),
                                !options.flag("--warm"));
                options.requireAllUsed();
                return new LatencyCheck(plan, out).run(jar).withoutRequest() == 0;
            }
            case "membership-scale" -> {
                ScaleCheck.Plan plan =
                        new ScaleCheck.Plan(
                                options.number("--nodes", 10_000),
                                options.number("--changes", 100),
                                options.number("--seconds", 60),
                                rate,
                                seed);
                options.requireAllUsed();
                return new ScaleCheck(plan, out).run(jar);
            }
            case "membership-herd" -> {
                HerdCheck.Plan plan =
                        new HerdCheck.Plan(
                                options.number("--sessions", 300),
                                options.number("--nodes", 1000),
                                seed);
                options.requireAllUsed();
                return new HerdCheck(plan, out).run();
            }
            default -> throw new IllegalArgumentException("unknown measurement: " + what);
        }
    }

    /**
     * Finds the sidecar's jar relative to this one; both modules of a built checkout have a {@code
     * target} folder.
     */
    private static Path jarBesideThisOne() {
        try {
            Path location =
                    Path.of(
                            Measure.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            return location.resolveSibling(
                            Path.of("..", "..", "sidecar", "target", "appleridge.jar"))
                    .normalize();
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("--jar is required", e);
        }
    }

    /** The options of a command line; each is removed when it is read. */
    private static final class Options {
        private final List<String> words;

        Options(String... words) {
            this.words = new ArrayList<>(List.of(words));
        }

        boolean flag(String name) {
            return words.remove(name);
        }

        private String value(String name) {
            int at = words.indexOf(name);
            if (at < 0) {
                return null;
            }
            if (at + 1 == words.size()) {
                throw new IllegalArgumentException(name + " needs a value");
            }
            words.remove(at);
            return words.remove(at);
        }

        int number(String name, int defaultValue) {
            String value = value(name);
            try {
                return value == null ? defaultValue : Integer.parseInt(value);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(name + " is not an integer: " + value, e);
            }
        }

        String text(String name, String defaultValue) {
            String value = value(name);
            return value == null ? defaultValue : value;
        }

        Path path(String name) {
            String value = value(name);
            return value == null ? null : Path.of(value);
        }

        Set<CoordinationFault> strikes() {
            String value = value("--strikes");
            if (value == null || value.equals("all")) {
                return EnumSet.allOf(CoordinationFault.class);
            }
            Set<CoordinationFault> strikes = EnumSet.noneOf(CoordinationFault.class);
            if (!value.equals("none")) {
                for (String name : value.split(",")) {
                    strikes.add(CoordinationFault.valueOf(name.toUpperCase(Locale.ROOT)));
                }
            }
            return strikes;
        }

        CoordinatedSite.Source source() {
            String value = value("--source");
            return value == null
                    ? CoordinatedSite.Source.NODES
                    : CoordinatedSite.Source.valueOf(value.toUpperCase(Locale.ROOT));
        }

        void requireAllUsed() {
            if (!words.isEmpty()) {
                throw new IllegalArgumentException("unknown option: " + String.join(" ", words));
            }
        }
    }
}
