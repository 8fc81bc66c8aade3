package appleridge.discovery.ephemeral;

import java.util.function.Consumer;

/** Whether the list is stale, and why; each change is logged. Not thread-safe. */
final class Staleness {
    private final Consumer<String> infoLog;
    private final Consumer<String> warningLog;
    private StalenessCause cause = StalenessCause.NOT_CONNECTED;

    Staleness(Consumer<String> infoLog, Consumer<String> warningLog) {
        this.infoLog = infoLog;
        this.warningLog = warningLog;
    }

    StalenessCause cause() {
        return cause;
    }

    /** The list is stale from now on; {@code size}: servers that are listed. */
    void begin(StalenessCause why, int size) {
        if (cause != why) {
            cause = why;
            warningLog.accept(
                    "membership: "
                            + why.description()
                            + ": the last list stands, "
                            + size
                            + " servers");
        }
    }

    /** The list is not stale any more; {@code sizeBefore}: servers that it had before. */
    void end(int size, int sizeBefore) {
        if (cause != StalenessCause.NONE) {
            cause = StalenessCause.NONE;
            infoLog.accept(
                    "membership: "
                            + cause.description()
                            + ": "
                            + size
                            + " servers, "
                            + sizeBefore
                            + " before");
        }
    }
}
