package appleridge.request;

import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Hosts the load-balancing policy: notifies it of what happens, carries out what it orders, and
 * owes each request one final response and the policy one outcome for each attempt. It forwards
 * each concern to its own class:
 *
 * <ul>
 *   <li>{@link StallReconciler}: catches up with discovery and clients before each event
 *   <li>{@link DeferredRequests}: holds requests back until discovery has caught up
 *   <li>{@link EndpointDirectory}: which hosts there are
 *   <li>{@link AttemptTracker}: sends, times out and cancels attempts
 *   <li>{@link RequestDeadlines}: expires requests
 *   <li>{@link RequestAccounting}: what is open, and how requests ended
 *   <li>{@link RequestCompletion}: gives requests their final response
 *   <li>{@link PolicyInvoker}: enters the policy
 *   <li>{@link PolicyActionExecutor}: carries out what the policy orders
 * </ul>
 *
 * <p>Event loop only. Times are nanoseconds on the {@link MonotonicClock}.
 */
public final class RequestCoordinator {
    private static final float[] NO_LOAD = {};

    private final MonotonicClock clock;
    private final PolicySettings settings;
    private final RequestLog requestLog;
    private final RequestAccounting accounting;
    private final DeferredRequests deferred;
    private final EndpointDirectory endpoints;
    private final StallReconciler reconciler;
    private final RequestCompletion completion;
    private final RequestDeadlines deadlines;
    private final AttemptTracker attempts;
    private final PolicyInvoker policyInvoker;
    private final PolicyActionExecutor actions;

    /** Null before {@link #start}. */
    private EndpointSubscription subscription;

    /**
     * Makes the policy that it hosts.
     *
     * @param maxOpenRequests requests that may be open at once
     * @param policy given the actions, makes the policy
     */
    public RequestCoordinator(
            MonotonicClock clock,
            Scheduler scheduler,
            PolicySettings settings,
            int maxOpenRequests,
            UpstreamTransport transport,
            EventLog log,
            Function<PolicyActions, LoadBalancingPolicy> policy) {
        this.clock = clock;
        this.settings = settings;
        this.requestLog = new RequestLog(clock, log);
        this.accounting = new RequestAccounting(maxOpenRequests, requestLog);
        this.deferred = new DeferredRequests(clock, scheduler, requestLog);
        this.endpoints = new EndpointDirectory(transport);
        this.reconciler =
                new StallReconciler(
                        clock, settings.safetyLimits().drainGraceNanos(), deferred, accounting);
        this.completion = new RequestCompletion(accounting, reconciler, log);
        this.deadlines = new RequestDeadlines(clock, scheduler, settings, accounting, this::expire);
        this.attempts =
                new AttemptTracker(
                        clock,
                        scheduler,
                        settings,
                        transport,
                        endpoints,
                        accounting,
                        reconciler,
                        new AttemptEvents());
        this.policyInvoker = new PolicyInvoker(scheduler, log);
        this.actions = newActions(scheduler, log);
        policyInvoker.host(policy.apply(actions));
    }

    private PolicyActionExecutor newActions(Scheduler scheduler, EventLog log) {
        return new PolicyActionExecutor(
                clock,
                scheduler,
                settings,
                log,
                accounting,
                completion,
                endpoints,
                attempts,
                reconciler,
                policyInvoker);
    }

    /**
     * Begins with the endpoint list as last known. Requests are deferred until the source has
     * caught up: what is known from before the start may be long out of date.
     */
    public void start(
            EndpointSubscription source,
            List<UpstreamHost> cached,
            Map<Long, InetSocketAddress> addresses) {
        subscription = source;
        reconciler.start(source);
        actions.start(source);
        if (!source.isCaughtUp()) {
            deferred.begin();
        }
        policyInvoker.notify(policy -> policy.start(clock.nanoTime()));
        onEndpointUpdate(UpdateKind.CACHED_SNAPSHOT, cached, addresses);
    }

    /**
     * A discovery update; see {@link EndpointDirectory#apply}. The policy is notified before the
     * state is reconciled: an update that is read by then is newer than this one, and must reach it
     * behind this one.
     */
    public void onEndpointUpdate(
            UpdateKind kind, List<UpstreamHost> hosts, Map<Long, InetSocketAddress> addresses) {
        endpoints.apply(kind, hosts, addresses);
        policyInvoker.notify(policy -> policy.onEndpointUpdate(clock.nanoTime(), kind, hosts));
        attempts.cancelUnwrittenToHostsNotReady();
        reconciler.reconcile();
        if (kind != UpdateKind.FAILURE && subscription.isCaughtUp()) {
            deferred.resume();
        }
    }

    /** Whether some host is ready as far as is known. */
    public boolean hasReadyHost() {
        return readyHostCount() > 0;
    }

    /** How many hosts are ready as far as is known. */
    public int readyHostCount() {
        return endpoints.readyHostCount();
    }

    /** The longest timeout of any request class. */
    public long longestDeadlineNanos() {
        return deadlines.longestTimeoutNanos();
    }

    /**
     * Sets the shutdown deadline: what is open, or is accepted from now on, has its response by
     * then, however long its client would wait. What is being streamed by then goes on.
     */
    public void setShutdownDeadline(long atNanos) {
        deadlines.setShutdownDeadline(atNanos);
    }

    /** From now on counts there what becomes of requests. */
    public void setMetrics(RequestMetrics target) {
        accounting.useMetrics(target);
    }

    /** Where it is counted; never null. */
    public RequestMetrics metrics() {
        return accounting.metrics();
    }

    /** Events from outside that have been handled since the start. */
    public long eventCount() {
        return reconciler.eventCount();
    }

    /** Times since the start that the clients of all open requests were read after a stall. */
    public long clientCheckCount() {
        return reconciler.clientCheckCount();
    }

    /** What is in flight. */
    public InFlightCounts inFlightCounts() {
        return accounting.inFlightCounts();
    }

    /**
     * To be called by a periodic timer, several times within the shortest stall: all that was there
     * has been read by then.
     */
    public void tick() {
        reconciler.tick();
    }

    /**
     * Whether what is read from clients now may have waited unread, and its client have left since.
     */
    public boolean mayHaveWaitedUnread() {
        return reconciler.mayHaveWaitedUnread();
    }

    /** Since when what is read from clients now may have been there. */
    public long earliestArrivalNanos() {
        return reconciler.earliestArrivalNanos();
    }

    /**
     * Accepts a request, or rejects it at once where too many are open or its id is in use.
     *
     * @return to be run when its client disconnects
     */
    public Runnable accept(ClientRequest request, ResponseSink client) {
        reconciler.reconcile();
        accounting.metrics().onRequestAccepted(request.requestClass());
        if (accounting.isFull()) {
            // Nothing was sent for it, so that a retry is harmless.
            accounting.requestRefused(
                    request, EndReason.OPEN_REQUEST_LIMIT, reconciler.lastEventNanos());
            client.onRejected(0);
            return () -> {};
        }
        // Two requests under one id are one to an upstream: a response could go to either client.
        if (!accounting.reserveId(request.id())) {
            accounting.requestRefused(request, EndReason.ID_IN_USE, reconciler.lastEventNanos());
            client.onFailed(ResponseSink.FailureCause.ID_IN_USE);
            return () -> {};
        }
        PendingRequest pending = accounting.open(request, client, deadlines.deadlineNanos(request));
        deadlines.scheduleBackstop(pending);
        if (deferred.isDeferring()) {
            deferred.add(() -> submit(pending));
        } else {
            submit(pending);
        }
        return () -> clientDisconnected(pending);
    }

    private void submit(PendingRequest pending) {
        policyInvoker.notify(
                policy -> {
                    if (pending.isOpen()) {
                        long now = clock.nanoTime();
                        policy.onRequest(now, info(pending, now));
                    }
                });
    }

    private static RequestInfo info(PendingRequest pending, long now) {
        ClientRequest request = pending.clientRequest();
        return new RequestInfo(
                pending.id(),
                request.requestClass(),
                request.tenant(),
                request.key(),
                Math.max(0, pending.deadlineNanos() - now),
                request.costHintNanos(),
                request.clientRetry(),
                false);
    }

    /** The request's time is up, and the policy has not ended it. */
    private void expire(PendingRequest request) {
        reconciler.reconcile();
        if (request.isOpen()) {
            completion.fail(request, EndReason.DEADLINE_EXCEEDED);
        }
        releaseAttempts(request);
        policyInvoker.notify(policy -> policy.onClientDisconnected(clock.nanoTime(), request.id()));
    }

    private void clientDisconnected(PendingRequest request) {
        reconciler.reconcile();
        if (request.isOpen()) {
            completion.clientDisconnected(request);
            releaseAttempts(request);
            policyInvoker.notify(
                    policy -> policy.onClientDisconnected(clock.nanoTime(), request.id()));
        }
    }

    /** The policy does not cancel attempts of what is being streamed, so that is done here. */
    private void releaseAttempts(PendingRequest request) {
        attempts.cancelUnwritten(request);
        if (request.isStreaming()) {
            request.attempts().forEach(attempts::cancel);
        }
    }

    /** From now on no timer reaches the policy any more. */
    public void close() {
        actions.close();
    }

    /** What happens to attempts, turned into what becomes of their requests. */
    private final class AttemptEvents implements AttemptTracker.Listener {
        /**
         * From here on the client has a part of this response: no other response and no further
         * attempt may follow, whatever happens to the rest.
         */
        @Override
        public boolean onResponseStarted(Attempt attempt, StreamedResponse response) {
            PendingRequest request = attempt.request();
            if (attempt.hasEnded() || !request.isOpen() || request.isResponseStreaming()) {
                return false;
            }
            request.responseStreamingStarted(attempt);
            request.attempts().stream().filter(other -> other != attempt).forEach(attempts::cancel);
            completion.stream(request, response);
            notifyStreaming(attempt, clock.nanoTime() - attempt.sentAtNanos());
            return true;
        }

        /** What has been streamed of a request can't be sent to another host. */
        @Override
        public void onRequestStreamingStarted(Attempt attempt) {
            PendingRequest request = attempt.request();
            if (request.isOpen()) {
                request.requestStreamingStarted(attempt);
                notifyStreaming(attempt, -1);
            }
        }

        /** Only from now on does its client wait. */
        @Override
        public void onRequestFullyWritten(Attempt attempt) {
            PendingRequest request = attempt.request();
            if (request.isOpen() && !request.isResponseStreaming()) {
                deadlines.scheduleAfterStreaming(request);
            }
        }

        private void notifyStreaming(Attempt attempt, long elapsedNanos) {
            policyInvoker.notify(
                    policy ->
                            policy.onResponseStarted(
                                    clock.nanoTime(),
                                    attempt.request().id(),
                                    attempt.number(),
                                    attempt.upstream(),
                                    elapsedNanos));
        }

        /** The policy is notified once of each attempt, also when its request has ended. */
        @Override
        public void onAttemptEnded(Attempt attempt, Outcome outcome, UpstreamResponse response) {
            requestLog.ended(attempt, outcome);
            PendingRequest request = attempt.request();
            request.recordOutcome(outcome);
            if (request.isOpen()) {
                completion.attemptEnded(attempt, outcome, response);
            }
            float[] load =
                    response == null ? NO_LOAD : response.loadReport(settings.loadReportFields());
            policyInvoker.notify(policy -> notifyEnded(policy, attempt, outcome, load));
            accounting.attemptEnded(request);
        }

        private void notifyEnded(
                LoadBalancingPolicy policy, Attempt attempt, Outcome outcome, float[] load) {
            long now = clock.nanoTime();
            policy.onAttemptEnded(
                    now,
                    attempt.request().id(),
                    attempt.number(),
                    attempt.upstream(),
                    outcome,
                    now - attempt.sentAtNanos(),
                    !attempt.request().isOpen(),
                    load);
        }
    }
}
