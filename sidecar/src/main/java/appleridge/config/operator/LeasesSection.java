package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Section {@code [leases]}: leases for work that at most one process of the fleet does at a time.
 * All processes that compete for a lease must have the same durations. Read once; a change needs a
 * restart.
 *
 * @param servers the ensemble's servers
 * @param chroot the ZooKeeper path that all other paths are relative to; empty for none
 * @param root the path under which leases are stored; it must exist
 * @param sessionTimeout the session time-out to request; when the session expires, the process
 *     loses its place in the waiter queue
 * @param digestFile a file with {@code user:password}
 * @param tls {@code [leases.tls]}; empty for plain TCP
 * @param term how long a lease that is not renewed excludes other holders
 * @param drift how far the rate of a machine's clock may differ from true time, as a fraction
 * @param guard the maximum age of a clock reading by which a process decides that its lease is
 *     still valid or that another holder's lease has expired
 * @param renewEvery the interval from the start of one renewal request to the start of the next
 * @param longestPause the assumed maximum stall of the process that guards a command
 * @param longestAct the maximum time to end a command and every process that it has started; at
 *     least {@code killAfter} plus {@link #KILL_ALLOWANCE}
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
    /**
     * Time reserved after {@code killAfter} for killing every process that a command has started.
     */
    public static final Duration KILL_ALLOWANCE = Duration.ofMillis(500);

    private static final String DEFAULT_ROOT = "/appleridge/leases";
    private static final double MAX_DRIFT = 0.05;
    private static final double DEFAULT_DRIFT = 0.01;
    private static final int MILLION = 1_000_000;

    /** Consecutive renewals that may fail before a command has to be ended. */
    private static final int MISSED_RENEWALS = 2;

    static LeasesSection read(Table table) {
        CoordinationKeys keys = new CoordinationKeys(table);
        LeasesSection section =
                new LeasesSection(
                        keys.servers(),
                        keys.chroot(),
                        keys.root(DEFAULT_ROOT, "the path under which leases are stored"),
                        keys.sessionTimeout(
                                "session time-out, after which a place in the waiter queue is"
                                        + " lost"),
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
                "how long a lease that is not renewed excludes other holders");
    }

    private static double drift(Table table) {
        return table.value(
                "drift",
                ValueKind.fraction(0, MAX_DRIFT),
                DEFAULT_DRIFT,
                "how far a clock's rate may differ from true time, as a fraction");
    }

    private static Duration guard(Table table) {
        return table.value(
                "guard",
                ValueKind.duration(Duration.ofMillis(50), Duration.ofMinutes(1)),
                Duration.ofMillis(500),
                "maximum age of a clock reading when a decision uses it");
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
                "the longest stall of the process that guards a command");
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

    /** Rejects combinations of values that are not allowed; only the first is reported. */
    private void check(Table table) {
        if (table.valid() && root.equals("/") && chroot.isEmpty()) {
            table.reject("root", "is the ZooKeeper root; give the leases a path of their own");
        }
        if (table.valid() && terminationTime().compareTo(longestAct) > 0) {
            table.reject(
                    "longest-act",
                    "is too short: kill-after and the time to kill processes require at least "
                            + terminationTime().toMillis()
                            + "ms");
        }
        if (table.valid() && minTerm().compareTo(term) > 0) {
            table.reject(
                    "term",
                    "is too short: guard, drift, kill-after and twice renew-every require"
                            + " at least "
                            + minTerm().toMillis()
                            + "ms");
        }
    }

    /** The drift in parts per million, rounded up. */
    public int driftPpm() {
        return (int) Math.ceil(drift * MILLION);
    }

    /** Maximum time from SIGTERM until every process that a command has started has ended. */
    private Duration terminationTime() {
        return killAfter.plus(KILL_ALLOWANCE);
    }

    /** The shortest term in which a command can be ended after two consecutive failed renewals. */
    private Duration minTerm() {
        double millis =
                renewEvery
                        .multipliedBy(MISSED_RENEWALS)
                        .plus(guard)
                        .plus(terminationTime())
                        .toMillis();
        return Duration.ofMillis((long) Math.ceil(millis / (1 - drift)));
    }

    /**
     * Maximum time from a holder's death until another process holds the lease, not counting the
     * response time of the coordination service.
     */
    Duration maxHandover() {
        long millis =
                (long) Math.ceil((1 + drift) * term.plus(longestPause).plus(longestAct).toMillis());
        return Duration.ofMillis(millis).plus(guard);
    }

    /** Describes the effect on tasks, for {@code check-config} to print. */
    List<String> consequences() {
        return List.of(
                "leases are stored under "
                        + CoordinationKeys.describe(root, chroot, servers, tls, digestFile),
                "a task whose machine dies is started elsewhere within "
                        + maxHandover().toMillis()
                        + "ms plus the response time of the coordination service");
    }
}
