package appleridge.loadbalancing;

import java.util.Optional;

/**
 * Decides whether a request is sent, queued or rejected, and sends queued requests as capacity
 * becomes free.
 */
final class AdmissionController {
    /**
     * A queued request is sent only while at least this many expected response times remain until
     * its value expires. With less time left, half of such requests would be answered too late.
     */
    private static final double MIN_EXPECTED_TIMES_TO_SEND = 1.5;

    /**
     * A queue that could not be drained is tried again after the request's objective divided by
     * this.
     */
    private static final int DRAINS_PER_OBJECTIVE = 50;

    private final PolicySettings settings;
    private final TimerQueue timers;
    private final HostRegistry registry;
    private final TenantQueues queues;
    private final LoadShedder shedder;
    private final HostSelector selector;
    private final AttemptDispatcher dispatcher;
    private final InFlightRequests requests;
    private long drainPass;
    private long recentlyQueuedUntil;
    private boolean drainScheduled;

    AdmissionController(
            PolicySettings settings,
            TimerQueue timers,
            HostRegistry registry,
            TenantQueues queues,
            LoadShedder shedder,
            HostSelector selector,
            AttemptDispatcher dispatcher,
            InFlightRequests requests) {
        this.settings = settings;
        this.timers = timers;
        this.registry = registry;
        this.queues = queues;
        this.shedder = shedder;
        this.selector = selector;
        this.dispatcher = dispatcher;
        this.requests = requests;
    }

    /**
     * Sends, queues or rejects a new request, or one whose retry is allowed.
     *
     * @return {@link Admission#QUEUED} also for a request that was queued and then sent at once
     */
    Admission admit(long now, TrackedRequest request) {
        Admission admission = evaluate(now, request);
        if (admission.isRejected()) {
            requests.answer(request, admission.answerReason());
        } else if (queues.isEmpty() && trySend(now, request)) {
            return Admission.SENT;
        } else {
            enqueue(now, request);
        }
        return admission;
    }

    /** The reason to reject the request, or {@link Admission#QUEUED} if there is none. */
    private Admission evaluate(long now, TrackedRequest request) {
        if (now >= request.deadline()) {
            return Admission.REJECTED_DEADLINE_PASSED;
        }
        if (registry.ready().isEmpty()) {
            return Admission.REJECTED_NO_READY_HOST;
        }
        if (request.hasAttempts()) {
            return Admission.QUEUED;
        }
        if (shedder.shouldShed(now, request)) {
            return Admission.REJECTED_LOAD_SHEDDING;
        }
        return now < recentlyQueuedUntil && wouldAnswerTooLate(now, request)
                ? Admission.REJECTED_OBJECTIVE_OUT_OF_REACH
                : Admission.QUEUED;
    }

    /** Whether even an answer in half of the expected response time would come too late. */
    private static boolean wouldAnswerTooLate(long now, TrackedRequest request) {
        return now + request.expectedNanos() / 2 >= request.valueExpiresAt();
    }

    private void enqueue(long now, TrackedRequest request) {
        recentlyQueuedUntil = now + request.objectiveNanos();
        queues.add(request);
        long lastUsefulSendAt =
                request.valueExpiresAt()
                        - (long) (MIN_EXPECTED_TIMES_TO_SEND * request.expectedNanos());
        timers.schedule(
                Math.max(now + 1, lastUsefulSendAt),
                at -> {
                    if (request.isQueued()) {
                        requests.answer(request, AnswerReason.QUEUE_TIME_EXCEEDED);
                    }
                });
        scheduleDrain(now, request);
        drain(now);
    }

    /**
     * Sends queued requests for as long as hosts take them: always the newest request of the tenant
     * that has been served least.
     */
    void drain(long now) {
        drainPass++;
        while (!queues.isEmpty()) {
            Optional<TenantQueue> queue = queues.leastServed(now, drainPass);
            if (queue.isEmpty()) {
                return;
            }
            TrackedRequest request = queue.get().peek();
            if (!trySend(now, request)) {
                queue.get().skip(drainPass);
                scheduleDrain(now, request);
            }
        }
    }

    /** Schedules a timer event, since every timer event ends with a {@link #drain}. */
    private void scheduleDrain(long now, TrackedRequest request) {
        if (!drainScheduled) {
            drainScheduled = true;
            timers.schedule(
                    now
                            + Math.max(
                                    settings.clockGranularityNanos(),
                                    request.objectiveNanos() / DRAINS_PER_OBJECTIVE),
                    at -> drainScheduled = false);
        }
    }

    private boolean trySend(long now, TrackedRequest request) {
        TrackedHost host = selector.select(now, request);
        if (host == null) {
            return false;
        }
        dispatcher.send(now, request, host);
        return true;
    }
}
