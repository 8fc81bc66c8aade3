package appleridge.config.operator;

import appleridge.config.Defaults;
import java.math.BigDecimal;

/**
 * {@code [limits]}: what the process's file descriptors are for. What neither part takes is the
 * program's own.
 *
 * @param clientsPart part for connections of clients: 0.05 to 0.9
 * @param upstreamsPart part for connections to upstreams: 0.05 to 0.9; both together less than 0.95
 */
public record LimitsSection(double clientsPart, double upstreamsPart) {
    /** What holds where the file has no such section. */
    public static final LimitsSection DEFAULTS =
            new LimitsSection(
                    Defaults.CLIENT_CONNECTIONS_FRACTION, Defaults.UPSTREAM_CONNECTIONS_FRACTION);

    private static final BigDecimal MAX_SUM_EXCLUSIVE = new BigDecimal("0.95");

    static LimitsSection read(Table table) {
        ValueKind<Double> part = ValueKind.fraction(0.05, 0.9);
        LimitsSection section =
                new LimitsSection(
                        table.value(
                                "clients-part",
                                part,
                                DEFAULTS.clientsPart,
                                "part of the file descriptors for connections of clients"),
                        table.value(
                                "upstreams-part",
                                part,
                                DEFAULTS.upstreamsPart,
                                "part of the file descriptors for connections to upstreams"));
        // Decimal, for in binary 0.4 and 0.55 are together a little more than 0.95, and other pairs
        // less.
        BigDecimal together =
                BigDecimal.valueOf(section.clientsPart)
                        .add(BigDecimal.valueOf(section.upstreamsPart));
        if (table.valid() && together.compareTo(MAX_SUM_EXCLUSIVE) >= 0) {
            table.reject(
                    "clients-part "
                            + section.clientsPart
                            + " and upstreams-part "
                            + section.upstreamsPart
                            + " make "
                            + together.toPlainString()
                            + " together; less than "
                            + MAX_SUM_EXCLUSIVE
                            + " is allowed, for the program needs the rest");
        }
        return section;
    }

    /** Connections of clients that a process with so many file descriptors may hold. */
    public int clientConnections(int descriptors) {
        return (int) (descriptors * clientsPart);
    }

    /** Connections to upstreams that a process with so many file descriptors may hold. */
    public int upstreamConnections(int descriptors) {
        return (int) (descriptors * upstreamsPart);
    }
}
