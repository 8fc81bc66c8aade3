package appleridge.testbed.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;

/** Names, addresses and limits that are the same on all simulated days. */
public final class Site {
    /** Unix time in milliseconds at the start of the day. */
    public static final long EPOCH_MILLIS = 1_767_225_600_000L;

    /** One second. */
    public static final long SECOND = 1_000_000_000L;

    /** One millisecond. */
    public static final long MS = 1_000_000L;

    /** The zones of the order servers. */
    public static final List<String> ZONES = List.of("ebene", "port-louis", "rose-belle");

    /** The only kind of order server. */
    public static final String SERVER_KIND = "std-3c";

    /** Grace period: a sidecar may start requests at a draining server for this long. */
    public static final long DRAIN_GRACE = 2 * SECOND;

    /** For how long a cold server must be overloaded to collapse. */
    public static final long COLLAPSE_AFTER = 1500 * MS;

    /** Load of a cold server, as a multiple of its capacity, that counts as overload. */
    public static final double OVERLOAD_FACTOR = 4;

    /** Capacity of a server at its start, as a fraction of its capacity when warm. */
    public static final double COLD_SHARE = 0.39;

    /** Time from a server's start until it is warm. */
    public static final long RAMP_TIME = 7400 * MS;

    /** By how much an answer may exceed the deadline. */
    public static final long ANSWER_SLACK = 20 * MS;

    /** The fields of a load report. */
    public static final List<String> LOAD_REPORT_FIELDS =
            List.of("rate", "lat_ms", "fail_rate", "q");

    /** Prefix of the request ids of bad clients; servers reject such requests. */
    public static final String BAD_CLIENT_ID_PREFIX = "bad-";

    static final int SIDECAR_PORT = 3000;
    static final int SERVER_PORT = 4000;
    static final int REGISTRY_PORT = 8500;

    private Site() {}

    /** The loopback address 127.b.c.d. */
    static InetAddress address(int b, int c, int d) {
        try {
            return InetAddress.getByAddress(new byte[] {127, (byte) b, (byte) c, (byte) d});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Formats an address as {@code host:port} from its bytes, without a name lookup. */
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
