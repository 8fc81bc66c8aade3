package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.request.DecisionLog.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<String> lines = new ArrayList<>();
    private long now = 7_000_000_000L;
    private final DecisionLog log =
            new DecisionLog(
                    () -> now,
                    new EventLog() {
                        @Override
                        public void info(String line) {}

                        @Override
                        public void warning(String line) {}

                        @Override
                        public void event(LogEvent kind, Supplier<String> fields) {
                            assertTrue(kind.isAlwaysWritten(), "a limit a second would hide lines");
                            lines.add(fields.get());
                        }

                        @Override
                        public void failure(String what, Throwable cause) {}
                    });

    private void record(Decision decision, String id, int attempt, long seenAgoMillis) {
        log.record(decision, id, attempt, seenAgoMillis * MS, now);
    }

    /** Guards against decisions that no line of the log has. */
    @Test
    void eachDecisionIsFoundByItsIdWithItsTimeAndTheClientsLastSign() {
        record(Decision.BEGUN, "a", 0, 3);
        now += 40 * MS;
        record(Decision.CANCELLED, "a", 0, 41);
        log.recordEnd(Decision.REJECTED, EndReason.BUFFER_LIMIT, "b", DecisionLog.NEVER_SEEN, now);
        log.flushIfDue(now);
        assertEquals(List.of(), lines, "others may still share the line");
        now += 60 * MS;
        log.flushIfDue(now);
        assertEquals(1, lines.size());
        assertTrue(
                lines.get(0)
                        .endsWith(
                                "started_ago_ms=100 omitted=0 begun:a:0:+0:3 cancelled:a:0:+40:41"
                                        + " rejected/buffer_limit:b::+40:"),
                lines.get(0));
        log.flush();
        assertEquals(1, lines.size(), "nothing is written twice");
    }

    /** Guards against a cost without bound, and against a silent bound. */
    @Test
    void decisionsBeyondTheBoundAreCounted() {
        for (int i = 0; i < 6000; i++) {
            record(Decision.BEGUN, "id" + i, 0, 0);
        }
        log.flush();
        String all = String.join("\n", lines);
        assertEquals(5000, all.split(" begun:", -1).length - 1);
        assertTrue(all.contains("omitted=1000"), "the bound is silent");
        now += 1000 * MS;
        record(Decision.BEGUN, "later", 0, 0);
        log.flush();
        assertTrue(lines.get(lines.size() - 1).contains("begun:later"));
    }
}
