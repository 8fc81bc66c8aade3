package appleridge.request;

import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A client's request, from its acceptance until the request and all its attempts have ended. Event
 * loop only.
 *
 * <p>The request is <em>uncommitted</em> while it is open and can still get any response and any
 * further attempt. It is committed once a part of it, or of its response, has been streamed and is
 * no longer buffered here.
 */
final class PendingRequest {
    private final long id;
    private final ClientRequest clientRequest;
    private final ResponseSink client;
    private final long deadlineNanos;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private Scheduler.ScheduledTask expiry;

    /** Null until the first attempt has ended. */
    private Outcome lastOutcome;

    /** Null unless the policy has rejected or failed the request. */
    private AnswerReason policyReason;

    /** The attempt whose response is being streamed to the client; null if there is none. */
    private Attempt streamingAttempt;

    private boolean requestStreaming;
    private final RequestWait clientWait = new RequestWait();
    private final RequestWait endpointListWait = new RequestWait();
    private int outstandingAttempts;
    private boolean ended;

    PendingRequest(long id, ClientRequest clientRequest, ResponseSink client, long deadlineNanos) {
        this.id = id;
        this.clientRequest = clientRequest;
        this.client = client;
        this.deadlineNanos = deadlineNanos;
    }

    /** The id of the request for the policy; it is never reused. */
    long id() {
        return id;
    }

    ClientRequest clientRequest() {
        return clientRequest;
    }

    ResponseSink client() {
        return client;
    }

    /** The time by which the request needs its response, on the {@link MonotonicClock}. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** The attempts in the order in which they were started; callers must not modify the list. */
    List<Attempt> attempts() {
        return attempts;
    }

    int outstandingAttempts() {
        return outstandingAttempts;
    }

    /** The outcome of the attempt that ended last; null if none has ended. */
    Outcome lastOutcome() {
        return lastOutcome;
    }

    /** Whether the request has no final response yet and its client is waiting. */
    boolean isOpen() {
        return !ended;
    }

    /** Whether the request is open and may still be rejected, failed or attempted again. */
    boolean isUncommitted() {
        return !ended && !isStreaming();
    }

    /**
     * Streams a long response that is held for a retry, if an attempt has one. Every final response
     * other than that one would replace what the upstream host has begun to send.
     *
     * @return false if there is none, or the request has ended or is streamed already
     */
    boolean streamHeldResponse() {
        return isUncommitted() && attempts.stream().anyMatch(Attempt::streamHeldResponse);
    }

    /** Whether a part of the request or of its response has been streamed. */
    boolean isStreaming() {
        return streamingAttempt != null || requestStreaming;
    }

    boolean isResponseStreaming() {
        return streamingAttempt != null;
    }

    boolean isResponseStreamingFrom(Attempt attempt) {
        return streamingAttempt == attempt;
    }

    boolean isRequestStreaming() {
        return requestStreaming;
    }

    /** The wait until the client is known to be there. */
    RequestWait clientWait() {
        return clientWait;
    }

    /** The wait until the endpoint list may be used. */
    RequestWait endpointListWait() {
        return endpointListWait;
    }

    /** Whether nothing of the request has been sent, or may still be, that a host may execute. */
    boolean isProvenNotExecuted() {
        return attempts.stream().noneMatch(Attempt::mayHaveBegunExecution);
    }

    /** Whether the request and all its attempts have ended. */
    boolean isDone() {
        return ended && outstandingAttempts == 0;
    }

    void attemptStarted(Attempt attempt) {
        attempts.add(attempt);
        outstandingAttempts++;
    }

    void recordOutcome(Outcome outcome) {
        lastOutcome = outcome;
    }

    void attemptEnded() {
        outstandingAttempts--;
    }

    /** Records that a part of the request is no longer buffered: no other attempt can be made. */
    void requestStreamingStarted(Attempt attempt) {
        requestStreaming = true;
        stopTimeouts(attempt);
    }

    /** Records that a part of the response is sent: no other response can be given. */
    void responseStreamingStarted(Attempt attempt) {
        streamingAttempt = attempt;
        stopTimeouts(attempt);
    }

    private void stopTimeouts(Attempt attempt) {
        cancelExpiry();
        attempt.cancelTimeout();
    }

    /** Sets the task that expires the request. */
    void setExpiry(Scheduler.ScheduledTask task) {
        expiry = task;
    }

    void cancelExpiry() {
        expiry.cancel();
    }

    void markEnded() {
        ended = true;
        clientWait.end();
        endpointListWait.end();
    }

    /** Sets the rule by which the policy answers the request. */
    void setPolicyReason(AnswerReason reason) {
        policyReason = reason;
    }

    /** The rule by which the policy answered the request; empty if something else ended it. */
    Optional<AnswerReason> policyReason() {
        return Optional.ofNullable(policyReason);
    }
}
