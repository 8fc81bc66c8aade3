package appleridge.testbed.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;

/** What is the same on all days: names, addresses and the rules' figures. */
public final class Site {
    /** Unix time in milliseconds at the start of the day. */
    public static final long EPOCH_MILLIS = 1_767_225_600_000L;

    /** One second. */
    public static final long SECOND = 1_000_000_000L;

    /** One millisecond. */
    public static final long MS = 1_000_000L;

    /** The sites where order servers stand. */
    public static final List<String> ZONES = List.of("ebene", "port-louis", "rose-belle");

    /** The one kind of order server. */
    public static final String SERVER_KIND = "std-3c";

    /** Nothing new goes to a server for longer than this after its drain was told. */
    public static final long DRAIN_GRACE = 2 * SECOND;

    /** For how long a cold server must be overloaded to fall over. */
    public static final long COLLAPSE_AFTER = 1500 * MS;

    /** How much of a cold server's capacity is too much. */
    public static final double OVERLOAD_FACTOR = 4;

    /** What a server can do at its start, as a part of what it can do when warm. */
    public static final double COLD_SHARE = 0.39;

    /** From a server's start until it is warm. */
    public static final long RAMP_TIME = 7400 * MS;

    /** By how much an answer may be later than the deadline. */
    public static final long ANSWER_SLACK = 20 * MS;

    /** Fields of a load report. */
    public static final List<String> LOAD_REPORT_FIELDS =
            List.of("rate", "lat_ms", "fail_rate", "q");

    /** Ids that begin so are those of bad clients; servers turn them away. */
    public static final String BAD_CLIENT_ID_PREFIX = "bad-";

    static final int SIDECAR_PORT = 3000;
    static final int SERVER_PORT = 4000;
    static final int REGISTRY_PORT = 8500;

    private Site() {}

    static InetAddress address(int b, int c, int d) {
        try {
            return InetAddress.getByAddress(new byte[] {127, (byte) b, (byte) c, (byte) d});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** In {@code host:port}, from the address's bytes, so that nothing is looked up. */
    static String text(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        return (bytes[0] & 0xff)
                + "."
                + (bytes[1] & 0xff)
                + "."
                + (bytes[2] & 0xff)
                + "."
                + (bytes[3] & 0xff)
                + ":"
                + address.getPort();
    }
}
