package appleridge.loadbalancing;

/** One attempt of a request at one host. */
final class TrackedAttempt {
    private final TrackedHost host;
    private final long sentAt;
    private final int othersInFlight;
    private boolean outstanding = true;
    private boolean mayHaveExecuted = true;
    private boolean responseStarted;

    TrackedAttempt(TrackedHost host, long sentAt) {
        this.host = host;
        this.sentAt = sentAt;
        this.othersInFlight = host.inFlight();
    }

    TrackedHost host() {
        return host;
    }

    long sentAt() {
        return sentAt;
    }

    /** This sidecar's other attempts that were in flight at the host when this one was sent. */
    int othersInFlight() {
        return othersInFlight;
    }

    /** Whether its outcome is still to come. */
    boolean isOutstanding() {
        return outstanding;
    }

    /** Whether the host may have executed it; false only once the outcome proves the contrary. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    boolean hasResponseStarted() {
        return responseStarted;
    }

    void startResponse() {
        responseStarted = true;
    }

    void end(Outcome outcome) {
        outstanding = false;
        mayHaveExecuted = !outcome.provesNotExecuted();
    }
}
