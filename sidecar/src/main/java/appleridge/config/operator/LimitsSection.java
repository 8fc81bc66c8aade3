package appleridge.config.operator;

import appleridge.config.Defaults;
import java.math.BigDecimal;

/**
 * Section {@code [limits]}: how the process's file descriptors are divided. The rest is for the
 * program itself.
 *
 * @param clientsPart fraction for client connections: 0.05 to 0.9
 * @param upstreamsPart fraction for upstream connections: 0.05 to 0.9; the sum of both is less than
 *     0.95
 */
public record LimitsSection(double clientsPart, double upstreamsPart) {
    /** The defaults, used if the file has no such section. */
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
                                "fraction of the file descriptors for client connections"),
                        table.value(
                                "upstreams-part",
                                part,
                                DEFAULTS.upstreamsPart,
                                "fraction of the file descriptors for upstream connections"));
        // Uses decimal arithmetic: as binary fractions, 0.4 and 0.55 add up to slightly more than
        // 0.95, and other pairs to slightly less than their decimal sum.
        BigDecimal sum =
                BigDecimal.valueOf(section.clientsPart)
                        .add(BigDecimal.valueOf(section.upstreamsPart));
        if (table.valid() && sum.compareTo(MAX_SUM_EXCLUSIVE) >= 0) {
            table.reject(
                    "clients-part "
                            + section.clientsPart
                            + " and upstreams-part "
                            + section.upstreamsPart
                            + " add up to "
                            + sum.toPlainString()
                            + "; the sum must be less than "
                            + MAX_SUM_EXCLUSIVE
                            + ", because the program needs the rest");
        }
        return section;
    }

    /** Maximum number of client connections of a process with this many file descriptors. */
    public int clientConnections(int descriptors) {
        return (int) (descriptors * clientsPart);
    }

    /** Maximum number of upstream connections of a process with this many file descriptors. */
    public int upstreamConnections(int descriptors) {
        return (int) (descriptors * upstreamsPart);
    }
}
