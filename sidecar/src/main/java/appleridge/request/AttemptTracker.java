package appleridge.request;

import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts, times out and cancels attempts. Each attempt that is started ends exactly once, and that
 * is reported to the {@link Listener}, never from within the call that started or cancelled it.
 * Event loop only.
 */
final class AttemptTracker {
    /** Notified of what happens to attempts, after the state has been reconciled. */
    interface Listener {
        /**
         * A good response begins that is too long to be buffered.
         *
         * @return whether it is wanted; else the attempt is broken off
         */
        boolean onResponseStarted(Attempt attempt, StreamedResponse response);

        /** A request too long to be buffered begins to go out. */
        void onRequestStreamingStarted(Attempt attempt);

        /** The last byte of such a request is with the socket. */
        void onRequestFullyWritten(Attempt attempt);

        /** The attempt has ended; {@code response} is null where none was read. */
        void onAttemptEnded(Attempt attempt, Outcome outcome, UpstreamResponse response);
    }

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PolicySettings settings;
    private final UpstreamTransport transport;
    private final EndpointDirectory endpoints;
    private final RequestAccounting accounting;
    private final StallReconciler reconciler;
    private final Listener listener;

    AttemptTracker(
            MonotonicClock clock,
            Scheduler scheduler,
            PolicySettings settings,
            UpstreamTransport transport,
            EndpointDirectory endpoints,
            RequestAccounting accounting,
            StallReconciler reconciler,
            Listener listener) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.settings = settings;
        this.transport = transport;
        this.endpoints = endpoints;
        this.accounting = accounting;
        this.reconciler = reconciler;
        this.listener = listener;
    }

    /**
     * Starts a request's next attempt. It ends as never sent where the request has ended, has no
     * time or attempt left, or the host is not known.
     *
     * @param timeoutNanos how long the response is waited for; 0 for the request's deadline
     */
    void start(PendingRequest request, long upstream, long timeoutNanos) {
        long now = clock.nanoTime();
        long until =
                timeoutNanos == 0
                        ? request.deadlineNanos()
                        : Math.min(request.deadlineNanos(), now + timeoutNanos);
        long repeatableUntil = repeatableUntilNanos(request);
        SendDeadlines deadlines =
                new SendDeadlines(Math.min(until, repeatableUntil), repeatableUntil, until);
        int number = request.attempts().size();
        Attempt attempt = new Attempt(request, number, upstream, now, deadlines);
        accounting.attemptStarted(attempt);
        Endpoint endpoint = endpoints.find(upstream);
        if (!request.isOpen()
                || until <= now
                || endpoint == null
                || number >= settings.capabilities().maxAttempts()) {
            endLater(attempt, Outcome.NEVER_SENT);
            return;
        }
        ClientRequest clientRequest = request.clientRequest();
        accounting.metrics().onAttemptSent(clientRequest.requestClass(), number > 0);
        attempt.handedToTransport(
                transport.send(
                        endpoint,
                        clientRequest.message(),
                        deadlines,
                        new TransportListener(attempt)));
        scheduleTimeout(attempt);
    }

    /**
     * Until when a further attempt of a request with an idempotency key may reach an upstream: for
     * as long as upstreams drop repeats of its first attempt that may have executed. The policy
     * holds to it when it decides, this when the bytes go.
     */
    private long repeatableUntilNanos(PendingRequest request) {
        RequestClass kind = settings.classes().get(request.clientRequest().requestClass());
        if (kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            for (Attempt attempt : request.attempts()) {
                if (attempt.mayHaveExecuted()) {
                    return attempt.sentAtNanos() + kind.idempotencyKeyTtlNanos();
                }
            }
        }
        return Long.MAX_VALUE;
    }

    private void scheduleTimeout(Attempt attempt) {
        SendDeadlines deadlines = attempt.deadlines();
        long next =
                attempt.isFullyWritten()
                        ? deadlines.responseByNanos()
                        : Math.min(deadlines.responseByNanos(), deadlines.lastByteByNanos());
        attempt.setTimeout(scheduler.scheduleAt(next, () -> timeOut(attempt)));
    }

    /**
     * An attempt whose time is up before it was written whole says nothing of its host, and ends as
     * never sent: as a failed connect it would get a healthy host ejected.
     */
    private void timeOut(Attempt attempt) {
        reconciler.reconcile();
        if (attempt.hasEnded()) {
            return;
        }
        boolean fullyWritten = attempt.isFullyWritten();
        if (fullyWritten && clock.nanoTime() < attempt.deadlines().responseByNanos()) {
            scheduleTimeout(attempt);
            return;
        }
        attempt.cancelTransport();
        end(attempt, fullyWritten ? Outcome.TIMEOUT : Outcome.NEVER_SENT, null);
    }

    /** Cancels an attempt, if it has not ended. */
    void cancel(Attempt attempt) {
        if (attempt.isCancellable()) {
            attempt.cancelTransport();
            endLater(attempt, Outcome.CANCELLED);
        }
    }

    /**
     * Cancels a request's attempts of which nothing has been written, whether or not the policy may
     * cancel. Else an attempt that waits for its connection would be sent when that is up, long
     * after its client has left. It ends as never sent, and holds no capacity of its host.
     */
    void cancelUnwritten(PendingRequest request) {
        for (Attempt attempt : request.attempts()) {
            if (attempt.isUnwritten()) {
                attempt.cancelTransport();
                endLater(attempt, Outcome.NEVER_SENT);
            }
        }
    }

    /**
     * Cancels all attempts that wait for a connection to a host that is not ready any more: it
     * would get new work for as long as a connect takes. Nothing of them has been written, so they
     * have not been executed.
     */
    void cancelUnwrittenToHostsNotReady() {
        List<Attempt> cancelled = new ArrayList<>();
        for (PendingRequest request : accounting.trackedRequests()) {
            for (Attempt attempt : request.attempts()) {
                if (attempt.isUnwritten() && !endpoints.isReady(attempt.upstream())) {
                    cancelled.add(attempt);
                }
            }
        }
        for (Attempt attempt : cancelled) {
            attempt.cancelTransport();
            end(attempt, Outcome.NEVER_SENT, null);
        }
    }

    /** Ends an attempt as soon as the current event is over, if it has not ended by then. */
    void endLater(Attempt attempt, Outcome outcome) {
        scheduler.execute(() -> end(attempt, outcome, null));
    }

    private void end(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        if (!attempt.hasEnded()) {
            attempt.end(outcome);
            listener.onAttemptEnded(attempt, outcome, response);
        }
    }

    /**
     * Passes the transport's events on. Each is reconciled first: behind it may lie, unread, the
     * end of the client or a drain of the host.
     */
    private final class TransportListener implements UpstreamTransport.AttemptListener {
        private final Attempt attempt;

        TransportListener(Attempt attempt) {
            this.attempt = attempt;
        }

        /** What is reconciled here may cancel the attempt before anything is written. */
        @Override
        public void onConnected() {
            reconciler.reconcile();
        }

        @Override
        public boolean onResponseStarted(StreamedResponse response) {
            reconciler.reconcile();
            return listener.onResponseStarted(attempt, response);
        }

        @Override
        public void onRequestStreamingStarted() {
            reconciler.reconcile();
            listener.onRequestStreamingStarted(attempt);
        }

        @Override
        public void onRequestFullyWritten() {
            reconciler.reconcile();
            listener.onRequestFullyWritten(attempt);
        }

        @Override
        public void onAttemptEnded(Outcome outcome, UpstreamResponse response) {
            reconciler.reconcile();
            end(attempt, outcome, response);
        }
    }
}
