package appleridge.lease.store;

import java.util.function.Consumer;

/** The log of one store; drops a line that repeats the previous one. Confined to its thread. */
final class StoreLog {
    private final Consumer<String> log;
    private String last = "";

    StoreLog(Consumer<String> log) {
        this.log = log;
    }

    void info(String line) {
        if (!line.equals(last)) {
            last = line;
            log.accept(line);
        }
    }

    /** The next line is logged even if it repeats the previous one. */
    void reset() {
        last = "";
    }
}
