package appleridge.request;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Hosts the module: tells it what happens, carries out what it orders, and owes each request one
 * final answer and the module one outcome for each send. Everything runs on one thread, and time
 * comes in from outside.
 */
public final class RequestCoordinator implements PolicyActions {
    /**
     * For so long at most requests wait, after the thread stood still for longer than drains allow,
     * for word of what the list has come to meanwhile.
     */
    private static final long LIST_AWAITED = TimeUnit.MILLISECONDS.toNanos(500);

    private static final float[] NO_LOAD = {};

    private final MonotonicClock time;
    private final Scheduler timers;
    private final PolicySettings settings;
    private final int maxOpen;
    private final EventLoopStallGuard guard;
    private final UpstreamTransport upstreams;
    private final EventLog log;
    private final RequestLog requestLog;
    private final LoadBalancingPolicy balancer;
    private final Map<Long, PendingRequest> calls = new HashMap<>();

    /** The clients' own ids of the requests that are open. */
    private final Set<String> names = new HashSet<>();

    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Set<Long> readyHostCount = new HashSet<>();
    private EndpointSubscription lists;
    private long lastId;
    private int open;
    private int out;
    private boolean inModule;
    private boolean closed;
    private boolean catchingUp;

    /**
     * Requests that the module has not heard of, for the list may be too old; null while it is not.
     */
    private List<Runnable> unheard;

    private Scheduler.ScheduledTask listAwaited;
    private long endsAt = Long.MAX_VALUE;
    private RequestMetrics metrics = RequestMetrics.NONE;

    /** Events from outside that have been handled. */
    private long eventCount;

    /** Times that the clients of all open requests were looked at after a stall. */
    private long clientCheckCount;

    /**
     * Makes the module that it hosts.
     *
     * @param maxOpen requests that may be open at once
     * @param module given the actions, makes the decision module
     */
    public RequestCoordinator(
            MonotonicClock time,
            Scheduler timers,
            PolicySettings settings,
            int maxOpen,
            UpstreamTransport upstreams,
            EventLog log,
            Function<PolicyActions, LoadBalancingPolicy> module) {
        this.time = time;
        this.timers = timers;
        this.settings = settings;
        this.maxOpen = maxOpen;
        this.guard =
                new EventLoopStallGuard(time.nanoTime(), settings.safetyLimits().drainGraceNanos());
        this.upstreams = upstreams;
        this.log = log;
        this.requestLog = new RequestLog(time, log);
        this.balancer = module.apply(this);
    }

    /** Begins with the list as last known. */
    public void start(
            EndpointSubscription source,
            List<UpstreamHost> cached,
            Map<Long, InetSocketAddress> listed) {
        lists = source;
        if (!source.isCaughtUp()) {
            // Danger: what is known from before the start may be long out of date, and requests
            // come at once.
            awaitList();
        }
        tell(() -> balancer.start(time.nanoTime()));
        onEndpointUpdate(UpdateKind.CACHED_SNAPSHOT, cached, listed);
    }

    /** News of the list, and where its upstreams listen. */
    public void onEndpointUpdate(
            UpdateKind kind, List<UpstreamHost> entries, Map<Long, InetSocketAddress> listed) {
        Set<Long> noLonger = new HashSet<>();
        if (kind == UpdateKind.SNAPSHOT || kind == UpdateKind.CACHED_SNAPSHOT) {
            noLonger.addAll(endpoints.keySet());
            noLonger.removeAll(listed.keySet());
        }
        listed.forEach(
                (id, address) -> {
                    Endpoint endpoint = new Endpoint(id, address);
                    Endpoint before = endpoints.put(id, endpoint);
                    if (before != null && !before.equals(endpoint)) {
                        upstreams.closeIdleConnections(before);
                    }
                });
        for (UpstreamHost entry : entries) {
            if (entry.state() == HostState.READY) {
                readyHostCount.add(entry.id());
            } else {
                readyHostCount.remove(entry.id());
                closeIdleConnections(entry.id());
            }
            if (entry.state() == HostState.GONE) {
                noLonger.add(entry.id());
            }
        }
        // Danger: upstreams come and go as long as the sidecar runs; what is kept of them must not
        // pile up.
        for (long id : noLonger) {
            closeIdleConnections(id);
            readyHostCount.remove(id);
            endpoints.remove(id);
        }
        // Danger: what a tick takes in is newer than this, and would be told to the module ahead of
        // it.
        tell(() -> balancer.onEndpointUpdate(time.nanoTime(), kind, entries));
        callOffWhatHasNotBegun();
        reconcile();
        if (kind != UpdateKind.FAILURE && lists.isCaughtUp()) {
            hear();
        }
    }

    /**
     * Danger: an attempt that waits for its connection would reach an upstream that wants nothing
     * new, as late as connecting allows. None of it has been written, so it never ran.
     */
    private void callOffWhatHasNotBegun() {
        List<Attempt> late = new ArrayList<>();
        for (PendingRequest call : calls.values()) {
            for (Attempt attempt : call.attempts) {
                if (!attempt.done
                        && attempt.sending != null
                        && !attempt.sending.hasStartedWriting()
                        && !readyHostCount.contains(attempt.upstream)) {
                    late.add(attempt);
                }
            }
        }
        for (Attempt attempt : late) {
            attempt.sending.cancel();
            ended(attempt, Outcome.NEVER_SENT, null);
        }
    }

    /** Whether some upstream is ready as far as is known. */
    public boolean hasReadyHost() {
        return !readyHostCount.isEmpty();
    }

    /** How many upstreams are ready as far as is known. */
    public int readyHostCount() {
        return readyHostCount.size();
    }

    /** The longest that a client waits, in nanoseconds. */
    public long longestDeadlineNanos() {
        return settings.classes().stream()
                .mapToLong(RequestClass::deadlineNanos)
                .max()
                .orElseThrow();
    }

    /**
     * What is open, or is taken from now on, has its answer by then, however long its client would
     * wait.
     */
    public void endRequestsBy(long at) {
        endsAt = at;
        timers.scheduleAt(at, this::giveUpOpen);
    }

    /** Answers what is still open; what has begun to flow has to end by itself. */
    private void giveUpOpen() {
        for (PendingRequest call : List.copyOf(calls.values())) {
            if (!call.over && call.answering == null && !call.letGo) {
                giveUp(call);
            }
        }
    }

    /** From now on it is counted here what becomes of requests. */
    public void metrics(RequestMetrics counts) {
        metrics = counts;
    }

    /** Where it is counted. */
    public RequestMetrics metrics() {
        return metrics;
    }

    /** Events from outside that have been handled since the start. */
    public long eventCount() {
        return eventCount;
    }

    /** Times since the start that the clients of all open requests were looked at after a stall. */
    public long clientCheckCount() {
        return clientCheckCount;
    }

    /** What is open. */
    public InFlightCounts inFlightCounts() {
        return new InFlightCounts(open, out, calls.size(), names.size());
    }

    /**
     * To be called now and then, at least some times as often as a stall is long, and by a timer:
     * all that was there has been read by then.
     */
    public void tick() {
        reconcile();
        guard.allRead();
    }

    /**
     * Danger: after the loop stalled, what discovery told meanwhile waits unread behind requests
     * that have come too, and the time within which it must be heeded has run. All that comes from
     * outside begins with this, ahead of anything it changes here: the module may act on what is
     * read, and must find things as it knows them.
     */
    private void reconcile() {
        eventCount++;
        guard.observe(time.nanoTime());
        boolean stalled = guard.isStalled();
        if (stalled && guard.gap() > settings.safetyLimits().drainGraceNanos() && unheard == null) {
            requestLog.deferred(true, open, guard.gap());
            awaitList();
        }
        if (guard.mayHaveMissedClients() && lists != null && !catchingUp) {
            catchingUp = true;
            try {
                if (stalled) {
                    lists.readPendingUpdates();
                }
                lookAfterClients();
            } finally {
                catchingUp = false;
            }
        }
    }

    /**
     * Danger: while the thread was late clients have left, and what lets their requests go on, an
     * answer that makes room or a connection that comes up, may be read ahead of their end.
     */
    private void lookAfterClients() {
        clientCheckCount++;
        for (PendingRequest call : List.copyOf(calls.values())) {
            if (!call.over) {
                call.client.readPendingInput();
            }
        }
    }

    /**
     * Whether what is read from clients now may have waited unread, and its client have left since.
     */
    public boolean mayHaveWaitedUnread() {
        reconcile();
        return guard.mayHaveWaited();
    }

    /** Since when what is read from clients now may have been there. */
    public long earliestArrivalNanos() {
        reconcile();
        return guard.arrivedAt();
    }

    /** Takes a request over; what is returned is to be run when its client leaves. */
    public Runnable accept(ClientRequest request, ResponseSink client) {
        reconcile();
        metrics.onRequestAccepted(request.requestClass());
        if (open >= maxOpen) {
            // Nothing was sent for it, so that a repeat is harmless.
            metrics.onRequestEnded(request.requestClass(), RequestMetrics.RequestEnd.REJECTED);
            client.onRejected(0);
            return () -> {};
        }
        // Danger: two requests under one id are one to an upstream, and an answer could go to
        // either.
        if (!names.add(request.id())) {
            metrics.onRequestEnded(request.requestClass(), RequestMetrics.RequestEnd.FAILED);
            client.onFailed(ResponseSink.FailureCause.ID_IN_USE);
            return () -> {};
        }
        // Time for the answer to reach the client before it gives up.
        long margin = Math.min(settings.clockGranularityNanos(), request.timeoutNanos() / 4);
        PendingRequest call =
                new PendingRequest(
                        ++lastId,
                        request,
                        client,
                        Math.min(
                                endsAt,
                                request.arrivedAtNanos() + request.timeoutNanos() - margin));
        calls.put(call.id, call);
        open++;
        // Danger: an error in the module must not keep a client waiting for ever.
        call.backstop =
                timers.scheduleAt(
                        call.deadline + settings.safetyLimits().answerSlackNanos() / 2,
                        () -> giveUp(call));
        if (unheard == null) {
            hear(call);
        } else {
            unheard.add(() -> hear(call));
        }
        return () -> hangUp(call);
    }

    private void awaitList() {
        unheard = new ArrayList<>();
        listAwaited = timers.scheduleAt(time.nanoTime() + LIST_AWAITED, this::hear);
    }

    /** What has been kept from the module is told now. */
    private void hear() {
        if (unheard != null) {
            List<Runnable> late = unheard;
            unheard = null;
            requestLog.deferred(false, late.size(), 0);
            listAwaited.cancel();
            late.forEach(Runnable::run);
        }
    }

    private void hear(PendingRequest call) {
        tell(
                () -> {
                    if (!call.over) {
                        ClientRequest request = call.request;
                        long now = time.nanoTime();
                        balancer.onRequest(
                                now,
                                new RequestInfo(
                                        call.id,
                                        request.requestClass(),
                                        request.tenant(),
                                        request.key(),
                                        Math.max(0, call.deadline - now),
                                        request.costHintNanos(),
                                        request.clientRetry(),
                                        false));
                    }
                });
    }

    /** The module has not answered in time: nothing more is to be done for it there either. */
    private void giveUp(PendingRequest call) {
        reconcile();
        fail(call, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
        callOffWhatNobodyWaitsFor(call);
        callOffWhatTheModuleLeaves(call);
        tell(() -> balancer.onClientDisconnected(time.nanoTime(), call.id));
    }

    private void hangUp(PendingRequest call) {
        reconcile();
        if (!call.over) {
            end(call, RequestMetrics.RequestEnd.CLIENT_DISCONNECTED);
            callOffWhatNobodyWaitsFor(call);
            callOffWhatTheModuleLeaves(call);
            tell(() -> balancer.onClientDisconnected(time.nanoTime(), call.id));
        }
    }

    /**
     * Hands an event to the module. Danger: the module is no more prepared to be called from within
     * its own actions than to be left out when something fails; its errors are logged and leave the
     * thread running.
     */
    private void tell(Runnable event) {
        if (inModule) {
            timers.execute(() -> tell(event));
            return;
        }
        inModule = true;
        try {
            event.run();
        } catch (RuntimeException e) {
            log.failure("the decision module failed", e);
        } finally {
            inModule = false;
        }
    }

    @Override
    public void sendAttempt(long request, long upstream, long timeout) {
        PendingRequest call = calls.get(request);
        if (call == null) {
            log.failure("the module sends for a request that is not held: " + request, null);
            return;
        }
        long now = time.nanoTime();
        long until = timeout == 0 ? call.deadline : Math.min(call.deadline, now + timeout);
        long repeatableUntil = repeatableUntil(call);
        Attempt attempt =
                new Attempt(
                        call,
                        call.attempts.size(),
                        upstream,
                        now,
                        new SendDeadlines(
                                Math.min(until, repeatableUntil), repeatableUntil, until));
        call.attempts.add(attempt);
        out++;
        call.out++;
        Endpoint endpoint = endpoints.get(upstream);
        if (call.over
                || until <= now
                || endpoint == null
                || attempt.number >= settings.capabilities().maxAttempts()) {
            timers.execute(() -> ended(attempt, Outcome.NEVER_SENT, null));
            return;
        }
        metrics.onAttemptSent(call.request.requestClass(), attempt.number > 0);
        attempt.sending =
                upstreams.send(
                        endpoint,
                        call.request.message(),
                        attempt.window,
                        new UpstreamTransport.AttemptListener() {
                            /**
                             * Danger: the thread was late, and behind this connection waits the end
                             * of its client, or word that its upstream drains: it would be sent all
                             * the same.
                             */
                            @Override
                            public void onConnected() {
                                reconcile();
                            }

                            @Override
                            public boolean onResponseStarted(StreamedResponse answer) {
                                reconcile();
                                return begun(attempt, answer);
                            }

                            @Override
                            public void onRequestStreamingStarted() {
                                reconcile();
                                RequestCoordinator.this.letGo(attempt);
                            }

                            @Override
                            public void onRequestFullyWritten() {
                                reconcile();
                                timeRuns(attempt);
                            }

                            @Override
                            public void onAttemptEnded(Outcome outcome, UpstreamResponse reply) {
                                reconcile();
                                RequestCoordinator.this.ended(attempt, outcome, reply);
                            }
                        });
        watch(attempt);
    }

    /**
     * Until when a further attempt of a keyed request may reach an upstream: for as long as repeats
     * of the first one that may have run are dropped. The module holds to it when it decides; this,
     * when bytes go.
     */
    private long repeatableUntil(PendingRequest call) {
        RequestClass kind = settings.classes().get(call.request.requestClass());
        if (kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            for (Attempt attempt : call.attempts) {
                if (attempt.mayHaveRun()) {
                    return attempt.sentAt + kind.idempotencyKeyTtlNanos();
                }
            }
        }
        return Long.MAX_VALUE;
    }

    private void watch(Attempt attempt) {
        SendDeadlines window = attempt.window;
        long next =
                attempt.sending.isFullyWritten()
                        ? window.responseByNanos()
                        : Math.min(window.responseByNanos(), window.lastByteByNanos());
        attempt.timer = timers.scheduleAt(next, () -> due(attempt));
    }

    private void due(Attempt attempt) {
        reconcile();
        if (attempt.done) {
            return;
        }
        boolean committed = attempt.sending.isFullyWritten();
        if (committed && time.nanoTime() < attempt.window.responseByNanos()) {
            watch(attempt);
            return;
        }
        attempt.sending.cancel();
        // Danger: a request whose time is up while it connects tells nothing of the upstream, which
        // a failed
        // connect would shut out.
        ended(attempt, committed ? Outcome.TIMEOUT : Outcome.NEVER_SENT, null);
    }

    /**
     * An answer that can't be held begins to go out. Danger: from here on the client has a part of
     * it, and no other answer, refusal or further attempt may follow, whatever happens to the rest.
     */
    private boolean begun(Attempt attempt, StreamedResponse answer) {
        PendingRequest call = attempt.call;
        if (attempt.done || call.over || call.answering != null) {
            return false;
        }
        call.answering = attempt;
        timeStops(call, attempt);
        call.attempts.stream()
                .filter(other -> other != attempt)
                .forEach(other -> callOff(call, other));
        give(call, () -> call.client.onResponseStreaming(answer));
        tellBegun(call, attempt, time.nanoTime() - attempt.sentAt);
        return true;
    }

    private static void timeStops(PendingRequest call, Attempt attempt) {
        call.backstop.cancel();
        if (attempt.timer != null) {
            attempt.timer.cancel();
        }
    }

    /** The module is told of what can't be taken back: nothing else can be tried any more. */
    private void tellBegun(PendingRequest call, Attempt attempt, long elapsed) {
        tell(
                () ->
                        balancer.onResponseStarted(
                                time.nanoTime(),
                                call.id,
                                attempt.number,
                                attempt.upstream,
                                elapsed));
    }

    /**
     * Danger: what is let go of a request that is too long to be held can't be sent to another
     * upstream.
     */
    private void letGo(Attempt attempt) {
        PendingRequest call = attempt.call;
        if (!call.over) {
            call.letGo = true;
            timeStops(call, attempt);
            tellBegun(call, attempt, -1);
        }
    }

    /** All of it is with its upstream: from now on its client waits. */
    private void timeRuns(Attempt attempt) {
        PendingRequest call = attempt.call;
        if (!call.over && call.answering == null) {
            call.backstop =
                    timers.scheduleAt(
                            Math.min(endsAt, time.nanoTime() + call.request.timeoutNanos()),
                            () -> giveUp(call));
        }
    }

    /** An attempt has ended: told to the module once, also when its request is over. */
    private void ended(Attempt attempt, Outcome outcome, UpstreamResponse reply) {
        if (attempt.done) {
            return;
        }
        attempt.end(outcome);
        requestLog.ended(attempt, outcome);
        PendingRequest call = attempt.call;
        call.last = outcome;
        if (call.answering == attempt && !call.over) {
            boolean whole = outcome == Outcome.OK;
            end(call, whole ? RequestMetrics.RequestEnd.SERVED : RequestMetrics.RequestEnd.FAILED);
            give(call, whole ? call.client::onResponseComplete : call.client::abort);
        } else if (call.letGo && outcome != Outcome.OK && !call.over) {
            // Nothing is left to decide: what it was can't be sent again, and only what is proven
            // is said.
            boolean neverRan = outcome.provesNotExecuted();
            end(
                    call,
                    neverRan
                            ? RequestMetrics.RequestEnd.REJECTED
                            : RequestMetrics.RequestEnd.FAILED);
            give(
                    call,
                    () -> {
                        if (neverRan) {
                            call.client.onRejected(0);
                        } else {
                            call.client.onFailed(ResponseSink.FailureCause.UPSTREAM);
                        }
                    });
        } else if (outcome == Outcome.OK && !call.over) {
            end(call, RequestMetrics.RequestEnd.SERVED);
            give(call, () -> call.client.onServed(reply));
        }
        float[] load = reply == null ? NO_LOAD : reply.loadReport(settings.loadReportFields());
        tell(
                () -> {
                    long now = time.nanoTime();
                    balancer.onAttemptEnded(
                            now,
                            call.id,
                            attempt.number,
                            attempt.upstream,
                            outcome,
                            now - attempt.sentAt,
                            call.over,
                            load);
                });
        out--;
        call.out--;
        forget(call);
    }

    /**
     * Danger: an answer that can't be given must not keep the module from hearing of what happened.
     */
    private void give(PendingRequest call, Runnable answer) {
        try {
            answer.run();
        } catch (RuntimeException e) {
            log.failure("an answer can't be given", e);
            call.client.abort();
        }
    }

    private void fail(PendingRequest call, ResponseSink.FailureCause cause) {
        if (!call.over) {
            end(call, RequestMetrics.RequestEnd.FAILED);
            give(call, () -> call.client.onFailed(cause));
        }
    }

    /** The request is over: nothing more is sent for it. */
    private void end(PendingRequest call, RequestMetrics.RequestEnd how) {
        call.over = true;
        requestLog.ended(call, how, guard.lastEvent());
        metrics.onRequestEnded(call.request.requestClass(), how);
        names.remove(call.request.id());
        call.backstop.cancel();
        open--;
        forget(call);
    }

    private void forget(PendingRequest call) {
        if (call.over && call.out == 0) {
            calls.remove(call.id);
        }
    }

    @Override
    public void reject(long request, long wait) {
        PendingRequest call = calls.get(request);
        if (call != null && !call.over && call.answering == null && !call.letGo) {
            end(call, RequestMetrics.RequestEnd.REJECTED);
            give(
                    call,
                    () -> call.client.onRejected(settings.capabilities().retryAfter() ? wait : 0));
        }
    }

    /** A failure says what is known of its cause; never what would invite a repeat. */
    @Override
    public void fail(long request) {
        PendingRequest call = calls.get(request);
        if (call != null && call.answering == null && !call.letGo) {
            boolean late = call.last == Outcome.TIMEOUT || time.nanoTime() >= call.deadline;
            fail(
                    call,
                    late
                            ? ResponseSink.FailureCause.DEADLINE_EXCEEDED
                            : ResponseSink.FailureCause.UPSTREAM);
        }
    }

    @Override
    public void cancelAttempt(long request, int number) {
        PendingRequest call = calls.get(request);
        if (call != null && number < call.attempts.size()) {
            callOff(call, call.attempts.get(number));
        }
    }

    /**
     * Danger: an attempt that waits for its connection would be sent when that is there, long after
     * its client has left. The module may not be allowed to cancel; but of this one nothing has
     * gone out, so it ends as never sent, and takes no room at its upstream for work that might
     * still be done there.
     */
    private void callOffWhatNobodyWaitsFor(PendingRequest call) {
        for (Attempt attempt : call.attempts) {
            if (!attempt.done && attempt.sending != null && !attempt.sending.hasStartedWriting()) {
                attempt.sending.cancel();
                timers.execute(() -> ended(attempt, Outcome.NEVER_SENT, null));
            }
        }
    }

    /** What has begun to go out is not the module's any more, and is not cancelled by it. */
    private void callOffWhatTheModuleLeaves(PendingRequest call) {
        if (call.answering != null || call.letGo) {
            call.attempts.forEach(each -> callOff(call, each));
        }
    }

    private void callOff(PendingRequest call, Attempt attempt) {
        if (!attempt.done && attempt.sending != null) {
            attempt.sending.cancel();
            timers.execute(() -> ended(attempt, Outcome.CANCELLED, null));
        }
    }

    @Override
    public void setTimer(long token, long at) {
        timers.scheduleAt(
                at,
                () -> {
                    if (!closed) {
                        reconcile();
                        tell(() -> balancer.onTimer(time.nanoTime(), token));
                    }
                });
    }

    /** The module is left alone from now on, and nothing is done for it any more. */
    public void close() {
        closed = true;
    }

    @Override
    public void closeIdleConnections(long upstream) {
        Endpoint endpoint = endpoints.get(upstream);
        if (endpoint != null) {
            upstreams.closeIdleConnections(endpoint);
        }
    }

    @Override
    public void sendHealthCheck(long upstream) {
        throw new UnsupportedOperationException("this sidecar sends no probes");
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        throw new UnsupportedOperationException("this sidecar has no peers");
    }

    @Override
    public void log(String line) {
        log.info(line);
    }

    @Override
    public void subscribe(boolean on) {
        lists.subscribe(on);
    }

    @Override
    public void fetchEndpoints() {
        lists.fetchEndpoints();
    }
}
