package appleridge.request;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Lets no attempt begin by an endpoint list of which nobody knows whether it is still true: after a
 * start from a cached list, and whenever updates may have been missed.
 *
 * <p>Invariant: an attempt begins only while the list is <em>usable</em>: current, or stale for
 * less than the drain grace, so that no drain that this process may have missed has to be in effect
 * yet. Neither a timer nor a failed poll makes a list usable again; only discovery does. A request
 * waits for that while a response in time is likely, and is otherwise rejected at once, unless it
 * may have been executed. Event loop only.
 */
final class EndpointListGate {
    /** How long requests wait for a newer list while the one at hand may still be used. */
    private static final long MAX_CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A sidecar may be held up for this long between reading its clock and writing. */
    private static final long SEND_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** A request waits for at most this part of the time that is left to it. */
    private static final int MAX_WAIT_DIVISOR = 2;

    /** How long a sidecar that has no usable list delays that it reports ready. */
    private static final long MAX_READY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final long usableWhileStaleNanos;
    private final RequestAccounting accounting;
    private final RequestLog log;

    /** Null before {@link #start}. */
    private EndpointSubscription subscription;

    /** Null before {@link #start}. */
    private Consumer<PendingRequest> giveUp;

    private long startedAtNanos;
    private boolean catchingUp;
    private boolean everCurrent;
    private boolean startOver;
    private boolean loggedAsUnusable;
    private Scheduler.ScheduledTask catchUpTimer = () -> {};
    private Scheduler.ScheduledTask usableTimer = () -> {};

    /**
     * Creates a gate.
     *
     * @param drainGraceNanos the time within which a drain has to take effect
     */
    EndpointListGate(
            MonotonicClock clock,
            Scheduler scheduler,
            long drainGraceNanos,
            RequestAccounting accounting,
            RequestLog log) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.usableWhileStaleNanos = Math.max(0, drainGraceNanos - SEND_MARGIN_NANOS);
        this.accounting = accounting;
        this.log = log;
    }

    /**
     * Sets the source of the list, which is that from before the start unless it is caught up.
     *
     * @param giveUpRequest ends a request, or those of its attempts that have not begun, because
     *     waiting for the list is in vain
     */
    void start(EndpointSubscription source, Consumer<PendingRequest> giveUpRequest) {
        subscription = source;
        giveUp = giveUpRequest;
        startedAtNanos = clock.nanoTime();
        if (!source.isCaughtUp()) {
            beginCatchUp();
        }
        settle();
    }

    /** Whether an attempt may begin now. */
    boolean isUsable() {
        return clock.nanoTime() < usableUntilNanos();
    }

    private long usableUntilNanos() {
        long staleSince = subscription.staleSinceNanos();
        return staleSince == EndpointSubscription.NOT_STALE
                ? Long.MAX_VALUE
                : staleSince + usableWhileStaleNanos;
    }

    /**
     * Whether the sidecar is ready as far as the list goes: some host of a usable list is ready, or
     * the list was usable before, or discovery has not answered for too long since the start:
     * requests are then rejected with the reason, which a client learns more from than from a
     * sidecar that never becomes ready.
     */
    boolean isReady(boolean hasReadyHost) {
        if (isUsable()) {
            startOver |= hasReadyHost;
            return hasReadyHost;
        }
        startOver |= clock.nanoTime() - startedAtNanos >= MAX_READY_DELAY_NANOS;
        return startOver && (hasReadyHost || !everCurrent);
    }

    /** For how long the list has not been current, in nanoseconds; 0 if it is. */
    long staleForNanos() {
        return Math.max(0, clock.nanoTime() - subscription.staleSinceNanos());
    }

    /** Makes requests wait for a newer list after a stall of the event loop. */
    void beginCatchUpAfterStall(int openRequests, long stallNanos) {
        if (!catchingUp) {
            log.deferred(openRequests, stallNanos);
            beginCatchUp();
        }
    }

    private void beginCatchUp() {
        catchingUp = true;
        catchUpTimer =
                scheduler.scheduleAt(clock.nanoTime() + MAX_CATCH_UP_NANOS, this::catchUpIsOver);
    }

    private void catchUpIsOver() {
        endCatchUp();
        settle();
    }

    private void endCatchUp() {
        catchingUp = false;
        catchUpTimer.cancel();
    }

    /** Handles an update of the list, after it has been applied, or a failed poll. */
    void onUpdate(boolean failed) {
        if (!failed && subscription.isCaughtUp() && catchingUp) {
            endCatchUp();
        }
        settle();
    }

    /** Handles what {@link EndpointSubscription#readPendingUpdates} may have changed. */
    void onPendingUpdatesRead() {
        settle();
    }

    /**
     * Resumes the requests that wait if the list may be used, and gives up all that have not begun
     * if waiting for it is in vain.
     */
    private void settle() {
        usableTimer.cancel();
        everCurrent |= subscription.staleSinceNanos() == EndpointSubscription.NOT_STALE;
        if (!isUsable()) {
            logUsable(false);
            if (isWaitInVain()) {
                openRequests().forEach(this::giveUp);
            }
            return;
        }
        logUsable(true);
        long usableUntil = usableUntilNanos();
        if (usableUntil < Long.MAX_VALUE) {
            usableTimer = scheduler.scheduleAt(usableUntil, this::settle);
        }
        if (!catchingUp) {
            resumeAll();
        }
    }

    private void logUsable(boolean usable) {
        if (loggedAsUnusable == usable) {
            loggedAsUnusable = !usable;
            log.endpointListUsable(usable, staleForNanos(), subscription.isFailing());
        }
    }

    private boolean isWaitInVain() {
        return subscription.isFailing() && !catchingUp;
    }

    private void resumeAll() {
        List<PendingRequest> waiting =
                openRequests().stream().filter(each -> each.endpointListWait().isActive()).toList();
        if (!waiting.isEmpty()) {
            log.resumed(waiting.size());
            waiting.forEach(each -> each.endpointListWait().resume());
        }
    }

    /** The open requests in order of arrival. */
    private List<PendingRequest> openRequests() {
        return accounting.trackedRequests().stream()
                .filter(PendingRequest::isOpen)
                .sorted(Comparator.comparingLong(PendingRequest::id))
                .toList();
    }

    /** Runs a request's submission to the policy once the list may be used. */
    void submitWhenUsable(PendingRequest request, Runnable submission) {
        if (!catchingUp && isUsable()) {
            submission.run();
        } else {
            await(request, submission);
        }
    }

    /**
     * Whether an attempt may begin now, right before its first byte.
     *
     * @param resume continues the attempt once the list is usable
     */
    boolean mayBegin(Attempt attempt, Runnable resume) {
        boolean usable = isUsable();
        if (!usable) {
            log.awaitingEndpointList(attempt);
            await(attempt.request(), resume);
        }
        return usable;
    }

    private void await(PendingRequest request, Runnable task) {
        RequestWait wait = request.endpointListWait();
        wait.resumption(task);
        if (!wait.isActive()) {
            wait.begin(scheduler.scheduleAt(waitUntilNanos(request), () -> endWait(request)));
        }
    }

    private long waitUntilNanos(PendingRequest request) {
        long now = clock.nanoTime();
        boolean inVain = !isUsable() && isWaitInVain();
        long left = Math.max(0, request.deadlineNanos() - now);
        return inVain ? now : now + left / MAX_WAIT_DIVISOR;
    }

    private void endWait(PendingRequest request) {
        if (!request.isOpen() || !request.endpointListWait().isActive()) {
            return;
        }
        if (isUsable()) {
            request.endpointListWait().resume();
        } else {
            giveUp(request);
        }
    }

    private void giveUp(PendingRequest request) {
        request.endpointListWait().end();
        giveUp.accept(request);
    }
}
