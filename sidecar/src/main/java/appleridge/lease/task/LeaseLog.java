package appleridge.lease.task;

import appleridge.lease.Grant;
import appleridge.lease.Lease;
import appleridge.lease.LeaseState;
import appleridge.lease.VersionedLease;
import java.util.function.Consumer;

/**
 * The log of one lease: a line for each change of the record's holder and of the state. Operators'
 * scripts may match the lines.
 */
final class LeaseLog {
    private final String prefix;
    private final Consumer<String> log;
    private LeaseState loggedState = LeaseState.RELEASED;
    private String loggedRecord = "";

    LeaseLog(String lease, Consumer<String> log) {
        this.prefix = "lease " + lease + ": ";
        this.log = log;
    }

    void info(String line) {
        log.accept(prefix + line);
    }

    /** Logs what has changed since the last call; {@code grantOrNull} is the task's grant. */
    void logChanges(Lease lease, Grant grantOrNull) {
        String record = describe(lease.latestRecord());
        if (!record.equals(loggedRecord)) {
            loggedRecord = record;
            info("record " + record);
        }
        LeaseState state = lease.state();
        if (state != loggedState) {
            loggedState = state;
            info(
                    "state="
                            + state.logWord()
                            + " why="
                            + lease.cause().logWord()
                            + (grantOrNull == null ? "" : " token=" + grantOrNull.token()));
        }
    }

    private static String describe(VersionedLease recordOrNull) {
        return recordOrNull == null
                ? ""
                : "holder="
                        + recordOrNull.holder()
                        + " token="
                        + recordOrNull.token()
                        + " released="
                        + recordOrNull.released();
    }
}
