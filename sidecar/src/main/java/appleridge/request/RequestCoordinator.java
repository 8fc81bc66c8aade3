package appleridge.request;

import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.nio.LongBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Connects the load-balancing policy with clients, upstream hosts and discovery. It notifies the
 * policy of events, executes the policy's actions, gives each request exactly one final response
 * and reports exactly one outcome of each attempt to the policy. It delegates to:
 *
 * <ul>
 *   <li>{@link StallReconciler}: reads pending discovery updates and client input before each event
 *   <li>{@link EndpointListGate}: holds back what is sent until the endpoint list may be used
 *   <li>{@link EndpointDirectory}: knows the upstream hosts
 *   <li>{@link ClientPresenceGate}: holds back what is sent until its client is known to be there
 *   <li>{@link AttemptTracker}: sends, times out and cancels attempts
 *   <li>{@link RequestDeadlines}: expires requests
 *   <li>{@link RequestAccounting}: tracks open requests and counts how requests end
 *   <li>{@link RequestCompletion}: gives requests their final response
 *   <li>{@link RequestTerminator}: ends requests for reasons outside the policy
 *   <li>{@link PolicyInvoker}: passes events to the policy
 *   <li>{@link PolicyActionExecutor}: executes the policy's actions
 * </ul>
 *
 * <p>Event loop only. Times are nanoseconds on the {@link MonotonicClock}.
 */
public final class RequestCoordinator {
    private final MonotonicClock clock;
    private final PolicySettings settings;
    private final RequestLog requestLog;
    private final RequestAccounting accounting;
    private final EndpointListGate endpointList;
    private final EndpointDirectory endpoints;
    private final StallReconciler reconciler;
    private final RequestCompletion completion;
    private final RequestTerminator terminator;
    private final RequestDeadlines deadlines;
    private final AttemptTracker attempts;
    private final ClientPresenceGate presenceGate;
    private final PolicyInvoker policyInvoker;
    private final PolicyActionExecutor actions;

    /** Null before {@link #start}. */
    private EndpointSubscription subscription;

    /**
     * Creates the coordinator and its policy.
     *
     * @param maxOpenRequests the limit of open requests
     * @param policy creates the policy with the actions that it may call
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
        this.accounting = new RequestAccounting(maxOpenRequests, settings, clock, requestLog);
        this.endpointList =
                new EndpointListGate(
                        clock,
                        scheduler,
                        settings.safetyLimits().drainGraceNanos(),
                        accounting,
                        requestLog);
        this.endpoints = new EndpointDirectory(transport);
        this.reconciler =
                new StallReconciler(
                        clock, settings.safetyLimits().drainGraceNanos(), endpointList, accounting);
        this.completion = new RequestCompletion(accounting, reconciler, log);
        this.policyInvoker = new PolicyInvoker(scheduler, log);
        this.terminator =
                new RequestTerminator(clock, settings, reconciler, completion, policyInvoker);
        this.deadlines =
                new RequestDeadlines(clock, scheduler, settings, accounting, terminator::expire);
        this.presenceGate =
                new ClientPresenceGate(
                        scheduler, settings, requestLog, terminator::rejectUnknownClient);
        this.attempts = newAttempts(scheduler, transport);
        terminator.attach(attempts);
        this.actions = newActions(scheduler, log);
        policyInvoker.setPolicy(policy.apply(actions));
    }

    private AttemptTracker newAttempts(Scheduler scheduler, UpstreamTransport transport) {
        AttemptEventHandler attemptEvents =
                new AttemptEventHandler(
                        clock,
                        settings,
                        requestLog,
                        accounting,
                        completion,
                        deadlines,
                        policyInvoker);
        AttemptTracker tracker =
                new AttemptTracker(
                        clock,
                        scheduler,
                        settings,
                        transport,
                        endpoints,
                        accounting,
                        reconciler,
                        endpointList,
                        presenceGate,
                        attemptEvents);
        attemptEvents.attach(tracker);
        return tracker;
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
     * Starts the policy with the last known endpoint list. Requests are deferred until the source
     * has caught up, because a list from before the start may be long out of date.
     *
     * @param source the source of further updates
     * @param cached the hosts of the last known list
     * @param addresses where these hosts listen, by host id
     */
    public void start(
            EndpointSubscription source,
            List<UpstreamHost> cached,
            Map<Long, InetSocketAddress> addresses) {
        subscription = source;
        reconciler.start(source);
        actions.start(source);
        endpointList.start(source, terminator::giveUpWithoutEndpointList);
        policyInvoker.notify(policy -> policy.start(clock.nanoTime()));
        onEndpointUpdate(UpdateKind.CACHED_SNAPSHOT, cached, addresses);
    }

    /**
     * Handles a discovery update; see {@link EndpointDirectory#apply}. The policy is notified
     * before {@link StallReconciler#reconcile}: an update that this reads is newer, and must reach
     * the policy after this one.
     */
    public void onEndpointUpdate(
            UpdateKind kind, List<UpstreamHost> hosts, Map<Long, InetSocketAddress> addresses) {
        endpoints.apply(kind, hosts, addresses);
        policyInvoker.notify(policy -> policy.onEndpointUpdate(clock.nanoTime(), kind, hosts));
        attempts.cancelUnwrittenToHostsNotReady();
        reconciler.reconcile();
        endpointList.onUpdate(kind == UpdateKind.FAILURE);
    }

    /** Whether requests can be served, or at least get the reason why not. */
    public boolean isReady() {
        return endpointList.isReady(readyHostCount() > 0);
    }

    /** For how long the endpoint list has not been current, in nanoseconds; 0 if it is. */
    public long endpointListStaleNanos() {
        return endpointList.staleForNanos();
    }

    /** The number of hosts that discovery last reported as ready. */
    public int readyHostCount() {
        return endpoints.readyHostCount();
    }

    /** The longest timeout of any request class. */
    public long longestDeadlineNanos() {
        return deadlines.longestTimeoutNanos();
    }

    /**
     * Sets the shutdown deadline: requests that are open, or are accepted from now on, get their
     * response by then, however long their client's timeout is. A request or response that is being
     * streamed at that time continues.
     */
    public void setShutdownDeadline(long atNanos) {
        deadlines.setShutdownDeadline(atNanos);
    }

    /** Sets where requests and attempts are counted from now on. */
    public void setMetrics(RequestMetrics metrics) {
        accounting.setMetrics(metrics);
    }

    /** Where requests and attempts are counted; never null. */
    public RequestMetrics metrics() {
        return accounting.metrics();
    }

    /** The number of values of a table for {@link #shareExecutedIds}. */
    public static final int ID_TABLE_ENTRIES = ExecutedIds.TABLE_ENTRIES;

    /**
     * Shares with other processes of this sidecar which ids may have been executed.
     *
     * @param own the empty table that this process writes, of {@link #ID_TABLE_ENTRIES} values
     * @param others the tables that other processes write
     */
    public void shareExecutedIds(LongBuffer own, List<LongBuffer> others) {
        accounting.shareExecutedIds(own, others);
    }

    /** The number of external events handled since the start. */
    public long eventCount() {
        return reconciler.eventCount();
    }

    /**
     * How often since the start the pending input of all clients with open requests was read after
     * a stall.
     */
    public long clientCheckCount() {
        return reconciler.clientCheckCount();
    }

    /** The counts of open requests and attempts. */
    public InFlightCounts inFlightCounts() {
        return accounting.inFlightCounts();
    }

    /**
     * Reconciles, and records that all input that arrived before has been read. To be called by a
     * periodic timer with a period several times shorter than the shortest stall.
     */
    public void tick() {
        reconciler.tick();
        requestLog.flushIfDue(reconciler.lastEventNanos());
    }

    /** Logs that a request is dropped before {@link #accept}. */
    public void onRequestDropped(String requestId) {
        requestLog.dropped(requestId);
    }

    /** Writes all decisions that are recorded and not logged yet. */
    public void flushLog() {
        requestLog.flush();
    }

    /**
     * Whether input that is read from a client now may have waited unread, so that the client may
     * have disconnected since.
     */
    public boolean mayHaveWaitedUnread() {
        return reconciler.mayHaveWaitedUnread();
    }

    /** The earliest time at which input that is read from clients now may have arrived. */
    public long earliestArrivalNanos() {
        return reconciler.earliestArrivalNanos();
    }

    /**
     * Accepts a request, or ends it at once if too many requests are open or its id is in use.
     *
     * @return the request, for its client's connection
     */
    public AcceptedRequest accept(ClientRequest request, ResponseSink client) {
        reconciler.reconcile();
        accounting.metrics().onRequestAccepted(request.requestClass());
        if (accounting.isFull()) {
            // Nothing has been sent for the request, so a retry is harmless.
            accounting.requestEndedOnArrival(
                    request, EndReason.OPEN_REQUEST_LIMIT, reconciler.lastEventNanos());
            client.onRejected(0);
            return AcceptedRequest.ENDED;
        }
        // An upstream host takes two requests with one id for the same request, so that a response
        // could go to either client.
        Optional<EndReason> idRefused = accounting.reserveId(request);
        if (idRefused.isPresent()) {
            accounting.requestEndedOnArrival(request, idRefused.get(), reconciler.lastEventNanos());
            client.onFailed(ResponseSink.FailureCause.ID_IN_USE);
            return AcceptedRequest.ENDED;
        }
        PendingRequest pending = accounting.open(request, client, deadlines.deadlineNanos(request));
        deadlines.scheduleBackstop(pending);
        Runnable submission = () -> submit(pending);
        endpointList.submitWhenUsable(
                pending, () -> presenceGate.submitWhenPresent(pending, submission));
        return handle(pending);
    }

    private AcceptedRequest handle(PendingRequest request) {
        return new AcceptedRequest() {
            @Override
            public void onClientDisconnected() {
                terminator.clientDisconnected(request);
            }

            @Override
            public void giveUp() {
                terminator.giveUp(request);
            }
        };
    }

    /** Rejects a request that is not accepted, because too many bytes are buffered. */
    public void rejectForBufferLimit(ClientRequest request, ResponseSink client) {
        reconciler.reconcile();
        accounting.metrics().onRequestAccepted(request.requestClass());
        accounting.requestEndedOnArrival(
                request, EndReason.BUFFER_LIMIT, reconciler.lastEventNanos());
        client.onRejected(0);
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

    /** Stops the policy: its timers do nothing from now on. */
    public void close() {
        actions.close();
    }
}
