package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * {@code [leases]}: work that one process of the fleet does at a time. All processes that compete
 * for a lease must have the same times. Read once; a change needs a restart.
 *
 * @param servers the ensemble's servers
 * @param chroot the path that all others are under; empty for none
 * @param root the path that leases stand under, which has to be there
 * @param sessionTimeout the session time-out to request; a place in the waiter queue ends with it
 * @param digestFile a file with {@code user:password}
 * @param tls {@code [leases.tls]}; empty for plain TCP
 * @param term how long a lease that is not renewed keeps others out
 * @param drift how far a machine's clock may be off true time, as a fraction
 * @param guard how old the time may be by which something is judged
 * @param renewEvery how long after a request the next one is made
 * @param longestPause the longest stall of the process that guards a command
 * @param longestAct how long ending a command and all that it has started may take
 * @param killAfter how long a command has from SIGTERM to SIGKILL
 */
public record LeasesSection(
        List<InetSocketAddress> servers,
        String chroot,
        String root,
        Duration sessionTimeout,
        Optional<String> digestFile,
        Optional<MembershipSection.Tls> tls,
        Duration term,
        double drift,
        Duration guard,
        Duration renewEvery,
        Duration longestPause,
        Duration longestAct,
        Duration killAfter) {
    /** Set aside, beside {@code killAfter}, for ending all that a command has started. */
    public static final Duration KILL_ALLOWANCE = Duration.ofMillis(500);

    private static final String DEFAULT_ROOT = "/appleridge/leases";
    private static final double MAX_DRIFT = 0.05;
    private static final double DEFAULT_DRIFT = 0.01;
    private static final int MILLION = 1_000_000;

    /** Renewals in a row that may be missed before a command has to be ended. */
    private static final int MISSED_RENEWALS = 2;

    static LeasesSection read(Table table) {
        CoordinationKeys keys = new CoordinationKeys(table);
        LeasesSection section =
                new LeasesSection(
                        keys.servers(),
                        keys.chroot(),
                        keys.root(DEFAULT_ROOT, "the path that leases stand under"),
                        keys.sessionTimeout("after how much silence a place in the line ends"),
                        keys.digestFile(),
                        keys.tls(),
                        term(table),
                        drift(table),
                        guard(table),
                        renewEvery(table),
                        longestPause(table),
                        longestAct(table),
                        killAfter(table));
        section.check(table);
        return section;
    }

    private static Duration term(Table table) {
        return table.value(
                "term",
                ValueKind.duration(Duration.ofSeconds(1), Duration.ofMinutes(10)),
                Duration.ofSeconds(15),
                "how long a lease that is not renewed keeps others out");
    }

    private static double drift(Table table) {
        return table.value(
                "drift",
                ValueKind.fraction(0, MAX_DRIFT),
                DEFAULT_DRIFT,
                "how far a clock may be off true time, as a part of it");
    }

    private static Duration guard(Table table) {
        return table.value(
                "guard",
                ValueKind.duration(Duration.ofMillis(50), Duration.ofMinutes(1)),
                Duration.ofMillis(500),
                "how old the time may be by which something is judged");
    }

    private static Duration renewEvery(Table table) {
        return table.value(
                "renew-every",
                ValueKind.duration(Duration.ofMillis(100), Duration.ofMinutes(5)),
                Duration.ofSeconds(3),
                "how often a lease is renewed");
    }

    private static Duration longestPause(Table table) {
        return table.value(
                "longest-pause",
                ValueKind.duration(Duration.ZERO, Duration.ofMinutes(10)),
                Duration.ofSeconds(1),
                "the longest stand-still of what guards a command");
    }

    private static Duration longestAct(Table table) {
        return table.value(
                "longest-act",
                ValueKind.duration(Duration.ZERO, Duration.ofMinutes(10)),
                Duration.ofSeconds(4),
                "how long ending a command may take");
    }

    private static Duration killAfter(Table table) {
        return table.value(
                "kill-after",
                ValueKind.duration(Duration.ZERO, Duration.ofMinutes(5)),
                Duration.ofSeconds(3),
                "how long a command has from SIGTERM to SIGKILL");
    }

    /** Notes which values are not allowed together; the first such problem hides the others. */
    private void check(Table table) {
        if (table.valid() && root.equals("/") && chroot.isEmpty()) {
            table.reject("root", "is the path of everything; give the leases one of their own");
        }
        if (table.valid() && timeToEnd().compareTo(longestAct) > 0) {
            table.reject(
                    "longest-act",
                    "is shorter than kill-after and what it takes to kill, "
                            + timeToEnd().toMillis()
                            + "ms");
        }
        if (table.valid() && shortestTerm().compareTo(term) > 0) {
            table.reject(
                    "term",
                    "is too short: with this guard, drift, kill-after and two times renew-every"
                            + " it takes "
                            + shortestTerm().toMillis()
                            + "ms");
        }
    }

    /** The drift in millionths. */
    public int driftPpm() {
        return (int) Math.ceil(drift * MILLION);
    }

    /** How long it takes from SIGTERM until all that a command has started is ended. */
    private Duration timeToEnd() {
        return killAfter.plus(KILL_ALLOWANCE);
    }

    /**
     * The shortest term in which a command can be ended after two renewals in a row were missed.
     */
    private Duration shortestTerm() {
        double millis =
                renewEvery.multipliedBy(MISSED_RENEWALS).plus(guard).plus(timeToEnd()).toMillis();
        return Duration.ofMillis((long) Math.ceil(millis / (1 - drift)));
    }

    /**
     * After a holder died, another one holds the lease within this time and what the coordination
     * service takes to answer.
     */
    Duration handover() {
        long millis =
                (long) Math.ceil((1 + drift) * term.plus(longestPause).plus(longestAct).toMillis());
        return Duration.ofMillis(millis).plus(guard);
    }

    /** What it means for tasks, for {@code check-config} to print. */
    List<String> consequences() {
        return List.of(
                "leases stand under "
                        + CoordinationKeys.describe(root, chroot, servers, tls, digestFile),
                "a task whose machine dies is started elsewhere within "
                        + handover().toMillis()
                        + "ms, and what the coordination service takes to answer");
    }
}
