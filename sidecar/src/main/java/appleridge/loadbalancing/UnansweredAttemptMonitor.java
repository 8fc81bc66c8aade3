package appleridge.loadbalancing;

/**
 * Reports attempts that stay without a response. A hung or overloaded host responds to nothing, and
 * each of many sidecars sends little to any one host. An attempt therefore counts as evidence while
 * it is still outstanding, unless the host has responded to an attempt sent after it.
 */
final class UnansweredAttemptMonitor {
    /** The responses of one host. */
    static final class Responses {
        /** The latest send time of an attempt that got a response. */
        private long latestSentAt;
    }

    private final TimerQueue timers;
    private final LatencyThresholds thresholds;
    private final OutlierDetector outliers;
    private final LoadShedder shedder;

    UnansweredAttemptMonitor(
            TimerQueue timers,
            LatencyThresholds thresholds,
            OutlierDetector outliers,
            LoadShedder shedder) {
        this.timers = timers;
        this.thresholds = thresholds;
        this.outliers = outliers;
        this.shedder = shedder;
    }

    /**
     * Watches an attempt that has just been sent, as evidence against its host and of an overloaded
     * fleet.
     */
    void watch(TrackedRequest request, TrackedAttempt attempt) {
        reportAfter(attempt, thresholds.hostEvidenceNanos(request));
        timers.schedule(
                attempt.sentAt() + thresholds.overloadEvidenceNanos(request),
                now -> {
                    if (isUnanswered(attempt)) {
                        shedder.onLateAttempt(now, request, attempt);
                    }
                });
    }

    /** Reports the host after the wait, and again each time that the wait has doubled. */
    private void reportAfter(TrackedAttempt attempt, long waitNanos) {
        timers.schedule(
                attempt.sentAt() + waitNanos,
                now -> {
                    if (isUnanswered(attempt)) {
                        outliers.report(now, attempt.host(), OutlierDetector.MINOR);
                        reportAfter(attempt, 2 * waitNanos);
                    }
                });
    }

    void onResponse(TrackedAttempt attempt) {
        Responses responses = attempt.host().responses;
        responses.latestSentAt = Math.max(responses.latestSentAt, attempt.sentAt());
    }

    private static boolean isUnanswered(TrackedAttempt attempt) {
        return attempt.isOutstanding()
                && !attempt.hasTransferStarted()
                && attempt.host().responses.latestSentAt <= attempt.sentAt();
    }
}
