package appleridge.discovery.registration;

import appleridge.config.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The command-line arguments of {@code register}.
 *
 * @param operator the operator's file, whose section {@code membership} says where to register
 * @param id the server's id, which is the name of its node
 * @param shard the shard that the node is created in; null for none
 * @param address the address at which other machines reach the server
 * @param zone the name of its zone; null for none
 * @param kind the name of its machine type; null for none
 * @param cell the number of its cell
 * @param weight its capacity in relation to other servers
 * @param check the HTTP path of the health check, which passes with a 2xx status; null to check for
 *     a TCP connection only
 * @param drainMillis how long its node is marked as terminating before the server gets SIGTERM
 * @param command the command that starts the server, with its arguments
 */
record RegisterArguments(
        Path operator,
        String id,
        String shard,
        InetSocketAddress address,
        String zone,
        String kind,
        int cell,
        double weight,
        String check,
        long drainMillis,
        List<String> command) {
    static final String USAGE =
            "usage: register --operator FILE --id ID --address HOST:PORT [--shard NAME]"
                    + " [--zone ZONE] [--kind KIND] [--cell N] [--weight W] [--check /PATH]"
                    + " [--drain-for MILLISECONDS]"
                    + " -- COMMAND [ARGUMENT...]";

    private static final Set<String> NAMES =
            Set.of(
                    "--operator",
                    "--id",
                    "--address",
                    "--shard",
                    "--zone",
                    "--kind",
                    "--cell",
                    "--weight",
                    "--check",
                    "--drain-for");
    private static final String NAME = "[A-Za-z0-9_.:@-]{1,253}";
    private static final long MAX_DRAIN_MILLIS = 600_000;
    private static final double MAX_WEIGHT = 1e6;

    /**
     * Parses the arguments.
     *
     * @throws IllegalArgumentException naming the argument that is missing, unknown or not allowed
     */
    static RegisterArguments parse(List<String> words) {
        int end = words.indexOf("--");
        if (end < 0 || end + 1 == words.size()) {
            throw new IllegalArgumentException("no command after --");
        }
        Map<String, String> given = new HashMap<>();
        for (int i = 0; i < end; i += 2) {
            String name = words.get(i);
            if (!NAMES.contains(name)) {
                throw new IllegalArgumentException("unknown argument: " + name);
            }
            if (i + 1 == end) {
                throw new IllegalArgumentException(name + " needs a value");
            }
            if (given.put(name, words.get(i + 1)) != null) {
                throw new IllegalArgumentException(name + " is given twice");
            }
        }
        String check = given.get("--check");
        if (check != null && !check.matches("/[!-~]*")) {
            throw new IllegalArgumentException(
                    "--check is not a path like /health/ready: " + check);
        }
        return new RegisterArguments(
                Path.of(required(given, "--operator")),
                name("--id", required(given, "--id")),
                given.containsKey("--shard") ? name("--shard", given.get("--shard")) : null,
                address(required(given, "--address")),
                given.get("--zone"),
                given.get("--kind"),
                (int) number(given, "--cell", 0, 0, Integer.MAX_VALUE),
                number(given, "--weight", 1, Double.MIN_VALUE, MAX_WEIGHT),
                check,
                (long) number(given, "--drain-for", 2000, 0, MAX_DRAIN_MILLIS),
                List.copyOf(words.subList(end + 1, words.size())));
    }

    private static String required(Map<String, String> given, String name) {
        String value = given.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    private static String name(String what, String value) {
        if (!value.matches(NAME) || value.equals(".") || value.equals("..")) {
            throw new IllegalArgumentException(
                    what
                            + " may contain up to 253 letters, digits and any of _.:@-, but is "
                            + value);
        }
        return value;
    }

    private static InetSocketAddress address(String text) {
        return Addresses.parse(text)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "--address is not like 192.0.2.1:8080: " + text));
    }

    private static double number(
            Map<String, String> given, String name, double defaultValue, double min, double max) {
        if (!given.containsKey(name)) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(given.get(name));
            if (value >= min
                    && value <= max
                    && (name.equals("--weight") || value == Math.rint(value))) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new IllegalArgumentException(
                name + " is not a number in its range: " + given.get(name));
    }
}
