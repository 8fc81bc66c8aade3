package appleridge.request;

import appleridge.loadbalancing.Outcome;
import java.util.concurrent.TimeUnit;

/**
 * Logs what became of requests and attempts that did not go as asked: which, why, and how long it
 * took.
 */
final class RequestLog {
    private final MonotonicClock time;
    private final EventLog log;

    RequestLog(MonotonicClock time, EventLog log) {
        this.time = time;
        this.log = log;
    }

    /**
     * A request has ended in another way than by an upstream's good answer, or after its time.
     *
     * @param now as of the event that ended it
     */
    void ended(PendingRequest call, RequestMetrics.RequestEnd how, long now) {
        boolean late = now > call.request.arrivedAtNanos() + call.request.timeoutNanos();
        if (how != RequestMetrics.RequestEnd.SERVED || late) {
            log.event(
                    LogEvent.REQUEST_ENDED,
                    () ->
                            "id="
                                    + call.request.id()
                                    + " how="
                                    + how
                                    + " late="
                                    + late
                                    + " class="
                                    + call.request.requestClass()
                                    + " age_ms="
                                    + millis(now - call.request.arrivedAtNanos())
                                    + " waits_ms="
                                    + millis(call.request.timeoutNanos())
                                    + " attempts="
                                    + call.attempts.size()
                                    + " out="
                                    + call.out
                                    + " last="
                                    + call.last);
        }
    }

    /** An attempt has ended without a usable answer. */
    void ended(Attempt attempt, Outcome outcome) {
        if (outcome != Outcome.OK) {
            log.event(
                    LogEvent.ATTEMPT_ENDED,
                    () ->
                            "id="
                                    + attempt.call.request.id()
                                    + " number="
                                    + attempt.number
                                    + " upstream="
                                    + attempt.upstream
                                    + " outcome="
                                    + outcome
                                    + " age_ms="
                                    + millis(time.nanoTime() - attempt.sentAt)
                                    + " begun="
                                    + (attempt.sending != null
                                            && attempt.sending.hasStartedWriting())
                                    + " committed="
                                    + (attempt.sending != null
                                            && attempt.sending.isFullyWritten()));
        }
    }

    /** Requests are deferred from now on, or the deferred ones are resumed. */
    void deferred(boolean begins, int waiting, long stall) {
        log.event(
                LogEvent.REQUESTS_DEFERRED,
                () ->
                        "state="
                                + (begins ? "deferred" : "resumed")
                                + " requests="
                                + waiting
                                + " stall_ms="
                                + millis(stall));
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
