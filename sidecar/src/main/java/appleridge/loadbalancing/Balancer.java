package appleridge.loadbalancing;

import java.util.List;

/**
 * The decisions of one sidecar's load balancer: what it is told (the methods), what it orders
 * ({@link Actions}) and what it is set to ({@link Settings}). {@link SymmetricRoundRobin}
 * implements it.
 *
 * <p><b>What the host owes.</b> One instance belongs to one sidecar and one thread. Every event
 * carries the time in nanoseconds on one clock that never runs back; its zero has no meaning.
 * {@link #start} comes first, then {@link #listChanged} with a {@link ListKind#CACHED} list.
 * Request ids are never used twice. Every {@link Actions#send} is answered by exactly one {@link
 * #outcome}, also after the request has ended, and attempts are numbered 0, 1, 2, ... in the order
 * of their sends. Timers fire at or after their time, never inside the call that set them. A
 * restart of the sidecar is a new instance with a new seed.
 *
 * <p><b>What the instance owes.</b> Actions are given during an event's call and take effect at
 * that event's time, in order. Each request gets one final answer: the first {@link Outcome#OK}
 * (the host passes it on), {@link Actions#refuse} or {@link Actions#fail}, no later than its
 * deadline plus {@link Limits#answerSlack()}. The same settings, seed and events give the same
 * actions. Events about requests, attempts or upstreams that the instance no longer holds are
 * ignored.
 *
 * <p>Settings that make no sense are rejected with an {@link IllegalArgumentException} naming the
 * setting.
 */
public interface Balancer {

    /** How an attempt ended. */
    enum Outcome {
        /** Served; the first one finishes the request. */
        OK(false),
        /** The upstream answered with an error, perhaps after running the request. */
        ERROR(false),
        /** Turned away unseen: queue full or draining. */
        REJECTED(true),
        /** No answer in time; it may have run or may be running still. */
        TIMEOUT(false),
        /** No connection in time: down, unreachable, or its connection table is full. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was out. */
        RESET(false),
        /** Withdrawn by this balancer. */
        CANCELLED(false),
        /** Never sent: the request had ended, or it had no attempt or time left. */
        NEVER_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean provesNeverRan() {
            return neverRan;
        }
    }

    /** What a class of request allows after an attempt that may have run. */
    enum Semantics {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /**
     * Which upstreams drop a repeat of a keyed request: all, those of one zone, those of one cell.
     */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream in a list. */
    enum State {
        GONE,
        READY,
        DRAINING
    }

    /**
     * Kind of a list event: changes only, everything, the last list known before a start, or a
     * failed call.
     */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** Whether the list comes by itself or must be subscribed to. */
    enum Discovery {
        AUTOMATIC,
        SUBSCRIBE
    }

    /** What {@link Upstream#weight()} holds; LIVE changes with the load, SILENT is always 1. */
    enum Weights {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of request; times in nanoseconds.
     *
     * @param aim an answer within this time earns the full worth
     * @param aimStretch the aim grows by this many times the request's own work, up to the deadline
     * @param deadline the longest a client waits over all its tries
     * @param lateShare part of the worth earned between aim and deadline
     * @param keyTtl for BY_KEY: how long repeats are dropped, from the first send that may have run
     * @param stream the answer streams: {@link Balancer#firstByte} tells of its start
     */
    record RequestClass(
            long aim,
            double aimStretch,
            long deadline,
            double worth,
            double lateShare,
            Semantics semantics,
            Scope scope,
            long keyTtl,
            boolean stream) {
        public RequestClass {
            require(aim > 0, "class aim");
            require(deadline >= aim, "class deadline");
            require(worth >= 0 && Double.isFinite(worth), "class worth");
            require(
                    semantics != Semantics.BY_KEY || keyTtl >= 0 && scope != null,
                    "class key scope and ttl");
        }
    }

    /**
     * A tenant: its part of the service and the rate, over all sidecars, up to which its work has
     * full worth.
     */
    record Tenant(double portion, double quotaPerSecond) {
        public Tenant {
            require(portion >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
        }
    }

    /**
     * What the host allows; a disallowed action is never asked for. {@link SymmetricRoundRobin}
     * makes no use of probes or parallel tries: no run has shown that they pay.
     */
    record Allowed(
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean parallelTries,
            boolean retryAfter,
            int tryLimit,
            long maxRetryAfter,
            long connectTimeout) {
        public Allowed {
            require(tryLimit >= 1, "try limit");
            require(maxRetryAfter >= 0 && connectTimeout >= 0, "retry-after and connect time-out");
        }
    }

    /** The numbers behind the four rules; times in nanoseconds. */
    record Limits(
            long answerSlack,
            long askWithin,
            long drainGrace,
            double coldShare,
            long rampTime,
            double overloadFactor,
            long tipAfter) {
        public Limits {
            require(answerSlack >= 0 && askWithin >= 0 && drainGrace >= 0, "rule times");
            require(coldShare > 0 && coldShare <= 1, "cold share");
            require(rampTime >= 0 && tipAfter >= 0, "ramp and tip times");
            require(overloadFactor >= 1, "overload factor");
        }
    }

    /**
     * What an instance is set to. {@link SymmetricRoundRobin} makes no use of zone, load reports,
     * the unit of worth or the worth over share; hosts fill them in for modules that do.
     *
     * @param rank this sidecar's number among {@code replicas}, from 0; -1 where it isn't told
     * @param quantum shortest time between two events
     * @param reportFields names of the values in a load report
     * @param valueByWork worth counts per unit of work, not per request
     * @param overShareWorth what a request beyond its tenant's quota is worth, as a part of its
     *     class's worth
     */
    record Settings(
            int rank,
            int replicas,
            int zone,
            long quantum,
            Discovery discovery,
            Weights weights,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Allowed allowed,
            Limits limits,
            List<String> reportFields,
            boolean valueByWork,
            double overShareWorth) {
        public Settings {
            require(replicas >= 1 && rank >= -1, "rank and replicas");
            require(quantum >= 0, "quantum");
            require(!classes.isEmpty(), "classes");
            require(overShareWorth >= 0 && overShareWorth <= 1, "over-share worth");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            reportFields = List.copyOf(reportFields);
        }
    }

    /**
     * An upstream as the list shows it.
     *
     * @param id opaque and stable over restarts
     * @param startedAt when it last started; 0 for long ago
     */
    record Upstream(
            long id, int zone, int kind, int cell, State state, float weight, long startedAt) {
        /** The same upstream, gone. */
        public Upstream gone() {
            return new Upstream(id, zone, kind, cell, State.GONE, weight, startedAt);
        }
    }

    /**
     * A client's request.
     *
     * @param timeLeft until the client gives this try up
     * @param costHint rough work to expect in nanoseconds; 0 where unknown
     * @param clientRetry the client marked it as a repeat
     */
    record Request(
            long id,
            int requestClass,
            int tenant,
            long key,
            long timeLeft,
            long costHint,
            boolean clientRetry,
            boolean write) {}

    /**
     * What an instance orders. The host carries each out at the time of the event being handled.
     */
    interface Actions {
        /** Starts the request's next attempt; a time-out of 0 lasts until the client gives up. */
        void send(long request, long upstream, long timeout);

        /** Final answer: not done, a retry is harmless; {@code wait} 0 gives no guidance. */
        void refuse(long request, long wait);

        /** Final answer: failed, with no promise about effects. */
        void fail(long request);

        /** Stops waiting for one attempt. */
        void cancel(long request, int attempt);

        /** Asks for {@link Balancer#timer} with this token at or after a time. */
        void timer(long token, long at);

        /** Probes an upstream. */
        void probe(long upstream);

        /** Closes idle connections to an upstream. */
        void closeIdle(long upstream);

        /**
         * Sends at most 256 bytes to a peer, or to every one if {@code peer} is {@link #ALL_PEERS}.
         */
        void tell(int peer, byte[] message);

        /** Writes a line for operators. */
        void log(String line);

        /** Subscribes to list changes, or ends it; answered by one list event. */
        void subscribe(boolean on);

        /** Asks for the whole list once; answered by one list event. */
        void fetchList();

        /** Every peer. */
        int ALL_PEERS = 0xffff;
    }

    /** The instance begins. */
    void start(long now);

    /** News of the list; {@code entries} is empty for {@link ListKind#FAILED}. */
    void listChanged(long now, ListKind kind, List<Upstream> entries);

    /** A client's request has arrived. */
    void request(long now, Request request);

    /**
     * An answer has begun to go out, streamed by its class or too long to be held: its attempt
     * belongs to the client, its deadline no longer holds, and nothing else can be tried. The
     * outcome comes with its end. So it is where a request too long to be held has begun to go out;
     * then {@code elapsed} is negative.
     */
    void firstByte(long now, long request, int attempt, long upstream, long elapsed);

    /** An attempt has ended; {@code ended} says that the request has, by this outcome or before. */
    void outcome(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load);

    /** The client has left. */
    void hangup(long now, long request);

    /** A timer is due. */
    void timer(long now, long token);

    /** A probe's result. */
    default void probeResult(
            long now, long upstream, Outcome outcome, long elapsed, float[] load) {}

    /** A message from another sidecar of this tier. */
    default void peerMessage(long now, int from, byte[] message) {}

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting makes no sense: " + setting);
        }
    }
}
