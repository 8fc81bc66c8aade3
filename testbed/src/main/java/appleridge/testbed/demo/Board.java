package appleridge.testbed.demo;

import appleridge.testbed.standin.BadClients;
import appleridge.testbed.standin.StandInListener.Ending;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Prints one line per second: the outcomes of the requests that ended in it and the faults that are
 * active; at the end, the verdict. Not thread-safe.
 */
final class Board {
    private static final String HEAD = "  time  served  refused  failed     p50     p99   just now";

    private static final int MAX_SHOWN = 10;

    private final PrintStream out;
    private int seconds;

    Board(PrintStream out) {
        this.out = out;
        out.println(HEAD);
    }

    /** Prints the line of one second; {@code now} describes the active faults, empty for none. */
    void line(List<SiteLog.Try> ended, String now) {
        int refused = (int) ended.stream().filter(SiteLog.Try::refused).count();
        int left = (int) ended.stream().filter(each -> each.ending == Ending.GAVE_UP).count();
        long[] took =
                ended.stream()
                        .filter(SiteLog.Try::served)
                        .mapToLong(each -> each.endedAt - each.ask.at())
                        .sorted()
                        .toArray();
        out.println(
                String.format(
                        Locale.ROOT,
                        "%4d s %7d %8d %7d %s %s   %s",
                        ++seconds,
                        took.length,
                        refused,
                        ended.size() - took.length - refused - left,
                        millis(took, 0.5),
                        millis(took, 0.99),
                        now.isEmpty() ? "-" : now));
        out.flush();
    }

    private static String millis(long[] sorted, double quantile) {
        return sorted.length == 0
                ? "      -"
                : String.format(
                        Locale.ROOT,
                        "%4d ms",
                        TimeUnit.NANOSECONDS.toMillis(
                                sorted[(int) (quantile * (sorted.length - 1))]));
    }

    /**
     * Prints the findings of the four rules. Returns whether all held, a request was served, and
     * the sidecar exited with status 0.
     */
    boolean verdict(List<Finding> findings, SiteLog log, int status) {
        out.println();
        for (Finding finding : findings) {
            out.println(
                    String.format(
                            Locale.ROOT,
                            "%-30s %-7s %s",
                            finding.rule(),
                            finding.kept() ? "kept" : "BROKEN",
                            finding.seen()));
            finding.broken().stream().limit(MAX_SHOWN).forEach(each -> out.println("    " + each));
            if (finding.broken().size() > MAX_SHOWN) {
                out.println("    and " + (finding.broken().size() - MAX_SHOWN) + " more");
            }
        }
        long waiting =
                log.badClients.stream()
                        .filter(bad -> bad.how().equals(BadClients.LEFT_WAITING))
                        .count();
        out.println(log.badClients.size() + " bad clients, " + waiting + " of them left waiting");
        boolean held = findings.stream().allMatch(Finding::kept);
        boolean served = log.tries.values().stream().anyMatch(SiteLog.Try::served);
        if (!served) {
            out.println("no request was served");
        }
        if (status != 0) {
            out.println(
                    "the sidecar did not exit cleanly" + (status > 0 ? ": status " + status : ""));
        }
        out.println(held ? "the four rules held" : "the four rules did not hold");
        out.flush();
        return held && served && status == 0;
    }
}
