package appleridge.request;

import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts, times out and cancels attempts. Each started attempt ends exactly once; its end is
 * reported to the {@link Listener}, never from within the call that started or cancelled it. Event
 * loop only.
 */
final class AttemptTracker {
    /** Receives the events of attempts, after {@link StallReconciler#reconcile}. */
    interface Listener {
        /**
         * The head of a successful response that is too long to be buffered has arrived.
         *
         * @return whether to stream the response; if false, the attempt is aborted
         */
        boolean onResponseStarted(Attempt attempt, StreamedResponse response);

        /** The first part of a request that is too long to be buffered is being sent. */
        void onRequestStreamingStarted(Attempt attempt);

        /** The attempt has ended; {@code response} is null if none was read. */
        void onAttemptEnded(Attempt attempt, Outcome outcome, UpstreamResponse response);
    }

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PolicySettings settings;
    private final UpstreamTransport transport;
    private final EndpointDirectory endpoints;
    private final RequestAccounting accounting;
    private final StallReconciler reconciler;
    private final EndpointListGate endpointList;
    private final ClientPresenceGate presenceGate;
    private final Listener listener;

    AttemptTracker(
            MonotonicClock clock,
            Scheduler scheduler,
            PolicySettings settings,
            UpstreamTransport transport,
            EndpointDirectory endpoints,
            RequestAccounting accounting,
            StallReconciler reconciler,
            EndpointListGate endpointList,
            ClientPresenceGate presenceGate,
            Listener listener) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.settings = settings;
        this.transport = transport;
        this.endpoints = endpoints;
        this.accounting = accounting;
        this.reconciler = reconciler;
        this.endpointList = endpointList;
        this.presenceGate = presenceGate;
        this.listener = listener;
    }

    /**
     * Starts a request's next attempt. The attempt ends as {@link Outcome#NEVER_SENT} if the
     * request has ended, its deadline has passed, it has no attempt left or the host is unknown.
     *
     * @param upstream the id of the upstream host
     * @param timeoutNanos the timeout of the attempt; 0 if only the request's deadline limits it
     */
    void start(PendingRequest request, long upstream, long timeoutNanos) {
        long now = clock.nanoTime();
        long responseByNanos =
                timeoutNanos == 0
                        ? request.deadlineNanos()
                        : Math.min(request.deadlineNanos(), now + timeoutNanos);
        long retryByNanos = retryByNanos(request);
        SendDeadlines deadlines =
                new SendDeadlines(
                        Math.min(responseByNanos, retryByNanos), retryByNanos, responseByNanos);
        int number = request.attempts().size();
        Attempt attempt = new Attempt(request, number, upstream, now, deadlines);
        accounting.attemptStarted(attempt);
        Endpoint endpoint = endpoints.find(upstream);
        if (!request.isOpen()
                || responseByNanos <= now
                || endpoint == null
                || number >= settings.capabilities().maxAttempts()) {
            endLater(attempt, Outcome.NEVER_SENT);
            return;
        }
        ClientRequest clientRequest = request.clientRequest();
        accounting.metrics().onAttemptSent(clientRequest.requestClass(), number > 0);
        attempt.setHandle(
                transport.send(
                        endpoint,
                        clientRequest.message(),
                        deadlines,
                        new TransportListener(attempt)));
        scheduleTimeout(attempt);
    }

    /**
     * Returns the time until which a further attempt of a request with an idempotency key may reach
     * a host: hosts drop duplicates for the key's time to live, counted from the first attempt that
     * may have been executed. The policy checks this limit when it orders an attempt; the transport
     * checks it again when it writes the bytes.
     */
    private long retryByNanos(PendingRequest request) {
        RequestClass requestClass = settings.classes().get(request.clientRequest().requestClass());
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            for (Attempt attempt : request.attempts()) {
                if (attempt.mayHaveExecuted()) {
                    return attempt.sentAtNanos() + requestClass.idempotencyKeyTtlNanos();
                }
            }
        }
        return Long.MAX_VALUE;
    }

    private void scheduleTimeout(Attempt attempt) {
        SendDeadlines deadlines = attempt.deadlines();
        long nextDeadline =
                attempt.isFullyWritten()
                        ? deadlines.responseByNanos()
                        : Math.min(deadlines.responseByNanos(), deadlines.lastByteByNanos());
        attempt.setTimeout(scheduler.scheduleAt(nextDeadline, () -> timeOut(attempt)));
    }

    /**
     * Times an attempt out. An attempt that was not fully written by then proves nothing about its
     * host, so it ends as {@link Outcome#NEVER_SENT}: reported as a failed connect, it would get a
     * healthy host ejected. A long response that is held for a retry is streamed instead: normally
     * that happens before, but a stall of the event loop lets both times pass at once.
     */
    private void timeOut(Attempt attempt) {
        reconciler.reconcile();
        if (attempt.hasEnded() || attempt.streamHeldResponse()) {
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

    /** Cancels an attempt that was handed to the transport, unless it has ended. */
    void cancel(Attempt attempt) {
        if (attempt.isCancellable()) {
            attempt.cancelTransport();
            endLater(attempt, Outcome.CANCELLED);
        }
    }

    /**
     * Cancels a request's attempts of which nothing has been written, whether or not the policy has
     * the capability to cancel. An attempt that waits for its connection would otherwise be sent as
     * soon as the connection is up, long after its client has disconnected. It ends as {@link
     * Outcome#NEVER_SENT} and uses no capacity of its host.
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
     * Cancels all attempts that wait for a connection to a host that is no longer ready: they would
     * bring it new work for as long as connecting takes. Nothing of them has been written, so they
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

    /** Ends an attempt after the current task of the event loop, unless it has ended by then. */
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
     * Forwards the transport's events, each after {@link StallReconciler#reconcile}: a disconnect
     * of the client or a drain of the host may have arrived and not been read yet.
     */
    private final class TransportListener implements UpstreamTransport.AttemptListener {
        private final Attempt attempt;

        TransportListener(Attempt attempt) {
            this.attempt = attempt;
        }

        /** Reconciling may cancel the attempt before anything is written. */
        @Override
        public void onConnected() {
            reconciler.reconcile();
        }

        @Override
        public boolean mayBegin(Runnable resume) {
            if (!endpointList.mayBegin(attempt, resume)) {
                return false;
            }
            boolean begins = presenceGate.mayBegin(attempt, resume);
            if (!begins && !attempt.request().clientWait().isActive()) {
                endLater(attempt, Outcome.NEVER_SENT);
            }
            return begins;
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
        public void onAttemptEnded(Outcome outcome, UpstreamResponse response) {
            reconciler.reconcile();
            end(attempt, outcome, response);
        }
    }
}
