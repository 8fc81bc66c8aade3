package appleridge.request;

import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A client's request from its acceptance until it has ended and all its attempts have. Event loop
 * only.
 *
 * <p>It is <em>uncommitted</em> while any response can still be given and any attempt made; it is
 * committed once a part of it, or of its response, has been streamed and is not buffered here any
 * more.
 */
final class PendingRequest {
    private final long id;
    private final ClientRequest clientRequest;
    private final ResponseSink client;
    private final long deadlineNanos;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private Scheduler.ScheduledTask expiry;

    /** Null before the first attempt has ended. */
    private Outcome lastOutcome;

    /** Null while the policy has given no answer. */
    private AnswerReason policyReason;

    /** The attempt whose response is being streamed to the client; null while there is none. */
    private Attempt streamingAttempt;

    private boolean requestStreaming;
    private int outstandingAttempts;
    private boolean ended;

    PendingRequest(long id, ClientRequest clientRequest, ResponseSink client, long deadlineNanos) {
        this.id = id;
        this.clientRequest = clientRequest;
        this.client = client;
        this.deadlineNanos = deadlineNanos;
    }

    /** The id by which the policy knows it; never used twice. */
    long id() {
        return id;
    }

    ClientRequest clientRequest() {
        return clientRequest;
    }

    ResponseSink client() {
        return client;
    }

    /** By when its response is needed, on the {@link MonotonicClock}. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** In the order in which they were started; not to be changed by the caller. */
    List<Attempt> attempts() {
        return attempts;
    }

    int outstandingAttempts() {
        return outstandingAttempts;
    }

    /** The outcome of the attempt that ended last; null where none has. */
    Outcome lastOutcome() {
        return lastOutcome;
    }

    /** Whether it has no final response yet, and its client waits. */
    boolean isOpen() {
        return !ended;
    }

    /** Whether it is open and may still be rejected, failed or attempted again. */
    boolean isUncommitted() {
        return !ended && !isStreaming();
    }

    /** Whether a part of it or of its response has been streamed. */
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

    /** Whether nothing is left to happen to it. */
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

    /** A part of it is not buffered here any more: no other attempt can be made. */
    void requestStreamingStarted(Attempt attempt) {
        requestStreaming = true;
        stopTimeouts(attempt);
    }

    /** A part of the response goes to the client: no other response can be given. */
    void responseStreamingStarted(Attempt attempt) {
        streamingAttempt = attempt;
        stopTimeouts(attempt);
    }

    private void stopTimeouts(Attempt attempt) {
        cancelExpiry();
        attempt.cancelTimeout();
    }

    void setExpiry(Scheduler.ScheduledTask task) {
        expiry = task;
    }

    void cancelExpiry() {
        expiry.cancel();
    }

    void markEnded() {
        ended = true;
    }

    /** Notes by which of its rules the policy answers the request. */
    void setPolicyReason(AnswerReason reason) {
        policyReason = reason;
    }

    /** The policy's rule that answered the request; empty where something else ended it. */
    Optional<AnswerReason> policyReason() {
        return Optional.ofNullable(policyReason);
    }
}
