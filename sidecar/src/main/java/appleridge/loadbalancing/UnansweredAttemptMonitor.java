package appleridge.loadbalancing;

/**
 * Evidence from attempts that stay unanswered. A hung or overloaded host answers nothing, and each
 * of many sidecars sees little of any one host; so an attempt counts while it is still out, unless
 * the host has answered something that was sent after it.
 */
final class UnansweredAttemptMonitor {
    /** What a host has answered. */
    static final class Answers {
        /** When the latest answered attempt was sent. */
        private long latestAnsweredSentAt;
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

    /** Watches an attempt that has just been sent: for its host, and for the fleet as a whole. */
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

    /** Reports the host, and again at each doubling of the wait. */
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

    void onAnswered(TrackedAttempt attempt) {
        Answers answers = attempt.host().answers;
        answers.latestAnsweredSentAt = Math.max(answers.latestAnsweredSentAt, attempt.sentAt());
    }

    private static boolean isUnanswered(TrackedAttempt attempt) {
        return attempt.isOutstanding()
                && !attempt.hasTransferStarted()
                && attempt.host().answers.latestAnsweredSentAt <= attempt.sentAt();
    }
}
