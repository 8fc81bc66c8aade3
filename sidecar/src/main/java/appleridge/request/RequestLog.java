package appleridge.request;

import appleridge.loadbalancing.Outcome;
import appleridge.request.DecisionLog.Decision;
import appleridge.request.RequestMetrics.RequestEnd;
import java.util.concurrent.TimeUnit;

/**
 * Logs requests and attempts that ended without a usable response or late, with the reason and the
 * time they took. Event loop only.
 */
final class RequestLog {
    private final MonotonicClock clock;
    private final EventLog log;
    private final DecisionLog decisions;

    RequestLog(MonotonicClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
        this.decisions = new DecisionLog(clock, log);
    }

    /** Logs that the first byte of an attempt is about to be written. */
    void begun(Attempt attempt) {
        record(Decision.BEGUN, attempt);
    }

    /** Logs that an attempt waits, because nobody knows whether its client is there. */
    void waiting(Attempt attempt) {
        record(Decision.WAITING, attempt);
    }

    /** Logs that an attempt waits until the endpoint list may be used. */
    void awaitingEndpointList(Attempt attempt) {
        record(Decision.WAITING_FOR_LIST, attempt);
    }

    /** Logs that a request waits from now on for a sign of its client. */
    void awaitingClient(PendingRequest request) {
        decisions.record(
                Decision.WAITING,
                request.clientRequest().id(),
                -1,
                request.client().clientSeenAgoNanos(),
                clock.nanoTime());
    }

    /** Logs that a request is dropped before it is accepted. */
    void dropped(String requestId) {
        decisions.record(Decision.DROPPED, requestId, -1, DecisionLog.NEVER_SEEN, clock.nanoTime());
    }

    private void record(Decision decision, Attempt attempt) {
        PendingRequest request = attempt.request();
        decisions.record(
                decision,
                request.clientRequest().id(),
                attempt.number(),
                request.client().clientSeenAgoNanos(),
                clock.nanoTime());
    }

    private void recordEnd(ClientRequest request, EndReason reason, long seenAgo, long nowNanos) {
        if (reason.end() == RequestEnd.REJECTED) {
            decisions.recordEnd(Decision.REJECTED, reason, request.id(), seenAgo, nowNanos);
        } else if (reason.end() == RequestEnd.CLIENT_DISCONNECTED) {
            decisions.recordEnd(Decision.DISCONNECTED, reason, request.id(), seenAgo, nowNanos);
        } else if (reason.end() == RequestEnd.FAILED) {
            decisions.recordEnd(Decision.FAILED, reason, request.id(), seenAgo, nowNanos);
        }
    }

    /** Writes decisions that have waited for long enough for others to share their line. */
    void flushIfDue(long nowNanos) {
        decisions.flushIfDue(nowNanos);
    }

    /** Writes all decisions that have been recorded. */
    void flush() {
        decisions.flush();
    }

    /**
     * Logs the end of a request, unless it got a successful response in time.
     *
     * @param nowNanos the time of the event that ended the request
     */
    void ended(PendingRequest request, EndReason reason, long nowNanos) {
        recordEnd(request.clientRequest(), reason, request.client().clientSeenAgoNanos(), nowNanos);
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
        recordEnd(request, reason, DecisionLog.NEVER_SEEN, nowNanos);
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
        if (outcome == Outcome.CANCELLED) {
            record(Decision.CANCELLED, attempt);
        } else if (outcome == Outcome.NEVER_SENT) {
            record(Decision.UNSENT, attempt);
        }
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

    /** Logs that attempts may begin by the endpoint list from now on, or may not. */
    void endpointListUsable(boolean usable, long staleNanos, boolean discoveryFails) {
        log.event(
                LogEvent.ENDPOINT_LIST,
                () ->
                        "usable="
                                + usable
                                + " stale_ms="
                                + millis(staleNanos)
                                + " discovery_fails="
                                + discoveryFails);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
