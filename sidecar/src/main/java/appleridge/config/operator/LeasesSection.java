package appleridge.config.operator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * {@code [leases]}: work that one process of the fleet does at a time. All who seek a lease must
 * have the same times. Read once; a change needs a restart.
 *
 * @param servers the ensemble's servers
 * @param chroot the path that all others are under; empty for none
 * @param root the path that leases stand under, which has to be there
 * @param sessionTimeout the session time-out to ask for; a place in the line ends with it
 * @param digestFile a file with {@code user:password}
 * @param tls {@code [leases.tls]}; empty for plain TCP
 * @param term how long a lease that is not renewed keeps others out
 * @param drift how far a machine's clock may be off true time, as a part
 * @param guard how old the time may be by which something is judged
 * @param renewEvery how long after a request the next one is made
 * @param longestPause the longest stand-still of what guards a command that is allowed for
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
    /** What is set aside, beside {@code killAfter}, for ending all that a command has started. */
    public static final Duration TO_KILL = Duration.ofMillis(500);

    private static final double MOST_DRIFT = 0.05;
    private static final int MILLION = 1_000_000;

    static LeasesSection read(Table table) {
        ValueKind<List<InetSocketAddress>> servers =
                ValueKind.list(ValueKind.address(), 1, MembershipSection.MOST_SERVERS);
        LeasesSection section =
                new LeasesSection(
                        table.required(
                                "servers",
                                servers,
                                MembershipSection.NONE,
                                "the coordination servers"),
                        table.value(
                                "chroot",
                                new ZooKeeperPathKind(true),
                                "",
                                "the path on them that all others are under"),
                        table.value(
                                "root",
                                new ZooKeeperPathKind(false),
                                "/appleridge/leases",
                                "the path that leases stand under"),
                        table.value(
                                "session-timeout",
                                ValueKind.duration(Duration.ofSeconds(2), Duration.ofMinutes(1)),
                                Duration.ofSeconds(6),
                                "after how much silence a place in the line ends"),
                        table.optional(
                                "digest-file",
                                ValueKind.text(MembershipSection.LONGEST),
                                "file that holds user:password"),
                        MembershipSection.Tls.read(table.table("tls")),
                        table.value(
                                "term",
                                ValueKind.duration(Duration.ofSeconds(1), Duration.ofMinutes(10)),
                                Duration.ofSeconds(15),
                                "how long a lease that is not renewed keeps others out"),
                        table.value(
                                "drift",
                                ValueKind.fraction(0, MOST_DRIFT),
                                0.01,
                                "how far a clock may be off true time, as a part of it"),
                        table.value(
                                "guard",
                                ValueKind.duration(Duration.ofMillis(50), Duration.ofMinutes(1)),
                                Duration.ofMillis(500),
                                "how old the time may be by which something is judged"),
                        table.value(
                                "renew-every",
                                ValueKind.duration(Duration.ofMillis(100), Duration.ofMinutes(5)),
                                Duration.ofSeconds(3),
                                "how often a lease is renewed"),
                        table.value(
                                "longest-pause",
                                ValueKind.duration(Duration.ZERO, Duration.ofMinutes(10)),
                                Duration.ofSeconds(1),
                                "the longest stand-still of what guards a command"),
                        table.value(
                                "longest-act",
                                ValueKind.duration(Duration.ZERO, Duration.ofMinutes(10)),
                                Duration.ofSeconds(4),
                                "how long ending a command may take"),
                        table.value(
                                "kill-after",
                                ValueKind.duration(Duration.ZERO, Duration.ofMinutes(5)),
                                Duration.ofSeconds(3),
                                "how long a command has from SIGTERM to SIGKILL"));
        if (table.sound() && section.root.equals("/") && section.chroot.isEmpty()) {
            table.wrong("root", "is the path of everything; give the leases one of their own");
        }
        if (table.sound() && section.killAfter.plus(TO_KILL).compareTo(section.longestAct) > 0) {
            table.wrong(
                    "longest-act",
                    "is shorter than kill-after and what it takes to kill, "
                            + section.killAfter.plus(TO_KILL).toMillis()
                            + "ms");
        }
        if (table.sound() && section.least().compareTo(section.term) > 0) {
            table.wrong(
                    "term",
                    "is too short: with this guard, drift, kill-after and two times renew-every"
                            + " it takes "
                            + section.least().toMillis()
                            + "ms");
        }
        return section;
    }

    /** The drift in millionths. */
    public int driftPpm() {
        return (int) Math.ceil(drift * MILLION);
    }

    /**
     * The shortest term in which a command can be ended after two renewals in a row were missed.
     */
    private Duration least() {
        double millis =
                renewEvery.multipliedBy(2).plus(guard).plus(killAfter).plus(TO_KILL).toMillis();
        return Duration.ofMillis((long) Math.ceil(millis / (1 - drift)));
    }

    /** After how long at most another holds where a holder has died, but for what asking takes. */
    Duration handover() {
        long millis =
                (long) Math.ceil((1 + drift) * term.plus(longestPause).plus(longestAct).toMillis());
        return Duration.ofMillis(millis).plus(guard);
    }

    /** What it comes to, in plain words. */
    List<String> consequences() {
        return List.of(
                "leases stand under "
                        + root
                        + (chroot.isEmpty() ? "" : " under " + chroot)
                        + " of "
                        + (servers.size() == 1
                                ? "one coordination server"
                                : servers.size() + " coordination servers")
                        + (tls.isPresent() ? ", over TLS" : "")
                        + (digestFile.isPresent() ? ", as the user of digest-file" : ""),
                "a task whose machine dies is started elsewhere within "
                        + handover().toMillis()
                        + "ms, and what the coordination service takes to answer");
    }
}
