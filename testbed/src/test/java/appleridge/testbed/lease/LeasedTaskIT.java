package appleridge.testbed.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Real {@code task} processes on the stand-in, with faults between them: no two commands act at
 * once.
 */
@Timeout(60)
class LeasedTaskIT {
    private static final Path JAR = Path.of("..", "sidecar", "target", "appleridge.jar");
    private static final long LONGEST_MILLIS = 25_000;
    private static final int LONG_MILLIS = 6000;

    /** More than a term's, at one each hundredth of a second. */
    private static final int ACTS = 500;

    private static final int EXIT_TERMINATED = 143;
    private static final int EXIT_NO_GUARDIAN = 70;

    private static TaskFleet fleet(int size, int termMillis, TaskFleet.Manner... manners)
            throws Exception {
        TaskFleet fleet = new TaskFleet(JAR, size, termMillis, manners);
        fleet.tasks.get(0).start();
        assertTrue(fleet.witness.awaitAbove(0, LONGEST_MILLIS), () -> logs(fleet));
        for (int i = 1; i < size; i++) {
            fleet.tasks.get(i).start();
        }
        return fleet;
    }

    private static String logs(TaskFleet fleet) {
        StringBuilder all = new StringBuilder();
        for (TaskProcess each : fleet.tasks) {
            try {
                each.log().forEach(line -> all.append(line).append('\n'));
                all.append('\n');
            } catch (IOException e) {
                all.append(e);
            }
        }
        return all.toString();
    }

    private static void changes(TaskFleet fleet, long old) throws InterruptedException {
        assertTrue(fleet.witness.awaitAbove(old, LONGEST_MILLIS), () -> logs(fleet));
        assertEquals(List.of(), fleet.witness.findings(), () -> logs(fleet));
    }

    /**
     * Guards against a command that goes on beside the next one because its parent can do nothing.
     */
    @Test
    void commandOfAHolderStoppedBeyondItsLeaseIsEnded() throws Exception {
        try (TaskFleet fleet = fleet(2, TaskFleet.SHORT_MILLIS, TaskFleet.Manner.PLAIN)) {
            fleet.tasks.get(0).signal("STOP");
            changes(fleet, 1);
            fleet.tasks.get(0).signal("CONT");
            fleet.tasks.get(1).term();
            assertEquals(EXIT_TERMINATED, fleet.tasks.get(1).awaitExit());
            changes(fleet, 2);
            assertTrue(fleet.end());
        }
    }

    /** Guards against what a command does that ignores SIGTERM, and has a session of its own. */
    @Test
    void commandIsEndedWhenItsHolderIsKilledOrCutOff() throws Exception {
        try (TaskFleet fleet =
                fleet(
                        3,
                        TaskFleet.SHORT_MILLIS,
                        TaskFleet.Manner.APART,
                        TaskFleet.Manner.STUBBORN)) {
            fleet.tasks.get(0).kill();
            changes(fleet, 1);
            fleet.tasks.get(0).start();
            int cutOff = fleet.witness.holder();
            fleet.cut(cutOff, true);
            changes(fleet, 2);
            assertTrue(fleet.tasks.get(cutOff).alive(), () -> logs(fleet));
            fleet.cut(cutOff, false);
            int holder = fleet.witness.holder();
            fleet.tasks.get(holder).guardian().orElseThrow().destroyForcibly();
            assertEquals(EXIT_NO_GUARDIAN, fleet.tasks.get(holder).awaitExit());
            changes(fleet, 3);
            assertTrue(fleet.end());
        }
    }

    /**
     * Guards against a lease that rests on a session, and against tokens that are given out twice.
     */
    @Test
    void sessionExpiryEndsNoCommandAndAWipedStoreIsDistrusted() throws Exception {
        try (TaskFleet fleet = fleet(2, LONG_MILLIS, TaskFleet.Manner.PLAIN)) {
            fleet.server.stop();
            fleet.server.start();
            for (long session : fleet.server.sessions()) {
                fleet.server.expire(session);
            }
            assertTrue(
                    fleet.witness.awaitAct(fleet.witness.acts() + ACTS, LONGEST_MILLIS),
                    () -> logs(fleet));
            assertEquals(1, fleet.witness.token(), () -> logs(fleet));
            fleet.tasks.get(0).term();
            changes(fleet, 1);
            fleet.wipe();
            while (fleet.tasks.get(1).log().stream()
                    .noneMatch(line -> line.contains("state=refusing why=wiped"))) {
                assertTrue(fleet.tasks.get(1).alive(), () -> logs(fleet));
                Thread.sleep(10);
            }
            assertEquals(EXIT_TERMINATED, fleet.tasks.get(0).awaitExit());
            assertEquals(List.of(), fleet.witness.findings());
            assertTrue(fleet.end());
        }
    }
}
