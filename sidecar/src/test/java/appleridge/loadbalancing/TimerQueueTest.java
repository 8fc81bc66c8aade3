package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Scheduled tasks and the embedder's timers. */
class TimerQueueTest {
    @Test
    void timerThatFiresEarlyDoesNotLoseRequests() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(1);
        sidecar.request(1, 0);
        SidecarHarness.Timer timer = sidecar.timers.poll();
        sidecar.now = timer.at() - 30;
        sidecar.policy.onTimer(sidecar.now, timer.token());
        sidecar.advance(2_000 * MS);
        assertEquals(List.of("fail 1"), sidecar.answers);
    }

    @Test
    void dueTasksRunByTimeAndThenInTheOrderOfScheduling() {
        TimerQueue queue = new TimerQueue(SidecarHarness.of(NON_IDEMPOTENT));
        List<String> run = new ArrayList<>();
        queue.schedule(20, at -> run.add("b" + at));
        queue.schedule(20, at -> run.add("c" + at));
        queue.schedule(10, at -> run.add("a" + at));
        queue.schedule(31, at -> run.add("d" + at));
        queue.onTimer(30, 1);
        assertEquals(List.of("a30", "b30", "c30"), run);
    }

    @Test
    void timerIsSetOnlyForATaskDueBeforeEveryPendingTimer() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT);
        TimerQueue queue = new TimerQueue(sidecar);
        int before = sidecar.log.size();
        for (long at : new long[] {20, 30, 10}) {
            queue.schedule(at, now -> {});
            queue.armTimer();
        }
        assertEquals(
                List.of("timer 1 20", "timer 2 10"),
                sidecar.log.subList(before, sidecar.log.size()));
    }
}
