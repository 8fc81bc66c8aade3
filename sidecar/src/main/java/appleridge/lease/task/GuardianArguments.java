package appleridge.lease.task;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The command line of a guardian. While a jar is being replaced, both sides may run different
 * versions, so the order of the words must not change.
 *
 * @param nonce marks all processes that the command starts; never used before
 * @param lease the lease's name
 * @param token the fencing token of the grant
 * @param killAfterNanos the time from SIGTERM to SIGKILL
 * @param killReserveNanos the time reserved for ending all processes with SIGKILL
 * @param maxClockJumpNanos see {@link appleridge.lease.store.LeaseClock#system}
 * @param report the file that receives the {@link GuardianReport}
 * @param command the command to run, and its arguments
 */
record GuardianArguments(
        String nonce,
        String lease,
        long token,
        long killAfterNanos,
        long killReserveNanos,
        long maxClockJumpNanos,
        Path report,
        List<String> command) {
    private static final int COMMAND_INDEX = 7;

    /** Parses the words of a command line. */
    static GuardianArguments parse(List<String> words) {
        return new GuardianArguments(
                words.get(0),
                words.get(1),
                Long.parseLong(words.get(2)),
                Long.parseLong(words.get(3)),
                Long.parseLong(words.get(4)),
                Long.parseLong(words.get(5)),
                Path.of(words.get(6)),
                words.subList(COMMAND_INDEX, words.size()));
    }

    /** Returns the words for a command line. */
    List<String> words() {
        List<String> words =
                new ArrayList<>(
                        List.of(
                                nonce,
                                lease,
                                Long.toString(token),
                                Long.toString(killAfterNanos),
                                Long.toString(killReserveNanos),
                                Long.toString(maxClockJumpNanos),
                                report.toString()));
        words.addAll(command);
        return words;
    }

    /** How long before the deadline the command gets SIGTERM. */
    long terminationNanos() {
        return killAfterNanos + killReserveNanos;
    }
}
