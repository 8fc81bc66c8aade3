package appleridge.request;

import appleridge.loadbalancing.Outcome;
import java.util.concurrent.TimeUnit;

/**
 * Logs requests and attempts that ended without a usable response or late, with the reason and the
 * time they took. Event loop only.
 */
final class RequestLog {
    private final MonotonicClock clock;
    private final EventLog log;

    RequestLog(MonotonicClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
    }

    /**
     * Logs the end of a request, unless it got a successful response in time.
     *
     * @param nowNanos the time of the event that ended the request
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
                                            .orElse("")
                                    + uploadFields(request, nowNanos));
        }
    }

    /** Who waited for whom while the body of a request was streamed. */
    private static String uploadFields(PendingRequest request, long nowNanos) {
        if (!request.isRequestStreaming()) {
            return "";
        }
        UploadProgress progress = request.client().uploadProgress();
        return " upload_complete="
                + (progress.unreadBytes() == 0)
                + " upload_unread_bytes="
                + progress.unreadBytes()
                + " read_pauses="
                + progress.pauses()
                + " upstream_wait_ms="
                + millis(progress.upstreamWaitNanos())
                + " client_time_ms="
                + millis(nowNanos - progress.lastIncompleteNanos());
    }

    /** Logs the end of a request that ended on its arrival. */
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
                + LogText.id(request.id())
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

    /** Logs the end of an attempt, unless it brought a usable response. */
    void ended(Attempt attempt, Outcome outcome) {
        if (outcome != Outcome.OK) {
            log.event(
                    LogEvent.ATTEMPT_ENDED,
                    () ->
                            "id="
                                    + LogText.id(attempt.request().clientRequest().id())
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

    /** Logs that requests are deferred from now on, after a stall. */
    void deferred(int openRequests, long stallNanos) {
        log.event(
                LogEvent.REQUESTS_DEFERRED,
                () ->
                        "state=deferred requests="
                                + openRequests
                                + " stall_ms="
                                + millis(stallNanos));
    }

    /** Logs that the deferred requests are passed to the policy. */
    void resumed(int requests) {
        log.event(
                LogEvent.REQUESTS_DEFERRED,
                () -> "state=resumed requests=" + requests + " stall_ms=0");
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
