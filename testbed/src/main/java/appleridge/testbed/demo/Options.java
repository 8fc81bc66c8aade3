package appleridge.testbed.demo;

import java.net.URISyntaxException;
import java.nio.file.Path;

/**
 * The demo's command line.
 *
 * @param seconds how long traffic is played
 * @param seed of all that is drawn
 * @param rate requests a second
 * @param jar the product's
 */
record Options(int seconds, long seed, double rate, Path jar) {
    static final String USAGE =
            """
            usage: java -jar testbed.jar demo [--seconds N] [--seed N] [--rate N] [--jar FILE]
              --seconds N   how long traffic is played: 5 to 3600, usually 30
              --seed N      draws other requests and other victims, usually 1
              --rate N      requests a second: 10 to 300, usually 150
              --jar FILE    the sidecar's jar, usually found beside this one\
            """;

    /**
     * What the command line says; what makes no sense is told by an {@link
     * IllegalArgumentException}.
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
        return new Options(seconds, seed, rate, jar == null ? besideOurs() : jar);
    }

    private static long number(String name, String value, long least, long most) {
        try {
            long number = Long.parseLong(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, together with what is no sensible number.
        }
        throw new IllegalArgumentException(name + " makes no sense: " + value);
    }

    /**
     * In a built checkout the two jars, or our classes, lie in two modules' {@code target} folders.
     */
    private static Path besideOurs() {
        try {
            Path ours =
                    Path.of(
                            Options.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            return ours.resolveSibling(Path.of("..", "..", "sidecar", "target", "appleridge.jar"))
                    .normalize();
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("--jar is needed", e);
        }
    }
}
