package appleridge.lease.task;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a guardian is started with. Both sides may be of different versions while a jar is replaced,
 * so the order of the words stays as it is.
 *
 * @param nonce marks all processes that the command starts; never used before
 * @param lease the lease's name
 * @param token the fencing token of the grant
 * @param killAfterNanos from SIGTERM to SIGKILL
 * @param killReserveNanos set aside for ending all processes after SIGKILL
 * @param maxClockJumpNanos see {@link appleridge.lease.store.LeaseClock#system}
 * @param report the file that takes its {@link GuardianReport}
 * @param command what to run, and its arguments
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

    /** Reads them from a command line. */
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

    /** Writes them for a command line. */
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

    /** How long before the deadline the command is told to end. */
    long terminationNanos() {
        return killAfterNanos + killReserveNanos;
    }
}
