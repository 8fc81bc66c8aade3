package appleridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class SystemLogTest {
    /**
     * Guards against an event loop that spends its time on log lines: of many failures or warnings
     * one line a second is written.
     */
    @Test
    void repeatedFailuresAndWarningsAreLoggedOncePerSecond() {
        List<String> lines = new ArrayList<>();
        Handler handler =
                new Handler() {
                    @Override
                    public void publish(LogRecord record) {
                        if (record.getMessage().startsWith("flood")) {
                            lines.add(record.getMessage());
                        }
                    }

                    @Override
                    public void flush() {}

                    @Override
                    public void close() {}
                };
        Logger logger = Logger.getLogger("appleridge");
        logger.addHandler(handler);
        try {
            long[] now = {0};
            SystemLog log = new SystemLog(() -> now[0], System.Logger.Level.INFO);
            for (int i = 0; i < 1000; i++) {
                log.failure("flood", null);
            }
            assertEquals(List.of("flood"), lines);
            now[0] = 1_000_000_000;
            log.failure("flood", null);
            assertEquals("flood; suppressed before it: 999", lines.get(1));
            log.warning("flood of warnings");
            log.warning("flood of warnings");
            assertEquals(3, lines.size());
        } finally {
            logger.removeHandler(handler);
        }
    }
}
