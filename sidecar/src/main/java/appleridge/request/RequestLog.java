package appleridge.request;

import appleridge.loadbalancing.Outcome;
import java.util.concurrent.TimeUnit;

/**
 * Logs requests and attempts that did not end well: which, by which rule, and after how long. Event
 * loop only.
 */
final class RequestLog {
    private final MonotonicClock clock;
    private final EventLog log;

    RequestLog(MonotonicClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
    }

    /**
     * A request has ended in another way than by an upstream's good response, or after its time.
     *
     * @param nowNanos as of the event that ended it
     */
    void ended(PendingRequest request, EndReason reason, long nowNanos) {
        if (isLogged(request.clientRequest(), reason, nowNanos)) {
            log.event(
                    LogEvent.REQUEST_ENDED,
                    () ->
                            fields(request.clientRequest(), reason, nowNanos)
                                    + " attempts="
                                    + request.attempts().size()
                                    + " attempts_outstanding="
                                    + request.outstandingAttempts()
                                    + " last_outcome="
                                    + request.lastOutcome()
                                    + request.policyReason()
                                            .map(rule -> " rule=" + rule.label())
                                            .orElse(""));
        }
    }

    /** The same of one that ended before anything was kept of it. */
    void ended(ClientRequest request, EndReason reason, long nowNanos) {
        log.event(
                LogEvent.REQUEST_ENDED,
                () ->
                        fields(request, reason, nowNanos)
                                + " attempts=0 attempts_outstanding=0 last_outcome=null");
    }

    private static boolean isLogged(ClientRequest request, EndReason reason, long nowNanos) {
        return reason != EndReason.SERVED || isLate(request, nowNanos);
    }

    private static boolean isLate(ClientRequest request, long nowNanos) {
        return nowNanos > request.arrivedAtNanos() + request.timeoutNanos();
    }

    private static String fields(ClientRequest request, EndReason reason, long nowNanos) {
        return "id="
                + request.id()
                + " how="
                + reason.end()
                + " reason="
                + reason.label()
                + " past_deadline="
                + isLate(request, nowNanos)
                + " class="
                + request.requestClass()
                + " age_ms="
                + millis(nowNanos - request.arrivedAtNanos())
                + " timeout_ms="
                + millis(request.timeoutNanos());
    }

    /** An attempt has ended without a usable response. */
    void ended(Attempt attempt, Outcome outcome) {
        if (outcome != Outcome.OK) {
            log.event(
                    LogEvent.ATTEMPT_ENDED,
                    () ->
                            "id="
                                    + attempt.request().clientRequest().id()
                                    + " number="
                                    + attempt.number()
                                    + " upstream="
                                    + attempt.upstream()
                                    + " outcome="
                                    + outcome
                                    + " age_ms="
                                    + millis(clock.nanoTime() - attempt.sentAtNanos())
                                    + " begun="
                                    + attempt.hasStartedWriting()
                                    + " committed="
                                    + attempt.isFullyWritten());
        }
    }

    /** Requests are deferred from now on, after a stall. */
    void deferred(int openRequests, long stallNanos) {
        log.event(
                LogEvent.REQUESTS_DEFERRED,
                () ->
                        "state=deferred requests="
                                + openRequests
                                + " stall_ms="
                                + millis(stallNanos));
    }

    /** The deferred requests go to the policy. */
    void resumed(int requests) {
        log.event(
                LogEvent.REQUESTS_DEFERRED,
                () -> "state=resumed requests=" + requests + " stall_ms=0");
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
