package appleridge.testbed.demo;

import java.net.URISyntaxException;
import java.nio.file.Path;

/**
 * The options of the command {@code demo}.
 *
 * @param seconds duration of the traffic
 * @param seed seed of all random draws
 * @param rate requests per second
 * @param jar the jar of the sidecar
 */
record Options(int seconds, long seed, double rate, Path jar) {
    static final String USAGE =
            """
            usage: java -jar testbed.jar demo [--seconds N] [--seed N] [--rate N] [--jar FILE]
              --seconds N   duration of the traffic: 5 to 3600, default 30
              --seed N      seed of the random requests and faults, default 1
              --rate N      requests per second: 10 to 300, default 150
              --jar FILE    jar of the sidecar, default: the one built in the same checkout\
            """;

    /**
     * Parses the command line.
     *
     * @throws IllegalArgumentException names an option that is unknown or has an invalid value
     */
    static Options parse(String... args) {
        int seconds = 30;
        long seed = 1;
        double rate = 150;
        Path jar = null;
        for (int i = 0; i < args.length; i += 2) {
            String value = i + 1 < args.length ? args[i + 1] : "";
            switch (args[i]) {
                case "--seconds" -> seconds = (int) number(args[i], value, 5, 3600);
                case "--seed" -> seed = number(args[i], value, Long.MIN_VALUE, Long.MAX_VALUE);
                case "--rate" -> rate = number(args[i], value, 10, 300);
                case "--jar" -> jar = Path.of(value);
                default -> throw new IllegalArgumentException("unknown option " + args[i]);
            }
        }
        return new Options(seconds, seed, rate, jar == null ? defaultJar() : jar);
    }

    private static long number(String name, String value, long min, long max) {
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new IllegalArgumentException(
                name + " must be an integer from " + min + " to " + max + ": " + value);
    }

    /**
     * Returns the jar of the sidecar in the same checkout, relative to the jar or the classes of
     * the testbed.
     */
    private static Path defaultJar() {
        try {
            Path testbed =
                    Path.of(
                            Options.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            return testbed.resolveSibling(
                            Path.of("..", "..", "sidecar", "target", "appleridge.jar"))
                    .normalize();
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException(
                    "the location of testbed.jar is unknown: --jar is required", e);
        }
    }
}
