package appleridge.testbed.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Real {@code task} processes on the stand-in under faults: no two commands operate at the same
 * time.
 */
@Timeout(60)
class LeasedTaskIT {
    private static final Path JAR = Path.of("..", "sidecar", "target", "appleridge.jar");
    private static final long MAX_WAIT_MILLIS = 25_000;
    private static final int LONG_TERM_MILLIS = 6000;

    /** More operations than fit in a term at one every 10 ms. */
    private static final int OPERATIONS = 500;

    private static final int EXIT_TERMINATED = 143;
    private static final int EXIT_NO_GUARDIAN = 70;

    private static TaskFleet fleet(int size, int termMillis, TaskFleet.CommandBehavior... behaviors)
            throws Exception {
        TaskFleet fleet = new TaskFleet(JAR, size, termMillis, behaviors);
        fleet.tasks.get(0).start();
        assertTrue(fleet.witness.awaitAbove(0, MAX_WAIT_MILLIS), () -> logs(fleet));
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

    private static void assertHolderChanges(TaskFleet fleet, long oldToken)
            throws InterruptedException {
        assertTrue(fleet.witness.awaitAbove(oldToken, MAX_WAIT_MILLIS), () -> logs(fleet));
        assertEquals(List.of(), fleet.witness.findings(), () -> logs(fleet));
    }

    /**
     * Guards against a command that runs beside its successor because its stopped parent can't end
     * it.
     */
    @Test
    void commandOfAHolderStoppedBeyondItsLeaseIsEnded() throws Exception {
        try (TaskFleet fleet =
                fleet(2, TaskFleet.SHORT_TERM_MILLIS, TaskFleet.CommandBehavior.PLAIN)) {
            fleet.tasks.get(0).signal("STOP");
            assertHolderChanges(fleet, 1);
            fleet.tasks.get(0).signal("CONT");
            fleet.tasks.get(1).term();
            assertEquals(EXIT_TERMINATED, fleet.tasks.get(1).awaitExit());
            assertHolderChanges(fleet, 2);
            assertTrue(fleet.killAll());
        }
    }

    /**
     * Guards against a command that survives by ignoring SIGTERM or by running in its own session.
     */
    @Test
    void commandIsEndedWhenItsHolderIsKilledOrCutOff() throws Exception {
        try (TaskFleet fleet =
                fleet(
                        3,
                        TaskFleet.SHORT_TERM_MILLIS,
                        TaskFleet.CommandBehavior.APART,
                        TaskFleet.CommandBehavior.STUBBORN)) {
            fleet.tasks.get(0).kill();
            assertHolderChanges(fleet, 1);
            fleet.tasks.get(0).start();
            int cutOff = fleet.witness.holder();
            fleet.setCutOff(cutOff, true);
            assertHolderChanges(fleet, 2);
            assertTrue(fleet.tasks.get(cutOff).alive(), () -> logs(fleet));
            fleet.setCutOff(cutOff, false);
            int holder = fleet.witness.holder();
            fleet.tasks.get(holder).guardian().orElseThrow().destroyForcibly();
            assertEquals(EXIT_NO_GUARDIAN, fleet.tasks.get(holder).awaitExit());
            assertHolderChanges(fleet, 3);
            assertTrue(fleet.killAll());
        }
    }

    /**
     * Guards against a lease that ends with its session, and against tokens that are issued twice.
     */
    @Test
    void sessionExpiryEndsNoCommandAndAWipedStoreIsDistrusted() throws Exception {
        try (TaskFleet fleet = fleet(2, LONG_TERM_MILLIS, TaskFleet.CommandBehavior.PLAIN)) {
            fleet.server.stop();
            fleet.server.start();
            for (long session : fleet.server.sessions()) {
                fleet.server.expire(session);
            }
            assertTrue(
                    fleet.witness.awaitOperation(
                            fleet.witness.operations() + OPERATIONS, MAX_WAIT_MILLIS),
                    () -> logs(fleet));
            assertEquals(1, fleet.witness.token(), () -> logs(fleet));
            fleet.tasks.get(0).term();
            assertHolderChanges(fleet, 1);
            fleet.wipe();
            while (fleet.tasks.get(1).log().stream()
                    .noneMatch(line -> line.contains("state=refusing why=wiped"))) {
                assertTrue(fleet.tasks.get(1).alive(), () -> logs(fleet));
                Thread.sleep(10);
            }
            assertEquals(EXIT_TERMINATED, fleet.tasks.get(0).awaitExit());
            assertEquals(List.of(), fleet.witness.findings());
            assertTrue(fleet.killAll());
        }
    }
}
