package appleridge.config.operator;

import appleridge.config.Defaults;
import java.time.Duration;

/**
 * Section {@code [clients]}: time-outs of client connections.
 *
 * @param requestTimeout from a request's first byte to its last: 100 ms to 1 min
 * @param firstRequestTimeout from the connection's start to its first request's first byte: 100 ms
 *     to 10 min
 * @param idleTimeout from a response to the next request's first byte: 100 ms to 1 h
 */
public record ClientsSection(
        Duration requestTimeout, Duration firstRequestTimeout, Duration idleTimeout) {
    /** The defaults, used if the file has no such section. */
    public static final ClientsSection DEFAULTS =
            new ClientsSection(
                    Duration.ofMillis(Defaults.REQUEST_TIMEOUT_MILLIS),
                    Duration.ofMillis(Defaults.FIRST_REQUEST_TIMEOUT_MILLIS),
                    Duration.ofMillis(Defaults.IDLE_TIMEOUT_MILLIS));

    private static final Duration MIN_TIMEOUT = Duration.ofMillis(100);

    static ClientsSection read(Table table) {
        return new ClientsSection(
                table.value(
                        "request-timeout",
                        ValueKind.duration(MIN_TIMEOUT, Duration.ofMinutes(1)),
                        DEFAULTS.requestTimeout,
                        "how long receiving a request may take, from its first byte to its last"),
                table.value(
                        "first-request-timeout",
                        ValueKind.duration(MIN_TIMEOUT, Duration.ofMinutes(10)),
                        DEFAULTS.firstRequestTimeout,
                        "how long a new connection may stay without a request"),
                table.value(
                        "idle-timeout",
                        ValueKind.duration(MIN_TIMEOUT, Duration.ofHours(1)),
                        DEFAULTS.idleTimeout,
                        "how long a connection is kept open between requests"));
    }
}
