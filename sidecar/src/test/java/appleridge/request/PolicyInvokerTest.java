package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class PolicyInvokerTest {
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final List<String> failures = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final PolicyInvoker invoker =
            new PolicyInvoker(
                    new Scheduler() {
                        @Override
                        public ScheduledTask scheduleAt(long atNanos, Runnable task) {
                            throw new AssertionError("PolicyInvoker must not schedule timers");
                        }

                        @Override
                        public void execute(Runnable task) {
                            tasks.add(task);
                        }
                    },
                    new EventLog() {
                        @Override
                        public void info(String line) {}

                        @Override
                        public void warning(String line) {}

                        @Override
                        public void failure(String what, Throwable cause) {
                            failures.add(cause.getMessage());
                        }
                    });

    @Test
    void eventRaisedWithinAnEventRunsAfterIt() {
        invoker.notify(
                policy -> {
                    invoker.notify(inner -> events.add("inner"));
                    events.add("outer");
                });
        assertEquals(List.of("outer"), events);
        tasks.remove().run();
        assertEquals(List.of("outer", "inner"), events);
    }

    @Test
    void policyErrorIsLoggedAndLaterEventsStillReachIt() {
        invoker.notify(
                policy -> {
                    throw new IllegalStateException("policy error");
                });
        invoker.notify(policy -> events.add("next"));
        assertEquals(List.of("policy error"), failures);
        assertEquals(List.of("next"), events);
    }
}
