package appleridge.discovery.ephemeral;

import java.util.function.Consumer;

/** Tracks whether the endpoint list is stale, and why; logs each change. Not thread-safe. */
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

    /** Marks the list as stale; {@code size}: servers listed. */
    void begin(StalenessCause newCause, int size) {
        if (cause != newCause) {
            cause = newCause;
            warningLog.accept(
                    "membership: "
                            + newCause.description()
                            + ": the last list stays in force, "
                            + size
                            + " servers");
        }
    }

    /** Marks the list as up to date; {@code sizeBefore}: servers listed before the update. */
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
