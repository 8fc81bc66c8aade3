package appleridge.loadbalancing;

import java.util.Random;

/**
 * Load shedding: limits the fraction of first attempts that is admitted while responses are late at
 * hosts of the whole fleet. Where each of many sidecars has only few requests at a host, no
 * concurrency limit per host is ever reached, and together the sidecars would delay all work beyond
 * its objective for good.
 *
 * <p>Each late attempt lowers the admitted fraction by a step, each timely response raises it by a
 * whole step or a part of one, and without new late attempts the fraction recovers over time.
 */
final class LoadShedder {
    /**
     * Fraction by which one late attempt lowers the admitted fraction. It is relative, since a
     * fixed amount would drive all sidecars to the minimum within a second of overload.
     */
    private static final double ADMISSION_DECREASE_STEP = 0.1;

    /** Increase for a timely response that follows a late attempt closely. */
    private static final double SMALL_INCREASE_STEP = ADMISSION_DECREASE_STEP / 4;

    /**
     * Number of consecutive timely responses with the small increase; each further one raises the
     * fraction by a whole step.
     */
    private static final int TIMELY_RESPONSES_BEFORE_WHOLE_STEPS = 2;

    /** One step above 1, so that a rare late attempt sheds nothing. */
    private static final double MAX_ADMITTED_FRACTION = 1 + ADMISSION_DECREASE_STEP;

    private static final double MIN_ADMITTED_FRACTION = ADMISSION_DECREASE_STEP / 4;

    /**
     * The start of shedding is logged when the admitted fraction falls below this, its end when all
     * requests are admitted again. Requests are shed at any fraction below 1.
     */
    private static final double LOG_BELOW_ADMITTED_FRACTION = 0.5;

    /** Number of evidence windows in which the fraction recovers by 1 without new late attempts. */
    private static final double RECOVERY_WINDOWS = 2;

    /** Requests of one tenant that may arrive together by chance and do not count as an excess. */
    private static final double BURST_ALLOWANCE_REQUESTS = 4;

    /** Late attempts count only at hosts that keep more than this fraction of their turns. */
    private static final double MIN_TURN_FRACTION = 0.5;

    private final TenantQueues queues;
    private final ReferenceThroughput throughput;
    private final LatencyThresholds thresholds;
    private final OutlierDetector outliers;
    private final PolicyActions actions;
    private final double recoveryNanos;
    private double admittedFraction = MAX_ADMITTED_FRACTION;

    /** Whether the start of shedding has been logged and its end has not. */
    private boolean loggedAsShedding;

    private long lastRecoveryAt;
    private int consecutiveTimelyResponses;

    /** Admissions accumulated so far; starts at a random fraction, so that sidecars differ. */
    private double admissionCredit;

    LoadShedder(Random random, TenantQueues queues, HostRules hosts, PolicyActions actions) {
        this.admissionCredit = random.nextDouble();
        this.recoveryNanos = RECOVERY_WINDOWS * hosts.outliers.windowNanos();
        this.queues = queues;
        this.throughput = hosts.throughput;
        this.thresholds = hosts.thresholds;
        this.outliers = hosts.outliers;
        this.actions = actions;
    }

    /**
     * Whether to shed a request that has just arrived. Each request adds the admitted fraction to a
     * credit, from which an admitted request takes 1, so that shedding is spread evenly over all
     * requests. A tenant that requests more than its fair share is shed first: its admitted
     * fraction is raised to the power of the square of its excess.
     */
    boolean shouldShed(long now, TrackedRequest request) {
        recover(now);
        double excess =
                queues.of(request)
                        .excessOverFairShare(
                                now,
                                throughput.requestedWork(now),
                                BURST_ALLOWANCE_REQUESTS * request.expectedNanos());
        admissionCredit +=
                admittedFraction >= 1
                        ? admittedFraction
                        : Math.pow(admittedFraction, excess * excess);
        if (admissionCredit < 1) {
            return true;
        }
        admissionCredit--;
        return false;
    }

    /** Not to be called for failed connects, which say nothing about the fleet's load. */
    void onAttemptEnded(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        if (outcome == Outcome.OK
                && now - attempt.sentAt() < thresholds.overloadEvidenceNanos(request)) {
            boolean wholeStep = ++consecutiveTimelyResponses > TIMELY_RESPONSES_BEFORE_WHOLE_STEPS;
            adjust(wholeStep ? ADMISSION_DECREASE_STEP : SMALL_INCREASE_STEP);
        } else if (outcome == Outcome.REJECTED) {
            onLateAttempt(now, request, attempt);
        }
    }

    /**
     * Lowers the admitted fraction after a late or rejected attempt, in proportion to the value
     * that a late answer loses. Ignores hosts that fare worse than others, and hosts that had other
     * attempts of this sidecar in flight: there the host or the sidecar's own requests explain the
     * delay, not the load of the fleet.
     */
    void onLateAttempt(long now, TrackedRequest request, TrackedAttempt attempt) {
        if (attempt.othersInFlight() == 0
                && outliers.turnFraction(now, attempt.host()) > MIN_TURN_FRACTION) {
            consecutiveTimelyResponses = 0;
            recover(now);
            adjust(
                    -ADMISSION_DECREASE_STEP
                            * Math.min(1, admittedFraction)
                            * (1 - request.requestClass().lateValueFraction()));
        }
    }

    /**
     * Raises the fraction with the time since the last call. Without this, a sidecar with little
     * traffic that sheds would get too few timely responses, and shedding would outlive its cause.
     */
    private void recover(long now) {
        adjust((now - lastRecoveryAt) / recoveryNanos);
        lastRecoveryAt = now;
    }

    private void adjust(double by) {
        admittedFraction =
                Math.max(
                        MIN_ADMITTED_FRACTION,
                        Math.min(MAX_ADMITTED_FRACTION, admittedFraction + by));
        if (loggedAsShedding
                ? admittedFraction >= 1
                : admittedFraction < LOG_BELOW_ADMITTED_FRACTION) {
            loggedAsShedding = !loggedAsShedding;
            actions.log(
                    "load shedding "
                            + (loggedAsShedding ? "begins: answers are late fleet-wide" : "ends"));
        }
    }
}
