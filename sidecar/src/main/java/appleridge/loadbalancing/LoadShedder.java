package appleridge.loadbalancing;

import java.util.Random;

/**
 * Load shedding: the fraction of first attempts that is admitted while answers come late at hosts
 * all over the fleet. Where many sidecars each have a request here and there, no concurrency limit
 * per host ever binds, and together they would queue all work past its objective without end.
 *
 * <p>Each late attempt takes a step off the admitted fraction, each answer in time wins a part of
 * it back, and without new lateness the fraction recovers by itself.
 */
final class LoadShedder {
    /**
     * Part of the admitted fraction that one late attempt takes. A part and not a fixed amount: a
     * second of overload would otherwise drive all sidecars to the minimum at once.
     */
    private static final double ADMISSION_DECREASE_STEP = 0.1;

    /** What an answer in time wins back, until several have come in a row. */
    private static final double SMALL_INCREASE_STEP = ADMISSION_DECREASE_STEP / 4;

    /** So many answers in time in a row win back small steps, the following ones a whole step. */
    private static final int ANSWERS_IN_TIME_BEFORE_WHOLE_STEPS = 2;

    /** One step above 1, so that a rare late answer sheds nothing. */
    private static final double MAX_ADMITTED = 1 + ADMISSION_DECREASE_STEP;

    private static final double MIN_ADMITTED = ADMISSION_DECREASE_STEP / 4;

    /**
     * Shedding is logged below this admitted fraction, until all is admitted again; requests are
     * shed at any fraction below 1.
     */
    private static final double LOG_BELOW_ADMITTED = 0.5;

    /**
     * Evidence windows after which the fraction has recovered from anything without new lateness.
     */
    private static final double RECOVERY_WINDOWS = 2;

    /** Requests of one tenant that may have come together by chance. */
    private static final double REQUESTS_BY_CHANCE = 4;

    /** Lateness counts at hosts that keep more than this part of their turns. */
    private static final double MIN_TURN_FRACTION = 0.5;

    private final TenantQueues queues;
    private final ReferenceThroughput throughput;
    private final LatencyThresholds thresholds;
    private final OutlierDetector outliers;
    private final PolicyActions actions;
    private final double recoveryNanos;
    private double admitted = MAX_ADMITTED;

    /** Whether the log says that shedding goes on. */
    private boolean loggedAsShedding;

    private long recoveredAt;
    private int answersInTime;

    /** Admitted requests that have added up; starts at random, so that sidecars differ. */
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
     * credit, and takes 1 off it when it is admitted, so that shedding is even over all requests. A
     * tenant that asks for more than its fair share is shed first: its fraction is raised to the
     * square of that excess.
     */
    boolean shouldShed(long now, TrackedRequest request) {
        recover(now);
        double excess =
                queues.of(request)
                        .excess(
                                now,
                                throughput.askedWork(now),
                                REQUESTS_BY_CHANCE * request.expectedNanos());
        admissionCredit += admitted >= 1 ? admitted : Math.pow(admitted, excess * excess);
        if (admissionCredit < 1) {
            return true;
        }
        admissionCredit--;
        return false;
    }

    /** Not for failed connects, which say nothing of the fleet's load. */
    void onAttemptEnded(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        if (outcome == Outcome.OK
                && now - attempt.sentAt() < thresholds.overloadEvidenceNanos(request)) {
            boolean wholeStep = ++answersInTime > ANSWERS_IN_TIME_BEFORE_WHOLE_STEPS;
            change(wholeStep ? ADMISSION_DECREASE_STEP : SMALL_INCREASE_STEP);
        } else if (outcome == Outcome.REJECTED) {
            onLateAttempt(now, request, attempt);
        }
    }

    /**
     * Admits less after a late or rejected attempt, in proportion to the value a late answer loses.
     * Only at a host that is no worse than others and had nothing else of this sidecar's: else the
     * host or the sidecar's own requests explain it, and not the load of the fleet.
     */
    void onLateAttempt(long now, TrackedRequest request, TrackedAttempt attempt) {
        if (attempt.othersInFlight() == 0
                && outliers.turnFraction(now, attempt.host()) > MIN_TURN_FRACTION) {
            answersInTime = 0;
            recover(now);
            change(
                    -ADMISSION_DECREASE_STEP
                            * Math.min(1, admitted)
                            * (1 - request.requestClass().lateValueFraction()));
        }
    }

    /**
     * Recovery by time alone: a sidecar with little traffic gets few answers in time because it
     * sheds, and shedding would outlive its cause.
     */
    private void recover(long now) {
        change((now - recoveredAt) / recoveryNanos);
        recoveredAt = now;
    }

    private void change(double by) {
        admitted = Math.max(MIN_ADMITTED, Math.min(MAX_ADMITTED, admitted + by));
        if (loggedAsShedding ? admitted >= 1 : admitted < LOG_BELOW_ADMITTED) {
            loggedAsShedding = !loggedAsShedding;
            actions.log(
                    "load shedding "
                            + (loggedAsShedding ? "begins: answers are late fleet-wide" : "ends"));
        }
    }
}
