package appleridge.loadbalancing;

/** One attempt of a request at one host. */
final class TrackedAttempt {
    private final TrackedHost host;
    private final long sentAt;
    private final int othersInFlight;
    private boolean outstanding = true;
    private boolean mayHaveExecuted = true;
    private boolean transferStarted;

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

    /** Whether its outcome is still pending. */
    boolean isOutstanding() {
        return outstanding;
    }

    /**
     * Whether the host may have executed it; false only once its outcome proves that it has not.
     */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /**
     * Whether the transfer of a response or request too long to be buffered has started; from then
     * on the attempt no longer counts as in flight at its host.
     */
    boolean hasTransferStarted() {
        return transferStarted;
    }

    void startTransfer() {
        transferStarted = true;
    }

    void end(Outcome outcome) {
        outstanding = false;
        mayHaveExecuted = !outcome.provesNotExecuted();
    }
}
