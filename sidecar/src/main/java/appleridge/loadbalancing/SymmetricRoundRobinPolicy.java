package appleridge.loadbalancing;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

/**
 * Every decision of one sidecar. Interface, settings, events and actions are in {@code
 * LoadBalancingPolicy.java}.
 *
 * <p>The ordinary path is {@link Pattern#pick}: a randomly drawn fixed order over all ready
 * servers, the less busy of the pointed entry and the next by this sidecar's own in-flight counts.
 * All else either narrows who may take a request now (gates in {@link Roster}, {@link Health},
 * {@link Admission}) or keeps the books ({@link Ledger}). {@code docs/design.md} says where each
 * departure acts and against what.
 */
public final class SymmetricRoundRobinPolicy implements LoadBalancingPolicy {
    /** No registered size counts for less than this part of the largest. */
    private static final double LEAST = 0.1;

    private final PolicySettings settings;
    private final PolicyActions actions;
    private final Random random;
    private final Pattern pattern;
    private final Ledger ledger = new Ledger();
    private final Roster roster;
    private final Health health;
    private final Admission admission;
    private final Alarms alarms = new Alarms();

    /** One instance a sidecar: the seed is its only source of chance. */
    public SymmetricRoundRobinPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.pattern = new Pattern(seed);
        this.roster = new Roster();
        this.health = new Health();
        this.admission = new Admission();
    }

    @Override
    public void start(long now) {
        roster.startedAt = now;
        roster.follow(now);
        alarms.flush();
    }

    @Override
    public void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries) {
        roster.listChanged(now, kind, entries);
        admission.drain(now);
        alarms.flush();
    }

    @Override
    public void onRequest(long now, RequestInfo request) {
        if (request.requestClass() >= settings.classes().size()) {
            throw new IllegalArgumentException(
                    "request of unknown class " + request.requestClass());
        }
        Call call = ledger.open(now, request);
        admission.admit(now, call);
        alarms.flush();
    }

    @Override
    public void onResponseStarted(
            long now, long request, int attempt, long upstream, long elapsed) {
        Call call = ledger.calls.get(request);
        if (call != null && attempt < call.attempts.size()) {
            call.streaming = true;
            if (!call.kind.streaming()) {
                ledger.begun(now, call, call.attempts.get(attempt), elapsed >= 0);
                admission.drain(now);
                alarms.flush();
            }
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load) {
        ledger.outcome(now, request, attempt, outcome, ended);
        admission.drain(now);
        alarms.flush();
    }

    @Override
    public void onClientDisconnected(long now, long request) {
        Call call = ledger.calls.get(request);
        if (call != null) {
            ledger.close(call);
        }
    }

    @Override
    public void onGossip(long now, int from, byte[] message) {
        health.heard(now, message);
    }

    @Override
    public void onTimer(long now, long token) {
        alarms.ring(now, token);
        admission.drain(now);
        alarms.flush();
    }

    /** How many upstreams there is a record of: what must not grow as they come and go. */
    int known() {
        return roster.servers.size();
    }

    /** How many requests wait for room. */
    int held() {
        return Arrays.stream(admission.shares).mapToInt(share -> share.held.size()).sum();
    }

    /** A part of the order and the pointer into it. */
    private static final class Walk {
        private List<Server> entries = List.of();
        private int pointer;

        void over(List<Server> servers) {
            entries = servers;
            pointer = entries.isEmpty() ? 0 : pointer % entries.size();
        }
    }

    /**
     * The order, the pointer and the pick. Danger: where many sidecars each walk a whole large
     * fleet, each sees a server so seldom that nearly every request pays for a connection of its
     * own, and no evidence lasts until the next turn. So the order is walked over the servers that
     * lie near, as many as the load of this sidecar keeps busy, and beyond them only where none of
     * these takes a request. What lies near follows from this sidecar's rank: together the parts
     * cover the fleet evenly, which parts drawn by chance would not.
     */
    private final class Pattern {
        /** Requests open at a time for each that lies near: own counts tell busy ones apart. */
        private static final double BUSY = 0.8;

        /**
         * So many lie near at least: with a site lost, or some servers slow, there is still a
         * choice.
         */
        private static final int FEWEST = 6;

        /** With more sidecars at each server own counts are less than an eighth of what it has. */
        private static final double MANY = 8;

        /** Multiples of it lie evenly between whole numbers however many there are of them. */
        private static final double GOLDEN = (Math.sqrt(5) - 1) / 2;

        private final List<Server> order = new ArrayList<>();
        private final Walk near = new Walk();
        private final Walk far = new Walk();

        /**
         * Danger: where no rank is told all would ask the same few; parts drawn by chance only
         * vary.
         */
        private final double place;

        private int width = FEWEST;

        /**
         * Danger: the first draws of seeds that follow one another hardly differ, unless these are
         * mixed.
         */
        Pattern(long seed) {
            place =
                    settings.rank() < 0
                            ? new SplittableRandom(seed).nextDouble()
                            : settings.rank() * GOLDEN % 1;
        }

        /** Draws a uniform permutation of all ready servers; the list comes sorted by id. */
        void redraw(List<Server> ready) {
            order.clear();
            order.addAll(ready);
            Collections.shuffle(order, random);
            near.pointer = 0;
            divide();
        }

        /** What is near: from this sidecar's place in the list on, as many as it keeps busy. */
        private void divide() {
            List<Server> ready = roster.ready;
            roster.servers.values().stream()
                    .filter(s -> s.entry.state() != HostState.READY)
                    .forEach(s -> s.near = false);
            int from = (int) (place * ready.size());
            for (int i = 0; i < ready.size(); i++) {
                Server server = ready.get((from + i) % ready.size());
                boolean was = server.near;
                server.near = i < width;
                if (was && !server.near && server.inFlight == 0) {
                    actions.closeIdleConnections(server.id);
                }
            }
            near.over(order.stream().filter(server -> server.near).toList());
            far.over(order.stream().filter(server -> !server.near).toList());
        }

        /**
         * Follows the load: at once where it grows, but only where half is too much when it falls.
         */
        void fit(long now) {
            int wanted = Math.max(FEWEST, (int) Math.ceil(roster.load(now) / BUSY));
            if (wanted > width || wanted < width / 2) {
                boolean matters = Math.min(wanted, width) < order.size();
                width = wanted;
                if (matters) {
                    divide();
                }
            }
        }

        /**
         * The part of its usual work that a sidecar may count on for one server, so that the sum of
         * all keeps to what a server gets where it lies near one sidecar more than the average.
         */
        double evenness() {
            return far.entries.isEmpty() ? 1 : sidecars() / (sidecars() + 1);
        }

        /** Sidecars that a server lies near to, on average. */
        private double sidecars() {
            return (double) settings.replicas() * size() / Math.max(1, order.size());
        }

        /**
         * Whether what is out here is so small a part of a server's work that it tells little of
         * it.
         */
        boolean sparse() {
            return sidecars() > MANY;
        }

        /** How many lie near; at least one. */
        int size() {
            return Math.max(1, near.entries.size());
        }

        /**
         * The pick among those that lie near, or where none of them takes it, among the others.
         * Danger: what shut all out was learned near; where that is to be left out of account, the
         * others come first.
         */
        Server pick(long now, Call call, boolean ignoreHealth) {
            if (!call.attempts.isEmpty() && !ledger.mayTryAgain(now, call)) {
                return null;
            }
            Server server = pick(now, call, ignoreHealth, ignoreHealth ? far : near);
            return server != null
                    ? server
                    : pick(now, call, ignoreHealth, ignoreHealth ? near : far);
        }

        /**
         * The less busy of the pointed entry and the next, a tie going to the pointed one; entries
         * whose gates are shut to this request are passed over. Only first attempts turn the
         * pointer: a walk for a further attempt sees few entries and would make the turns uneven.
         * Null if all gates are shut.
         */
        private Server pick(long now, Call call, boolean ignoreHealth, Walk walk) {
            List<Server> entries = walk.entries;
            Server pointed = null;
            Server passed = null;
            int start = walk.pointer;
            for (int i = 0; i < entries.size(); i++) {
                int at = (start + i) % entries.size();
                Server server = entries.get(at);
                if (!mayTake(now, server, call, i == 0, ignoreHealth)) {
                    continue;
                }
                if (pointed == null && call.attempts.isEmpty() && !takesTurn(now, server)) {
                    passed = passed == null ? server : passed;
                    continue;
                }
                if (pointed != null) {
                    return server.inFlight < pointed.inFlight ? server : pointed;
                }
                pointed = server;
                if (call.attempts.isEmpty()) {
                    walk.pointer = (at + 1) % entries.size();
                }
            }
            return pointed != null ? pointed : passed;
        }
    }

    /**
     * Danger: even turns overrun the small machines of a fleet while the large ones idle, and one
     * that is late more than the others keeps its turns. Each turn adds to a server's credit by its
     * registered size beside the largest (a tenth at least) and by what is noted of it; a whole
     * credit takes the turn.
     */
    private boolean takesTurn(long now, Server server) {
        double size =
                roster.sizes.getSum() > 0
                        ? Math.max(LEAST, server.size() / roster.sizes.getMax())
                        : 1;
        server.turns += size * health.share(now, server);
        return server.turns >= 1 && server.turns-- > 0;
    }

    /** All gates, cheapest first. */
    private boolean mayTake(long now, Server server, Call call, boolean own, boolean ignoreHealth) {
        return ledger.mayGoTo(call, server)
                && admission.hasRoom(now, server)
                && (ignoreHealth || health.open(now, server))
                && roster.coldRoom(now, server, call, own);
    }

    /** A sum that forgets: what was added a window ago counts by 1/e. */
    private static final class FadingSum {
        private final double window;
        private double value;
        private long at;

        FadingSum(double window) {
            this.window = window;
        }

        double value(long now) {
            return value * Math.exp((at - now) / window);
        }

        void add(long now, double more) {
            value = value(now) + more;
            at = now;
        }
    }

    /** What is known of one upstream. */
    private static final class Server {
        final long id;
        UpstreamHost entry;
        int inFlight;
        long coldUntil;
        double coldCredit = Double.NaN;
        long coldAt;

        /** From when on it may take one request beyond its slow-start credit. */
        long spareAt;

        long nextTrial;
        long backoff;
        double limit = Admission.FIRST_LIMIT;
        int ghosts;
        long ghostSent;
        long ghostUntil;
        long lastCut;
        final FadingSum trouble;

        /** When the latest answered attempt was sent. */
        long answeredSent;

        double turns;

        /** Among those that this sidecar usually asks. */
        boolean near;

        Server(UpstreamHost entry, long now, double window) {
            this.trouble = new FadingSum(window);
            this.id = entry.id();
            this.entry = entry;
            this.coldAt = now;
        }

        /** The registered size; an absent or absurd one counts as none. */
        double size() {
            return entry.weight() > 0 && entry.weight() <= Float.MAX_VALUE ? entry.weight() : 0;
        }
    }

    private static final class Attempt {
        final Server server;
        final long sentAt;
        final int crowd;
        boolean out = true;
        boolean mayHaveRun = true;

        /** Its answer is on the way in pieces. */
        boolean begun;

        Attempt(Server server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
            this.crowd = server.inFlight;
        }
    }

    private static final class Call {
        final RequestInfo request;
        final RequestClass kind;
        final long deadline;
        final long aim;
        final long aimAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean closed;
        boolean held;
        boolean streaming;
        double expected;

        Call(RequestInfo request, RequestClass kind, long now, long elapsed) {
            this.request = request;
            this.kind = kind;
            this.deadline = now + request.remainingNanos();
            // Where a late answer keeps half its worth or more, only the deadline makes it
            // worthless.
            double stretched =
                    kind.latencyObjectiveNanos()
                            + kind.objectiveStretch() * request.costHintNanos();
            boolean keeps = kind.lateValueFraction() >= 0.5;
            this.aim = (long) Math.min(stretched, kind.deadlineNanos());
            long worthless = keeps ? kind.deadlineNanos() : aim;
            this.aimAt = now - elapsed + Math.min(request.remainingNanos() + elapsed, worthless);
        }

        /** Whether the last attempt is out; there is never more than one. */
        boolean waiting() {
            return !attempts.isEmpty() && attempts.get(attempts.size() - 1).out;
        }
    }

    /** Each request's attempts, what is proven of them, and its one answer. */
    private final class Ledger {
        private final Map<Long, Call> calls = new HashMap<>();

        Call open(long now, RequestInfo request) {
            Call call =
                    new Call(
                            request,
                            settings.classes().get(request.requestClass()),
                            now,
                            admission.elapsed(request));
            // Danger: answers of no time would bring alarms an expected time apart to a stand.
            call.expected =
                    Math.max(
                            call.aim / 1000.0,
                            health.usual[request.requestClass()].expected(request.costHintNanos()));
            calls.put(request.id(), call);
            roster.asked.add(now, call.expected);
            pattern.fit(now);
            admission.share(call).asked.add(now, call.expected);
            alarms.set(
                    call.deadline,
                    at -> {
                        if (!call.streaming) {
                            answer(call);
                        }
                    });
            return call;
        }

        /** The first attempt that may have run, or null while every one is proven not to have. */
        private Attempt firstDoubt(Call call) {
            return call.attempts.stream().filter(a -> a.mayHaveRun).findFirst().orElse(null);
        }

        /** Whether some further attempt is allowed now, whichever server it goes to. */
        boolean mayTryAgain(long now, Call call) {
            if (call.closed
                    || call.streaming
                    || now >= call.deadline
                    || call.waiting()
                    || call.attempts.size() >= settings.capabilities().maxAttempts()) {
                return false;
            }
            Attempt doubt = firstDoubt(call);
            return doubt == null
                    || switch (call.kind.idempotency()) {
                        case IDEMPOTENT -> true;
                        case NON_IDEMPOTENT -> false;
                        // One quantum is kept back: the send takes effect at the end of this batch.
                        case IDEMPOTENT_BY_KEY ->
                                now + settings.clockGranularityNanos()
                                        < doubt.sentAt + call.kind.idempotencyKeyTtlNanos();
                    };
        }

        /** Whether the next attempt, if there may be one, may go to this server. */
        boolean mayGoTo(Call call, Server server) {
            if (call.attempts.stream().anyMatch(a -> a.server == server)) {
                return false;
            }
            Attempt doubt = firstDoubt(call);
            if (doubt == null || call.kind.idempotency() != Idempotency.IDEMPOTENT_BY_KEY) {
                return true;
            }
            UpstreamHost first = doubt.server.entry;
            return switch (call.kind.deduplicationScope()) {
                case ALL -> true;
                case ZONE -> first.zone() == server.entry.zone();
                case CELL -> first.cell() == server.entry.cell();
            };
        }

        /** The one place that sends. */
        void send(long now, Call call, Server server) {
            Attempt attempt = new Attempt(server, now);
            call.attempts.add(attempt);
            admission.release(call);
            roster.charge(now, server, call);
            server.inFlight++;
            health.tried(now, server);
            actions.sendAttempt(call.request.id(), server.id, 0);
            health.watch(call, attempt, health.lateAfter(call));
            health.watchCrowd(call, attempt);
        }

        /**
         * An answer too long to be held begins to go out. Danger: the rest takes as long as its
         * client reads, which tells nothing of the server and must not take its room: what it was
         * asked for is done.
         */
        void begun(long now, Call call, Attempt attempt, boolean answers) {
            if (!attempt.out || attempt.begun) {
                return;
            }
            attempt.begun = true;
            attempt.server.inFlight--;
            // Danger: that a request has begun to go out took no time, and says nothing of answers.
            if (answers) {
                health.ended(now, attempt, Outcome.OK, call);
                admission.ended(now, attempt, Outcome.OK, call);
                roster.served.add(now, call.expected);
            }
        }

        void outcome(long now, long id, int number, Outcome outcome, boolean ended) {
            Call call = calls.get(id);
            if (call == null || number >= call.attempts.size() || !call.attempts.get(number).out) {
                return;
            }
            Attempt attempt = call.attempts.get(number);
            attempt.out = false;
            attempt.mayHaveRun = !outcome.provesNotExecuted();
            Server server = attempt.server;
            if (attempt.begun) {
                if (outcome == Outcome.RESET) {
                    health.note(now, server, 1);
                }
                closeIfFar(server);
                close(call);
                return;
            }
            server.inFlight--;
            health.ended(now, attempt, outcome, call);
            if (outcome != Outcome.CONNECT_FAILED) {
                admission.ended(now, attempt, outcome, call);
            }
            if (outcome == Outcome.OK) {
                roster.served.add(now, call.expected);
            }
            closeIfFar(server);
            if (ended || call.closed) {
                close(call);
                return;
            }
            // Danger: held for a further attempt with every server tried, it would wait in vain.
            if (mayTryAgain(now, call)
                    && roster.ready.stream().anyMatch(next -> mayGoTo(call, next))
                    && admission.worthRetry(now, call, attempt.mayHaveRun)) {
                admission.admit(now, call);
            } else {
                answer(call);
            }
        }

        /** A connection beyond what lies near is used too seldom to keep its place. */
        private void closeIfFar(Server server) {
            if (server.inFlight == 0 && !server.near) {
                actions.closeIdleConnections(server.id);
            }
        }

        /**
         * Gives the final answer: refused where a client's retry is known to be harmless, else
         * failed.
         */
        void answer(Call call) {
            if (call.closed) {
                return;
            }
            boolean harmless =
                    firstDoubt(call) == null
                            || call.kind.idempotency() == Idempotency.IDEMPOTENT
                            || call.kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                    && call.kind.deduplicationScope() == DeduplicationScope.ALL;
            if (harmless) {
                long longest =
                        settings.capabilities().retryAfter()
                                ? settings.capabilities().maxRetryAfterNanos()
                                : 0;
                actions.reject(call.request.id(), Math.min(longest, call.aim / 2));
            } else {
                actions.fail(call.request.id());
            }
            close(call);
        }

        /**
         * Nothing is sent for a closed request; its outstanding attempt still counts as in flight.
         */
        void close(Call call) {
            if (!call.closed
                    && call.waiting()
                    && !call.streaming
                    && settings.capabilities().cancellation()) {
                actions.cancelAttempt(call.request.id(), call.attempts.size() - 1);
            }
            call.closed = true;
            admission.release(call);
            if (!call.waiting()) {
                calls.remove(call.request.id());
            }
        }
    }

    /** The list, the subscription to it, and the budget of cold servers. */
    private final class Roster {
        /**
         * Requests that all sidecars together may send a cold server beyond what its capacity
         * allows, in the time in which it tips: half of the constant of the slow-start budget, N +
         * 3 sqrt(N) + 3.
         */
        private static final double SPARE = 1.5;

        private final TreeMap<Long, Server> servers = new TreeMap<>();
        private List<Server> ready = List.of();
        private long retryWait;
        private long asks;

        /** What was answered, and what was asked for, over about a ramp time. */
        private final FadingSum served =
                new FadingSum(Math.max(1, settings.safetyLimits().slowStartWindowNanos()));

        private final FadingSum asked =
                new FadingSum(Math.max(1, settings.safetyLimits().slowStartWindowNanos()));
        private DoubleSummaryStatistics sizes = new DoubleSummaryStatistics();
        private long startedAt;

        /** When the first of those that are ready is warm. */
        private long warmFrom;

        void follow(long now) {
            if (settings.discoveryMode() == DiscoveryMode.SUBSCRIBED) {
                actions.subscribe(true);
                followAgain(now + settings.safetyLimits().pollIntervalNanos() / 2);
            }
        }

        private void followAgain(long at) {
            long mine = ++asks;
            alarms.set(
                    at,
                    now -> {
                        if (mine == asks) {
                            follow(now);
                        }
                    });
        }

        void listChanged(long now, UpdateKind kind, List<UpstreamHost> entries) {
            if (kind == UpdateKind.FAILURE) {
                // Danger: a broken subscription is silent from now on, and sidecars whose calls
                // failed
                // together would hammer discovery together: backs off, with jitter.
                if (retryWait == 0) {
                    actions.log("list lost: the last one stays in force, asking again");
                }
                long base =
                        Math.max(
                                settings.clockGranularityNanos(),
                                settings.safetyLimits().pollIntervalNanos() / 40);
                retryWait =
                        Math.max(
                                base,
                                Math.min(
                                        retryWait * 2,
                                        settings.safetyLimits().pollIntervalNanos() / 2));
                followAgain(now + retryWait / 2 + random.nextLong(retryWait / 2 + 1));
                return;
            }
            if (kind != UpdateKind.CACHED_SNAPSHOT) {
                asks++;
                retryWait = 0;
            }
            Set<Long> missing =
                    new TreeSet<>(kind == UpdateKind.DELTA ? Set.of() : servers.keySet());
            boolean changed = false;
            for (UpstreamHost entry : entries) {
                missing.remove(entry.id());
                changed |= update(now, entry);
            }
            for (long id : missing) {
                Server server = servers.get(id);
                changed |= server.entry.state() == HostState.READY;
                server.entry = server.entry.asGone();
            }
            // Danger: upstreams are replaced as long as the sidecar runs; records of the gone would
            // pile up.
            servers.values().removeIf(s -> s.entry.state() == HostState.GONE && s.inFlight == 0);
            if (changed) {
                ready =
                        servers.values().stream()
                                .filter(s -> s.entry.state() == HostState.READY)
                                .toList();
                warmFrom = ready.stream().mapToLong(s -> s.coldUntil).min().orElse(0);
                // Live weights are load reports, which have no say in turns.
                sizes =
                        (settings.weightKind() == WeightKind.LIVE
                                        ? Stream.<Server>of()
                                        : ready.stream())
                                .mapToDouble(Server::size)
                                .summaryStatistics();
                ready.forEach(s -> s.turns = random.nextDouble());
                pattern.redraw(ready);
            }
        }

        /** Takes one line over; true if the set of ready servers changed. */
        private boolean update(long now, UpstreamHost entry) {
            Server server = servers.get(entry.id());
            boolean wasReady = server != null && server.entry.state() == HostState.READY;
            // A restarted process shares nothing with the one before: not its load, nor its faults.
            boolean fresh =
                    server == null || entry.startedAtNanos() > server.entry.startedAtNanos();
            if (fresh) {
                server = new Server(entry, now, health.window);
                server.spareAt = now + (long) (pattern.place * spareInterval());
                servers.put(entry.id(), server);
                server.coldUntil =
                        entry.startedAtNanos() == 0
                                ? 0
                                : entry.startedAtNanos()
                                        + settings.safetyLimits().slowStartWindowNanos();
            }
            server.entry = entry;
            boolean isReady = entry.state() == HostState.READY;
            return wasReady != isReady || fresh && isReady;
        }

        /**
         * Danger: a cold server falls over and stays down when all sidecars together overfill it.
         * It takes as many of its own turns as it has of its capacity. Danger: where other gates
         * are shut, all would turn to it; turns passed on, and a busy sidecar's, need credit: what
         * a server of this size is seen to serve FOR THIS SIDECAR, by half the factor that tips it.
         * The credit starts at a random part of one request below nothing, or hundreds of sidecars
         * would round their part up in the same second.
         */
        boolean coldRoom(long now, Server server, Call call, boolean own) {
            if (now >= server.coldUntil) {
                return true;
            }
            // What lies near of many sidecars uses up the whole of what it can do.
            if (!server.near && now >= warmFrom) {
                return false;
            }
            double passed =
                    1
                            - (server.coldUntil - now)
                                    / (double) settings.safetyLimits().slowStartWindowNanos();
            double cold = settings.safetyLimits().slowStartMinFraction();
            double share = cold + (1 - cold) * Math.max(0, Math.min(1, passed));
            double factor = Math.max(1, settings.safetyLimits().overloadFactor() / 2);
            double rate = comparable(now, server) * share * factor;
            if (Double.isNaN(server.coldCredit)) {
                server.coldCredit = -random.nextDouble() * call.expected;
            }
            double most = rate * settings.safetyLimits().overloadWindowNanos() / 2;
            server.coldCredit = Math.min(most, server.coldCredit + rate * (now - server.coldAt));
            server.coldAt = now;
            return server.coldCredit >= (own && random.nextDouble() < share ? -call.expected : 0)
                    || now < warmFrom && now >= server.spareAt;
        }

        /**
         * Takes a request off a server's slow-start credit, or where that is used up, off what it
         * may take beyond. Invariant: servers that are all cold are not shut together for good.
         * Before them the credit follows what is served, and would fall with it to one request in a
         * ramp time.
         */
        void charge(long now, Server server, Call call) {
            if (server.coldCredit < 0) {
                server.spareAt = now + spareInterval();
            }
            if (server.coldCredit >= -call.expected || now >= server.coldUntil) {
                server.coldCredit -= call.expected;
            }
        }

        /**
         * The constant part of the slow-start budget, of which half is used, is shared by all
         * sidecars.
         */
        private long spareInterval() {
            return (long)
                    (settings.replicas() * settings.safetyLimits().overloadWindowNanos() / SPARE);
        }

        /**
         * Work a nanosecond that a server of this size serves for this sidecar; what it is asked
         * for while nothing has been served yet, or a fleet that is cold as a whole would stay
         * unused.
         */
        private double comparable(long now, Server server) {
            double sum = served.value(now);
            double all = sum > 0 ? sum : asked.value(now);
            double size = sizes.getSum() > 0 ? Math.min(1, server.size() / sizes.getAverage()) : 1;
            // A fleet that is cold as a whole is asked as a whole: what lies near can't do all of
            // it.
            double part = now < warmFrom ? 1.0 / ready.size() : pattern.evenness() / pattern.size();
            return all * part / settings.safetyLimits().slowStartWindowNanos() * size;
        }

        /**
         * What is asked for lately, as requests that are open at a time. Danger: right after the
         * start the fading sum knows of a part of its window only.
         */
        double load(long now) {
            double known = -Math.expm1(-Math.max(LEAST, (double) (now - startedAt) / asked.window));
            return asked.value(now) / asked.window / known;
        }
    }

    /** Usual time to an answer of one class, and its growth with the hinted cost. */
    private static final class Usual {
        /** About the last 50 answers. */
        private static final double NEW = 0.02;

        /**
         * Before that many answers a mean is a guess; waiting longer would take a crowd for calm.
         */
        private static final int FEW = 20;

        double mean;

        /** The lowest mean, forgotten over some thousand answers: what an uncrowded fleet takes. */
        double calm = Double.MAX_VALUE;

        private long seen;
        private double cost;

        Usual(double first) {
            mean = first;
        }

        void learn(double took, double hint) {
            // Cut at three times the expected: one slow server must not become what is usual.
            double time = Math.min(took, 3 * expected(hint));
            double part = Math.max(NEW, 1.0 / ++seen);
            mean += part * (time - mean);
            // Danger: a first guess taken for calm makes every answer of the first seconds look
            // crowded.
            calm = seen < FEW ? calm : Math.min(calm * 1.0005, mean);
            cost += part * (hint - cost);
        }

        double expected(double hint) {
            // Half of the time grows with the work, the other half is waiting of any kind.
            return hint <= 0 || cost <= 0 ? mean : mean * (1 + hint / cost) / 2;
        }
    }

    /** What failed connects tell of all servers of one zone together. */
    private static final class Site {
        /**
         * So many servers in a row that can't be reached tell of the site and not of themselves.
         */
        private static final int FAR = 2;

        private int unreached;
        private Server last;
        private long heardAt;
        private long backoff;
        private long nextTrial;

        boolean shut() {
            return unreached >= FAR;
        }

        void heard(long now) {
            unreached = 0;
            last = null;
            heardAt = now;
            nextTrial = 0;
        }
    }

    /** Evidence about each server, from this sidecar's own attempts and from its peers' notes. */
    private final class Health {
        /**
         * Part of the aim: what takes longer leaves no time for a second try with its own delays.
         */
        static final double LATE = 0.4;

        /** Times the calm answer: longer is rare in work of any usual spread. */
        private static final double TAIL = 4;

        /**
         * Times the calm answer: in calm about one in five takes longer, which admission makes up
         * for.
         */
        private static final double TELLING = 1.5;

        /** Notes of one server that may be chance. */
        private static final double FEW = 1;

        /** A note is an upstream's id and a weight: 1 for lateness, 2 for what hurts at once. */
        private static final int NOTE = 8;

        private static final int HEAVY = 2;
        private final Map<Integer, Site> sites = new HashMap<>();

        /**
         * Bytes that may reach peers for each own request, all receivers together: few beside a
         * request.
         */
        private static final double NOTED = 128;

        private final double noteIncome = NOTED / NOTE / settings.replicas();

        /** Of each class, over all servers, starting from a tenth of its aim. */
        private final Usual[] usual = new Usual[settings.classes().size()];

        private final long firstBackoff =
                settings.classes().stream()
                        .mapToLong(c -> c.latencyObjectiveNanos())
                        .min()
                        .orElse(1);

        /** Two of the longest aims: a late answer is still counted when the next ones come. */
        private final double window =
                4.0
                        * settings.classes().stream()
                                .mapToLong(c -> c.latencyObjectiveNanos())
                                .max()
                                .orElse(1);

        private final FadingSum trouble = new FadingSum(window);
        private double noteTokens;

        Health() {
            for (int i = 0; i < usual.length; i++) {
                usual[i] = new Usual(settings.classes().get(i).latencyObjectiveNanos() / 10.0);
            }
        }

        /**
         * When an attempt counts as late at its server. Danger: long calm answers taken for late
         * would shed for good, and one long answer is no sign where work varies.
         */
        long lateAfter(Call call) {
            return Math.max(
                    after(call, TAIL / 2),
                    (long) Math.min(TAIL * calm(call), 1.5 * LATE * call.aim));
        }

        /**
         * When an attempt tells of a crowd. Where few sidecars share a server own counts and limits
         * tell of it, and what is late; where many do, each sees little of it and has to go by
         * less.
         */
        long crowdedAfter(Call call) {
            return pattern.sparse() ? after(call, TELLING) : lateAfter(call);
        }

        private long after(Call call, double calms) {
            Usual usual = this.usual[call.request.requestClass()];
            double late =
                    Math.max(LATE * call.aim, usual.calm <= usual.mean ? calms * calm(call) : 0);
            return Math.max(Math.max(1, settings.clockGranularityNanos()), (long) late);
        }

        private double calm(Call call) {
            Usual usual = this.usual[call.request.requestClass()];
            return call.expected * Math.min(usual.calm, usual.mean) / usual.mean;
        }

        /**
         * Danger: each of many sidecars sees little of any one server, and a hung or crowded one
         * answers nothing. An attempt out for long, with nothing sent after it answered, is noted
         * at each doubling.
         */
        void watch(Call call, Attempt attempt, long wait) {
            alarms.set(
                    attempt.sentAt + wait,
                    at -> {
                        if (unanswered(attempt)) {
                            note(at, attempt.server, 1);
                            watch(call, attempt, 2 * wait);
                        }
                    });
        }

        /** The same for the fleet as a whole: what is out for so long has come upon a crowd. */
        void watchCrowd(Call call, Attempt attempt) {
            alarms.set(
                    attempt.sentAt + crowdedAfter(call),
                    at -> {
                        if (unanswered(attempt)) {
                            admission.late(at, call, attempt);
                        }
                    });
        }

        private static boolean unanswered(Attempt attempt) {
            return attempt.out && !attempt.begun && attempt.server.answeredSent <= attempt.sentAt;
        }

        /**
         * First-hand evidence: counted here, and told to the peers as far as the budget for that
         * goes.
         */
        private void note(long now, Server server, int weight) {
            count(now, server, weight);
            if (noteTokens >= 1 && settings.capabilities().gossip() && settings.replicas() > 1) {
                noteTokens--;
                byte[] note = ByteBuffer.allocate(NOTE).putLong(server.id << 16 | weight).array();
                actions.sendGossip(PolicyActions.ALL_PEERS, note);
            }
        }

        private void count(long now, Server server, int weight) {
            server.trouble.add(now, weight);
            // Peers note of the whole fleet; the mean is of what this sidecar asks.
            if (server.near) {
                trouble.add(now, weight);
            }
        }

        /**
         * A peer's note; never passed on. What is malformed or names no server listed here is
         * ignored.
         */
        void heard(long now, byte[] message) {
            if (message.length == NOTE) {
                long note = ByteBuffer.wrap(message).getLong();
                Server server = roster.servers.get(note >>> 16);
                if (server != null) {
                    count(now, server, (int) Math.min(note & 0xffff, HEAVY));
                }
            }
        }

        /**
         * The part of its turns that a server takes: all, unless more is noted of it than of the
         * others. Danger: a trouble common to all would empty the pattern; what is noted of all
         * alike does nothing.
         */
        double share(long now, Server server) {
            double mean = trouble.value(now) / pattern.size();
            double part = (mean + FEW) / (server.trouble.value(now) + FEW);
            return part >= 1 ? 1 : part * part;
        }

        /**
         * Shut by a failed connect, which costs a request the connect time-out; opens for rare
         * trials.
         */
        boolean open(long now, Server server) {
            return now >= server.nextTrial && now >= site(server).nextTrial;
        }

        private Site site(Server server) {
            return sites.computeIfAbsent(server.entry.zone(), zone -> new Site());
        }

        /**
         * Danger: a site that is cut off costs each of many sidecars the connect time-out at each
         * of its servers, over and over, for every trial of a server is one. Where servers in a row
         * can't be reached and there are others elsewhere, the site as a whole is tried as one
         * server would be.
         */
        private void unreachable(long now, Attempt attempt) {
            Site site = site(attempt.server);
            if (attempt.server == site.last
                    || attempt.sentAt < site.heardAt
                    || roster.ready.stream().noneMatch(other -> site(other) != site)) {
                return;
            }
            site.last = attempt.server;
            if (++site.unreached == Site.FAR) {
                actions.log("site " + attempt.server.entry.zone() + " shut out: no connection");
                site.backoff = firstBackoff / 2;
            }
            if (site.shut()) {
                site.backoff = Math.min(2 * site.backoff, 8 * firstBackoff);
                site.nextTrial = now + site.backoff;
            }
        }

        /** While its site is shut no other trial follows this one at once. */
        void tried(long now, Server server) {
            Site site = site(server);
            if (site.shut()) {
                site.nextTrial = now + site.backoff;
            }
        }

        /** What could not be reached together with its site is tried again at once. */
        private void reached(long now, Server server) {
            Site site = site(server);
            if (site.shut()) {
                actions.log("site " + server.entry.zone() + " answers again");
                roster.ready.stream()
                        .filter(other -> site(other) == site)
                        .forEach(other -> other.nextTrial = Math.min(other.nextTrial, now));
            }
            site.heard(now);
        }

        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED) {
                reached(now, server);
            }
            if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
                server.answeredSent = Math.max(server.answeredSent, attempt.sentAt);
                if (server.nextTrial > 0) {
                    actions.log("upstream " + server.id + " answers again");
                }
                server.nextTrial = 0;
            }
            switch (outcome) {
                case OK ->
                        usual[call.request.requestClass()].learn(
                                now - attempt.sentAt, call.request.costHintNanos());
                case CONNECT_FAILED -> {
                    if (server.nextTrial == 0) {
                        actions.log("upstream " + server.id + " shut out: no connection");
                        server.backoff = firstBackoff / 2;
                    }
                    server.backoff = Math.min(2 * server.backoff, 8 * firstBackoff);
                    server.nextTrial = now + server.backoff;
                    note(now, server, HEAVY);
                    unreachable(now, attempt);
                }
                case ERROR -> note(now, server, HEAVY);
                case RESET, REJECTED -> note(now, server, 1);
                default -> {}
            }
        }
    }

    /** One tenant's held work and what it has had lately of its quota. */
    private static final class Share {
        /** Newest first. Danger: first-in first-out under overload makes every answer late. */
        private final ArrayDeque<Call> held = new ArrayDeque<>();

        private final double portion;
        private final double quota;
        private final FadingSum spent;
        private final FadingSum asked;
        private long skippedAt;

        Share(Tenant tenant, double window, double longer) {
            this.portion = tenant.fairShare();
            this.quota = tenant.quotaPerSecond() > 0 ? tenant.quotaPerSecond() : 1;
            this.spent = new FadingSum(window);
            this.asked = new FadingSum(longer);
        }

        /**
         * How many times its part of all that was asked for it has asked for lately; at least once.
         *
         * @param chance work that may have come by chance
         */
        double over(long now, double all, double chance) {
            return Math.max(1, (asked.value(now) + chance) / (portion * all + chance));
        }

        double used(long now) {
            return spent.value(now) / quota;
        }
    }

    /** Learned concurrency limits, held work, refusals, and the budget of further attempts. */
    private final class Admission {
        /**
         * Room for two-choice to act; many sidecars start together, so no more before anything is
         * known.
         */
        static final double FIRST_LIMIT = 2;

        /** Enough that a jam of later tries does not unseat the first ones at once. */
        private static final int MANY_VOTES = 1000;

        private final Share[] shares = new Share[Math.max(1, settings.tenants().size())];
        private int held;
        private long drains;
        private final long[] firstLeft = new long[settings.classes().size()];
        private final int[] firstVotes = new int[settings.classes().size()];
        private long busyUntil;
        private boolean drainSet;

        /**
         * The part that one late attempt takes; won back by quarters of it, after three in full.
         */
        private static final double CUT = 0.1;

        /** Requests of a tenant that may have come together by chance. */
        private static final double CHANCE = 4;

        /** Windows of evidence after which nothing is left of what was lost. */
        private static final double EASE = 2;

        /** One cut over the whole at most: a rare late answer sheds nothing. */
        private double admitted = 1 + CUT;

        private boolean shedding;
        private long easedAt;
        private int inTime;
        private double ration = random.nextDouble();
        private double retryTokens = 1; // many sidecars start together

        Admission() {
            for (int i = 0; i < shares.length; i++) {
                Tenant tenant =
                        settings.tenants().isEmpty() ? new Tenant(1, 1) : settings.tenants().get(i);
                // Four aims: long against answers, short against a burst of some seconds.
                shares[i] =
                        new Share(
                                tenant,
                                4.0 * settings.classes().get(0).latencyObjectiveNanos(),
                                roster.asked.window);
            }
        }

        /**
         * Time the client has spent on earlier tries. First tries have the same part of the
         * deadline left, the commonest (until two of three differ); any other value tells the time
         * spent.
         */
        long elapsed(RequestInfo request) {
            int kind = request.requestClass();
            long left = request.remainingNanos();
            if (Math.abs(left - firstLeft[kind]) <= 2 * settings.clockGranularityNanos()) {
                firstVotes[kind] = Math.min(firstVotes[kind] + 2, MANY_VOTES);
                return 0;
            }
            if (--firstVotes[kind] < 0) {
                firstLeft[kind] = left;
                firstVotes[kind] = 0;
                return 0;
            }
            return Math.max(0, settings.classes().get(kind).deadlineNanos() - left);
        }

        /** Sends a request now, or holds it while it can still be answered within its aim. */
        void admit(long now, Call call) {
            if (call.attempts.isEmpty()) {
                retryTokens =
                        Math.min(20, retryTokens + 0.2); // a fifth more work, and a short burst
                health.noteTokens = Math.min(2, health.noteTokens + health.noteIncome);
            }
            if (now >= call.deadline || roster.ready.isEmpty() || shed(now, call)) {
                ledger.answer(call);
                return;
            }
            boolean worthless = call.attempts.isEmpty() && now + call.expected / 2 >= call.aimAt;
            if (worthless && now < busyUntil) {
                ledger.answer(call);
            } else if (held > 0 || !place(now, call)) {
                busyUntil = now + call.aim;
                call.held = true;
                share(call).held.push(call);
                held++;
                long hopeless =
                        call.aimAt - (long) (1.5 * call.expected); // later, half would be late
                alarms.set(
                        Math.max(now + 1, hopeless),
                        at -> {
                            if (call.held) {
                                ledger.answer(call);
                            }
                        });
                drainSoon(now, call);
                drain(now);
            }
        }

        /**
         * Danger: no limit per server binds where each of many sidecars has one request out here
         * and there, and together they queue all work past its aim for good. Lateness at a server
         * no worse than others that held nothing else of this sidecar's cuts the share of first
         * tries admitted, by the worth that lateness takes; each answer in time wins a part back.
         * Danger: cuts of one size take from what is left as much as from the whole; a second of a
         * crowd shuts each of a hundred sidecars nearly for good, together, and the servers idle.
         * So a cut is a part of what is still admitted.
         */
        void late(long now, Call call, Attempt attempt) {
            if (attempt.crowd == 0 && health.share(now, attempt.server) > 0.5) {
                inTime = 0;
                ease(now);
                move(-CUT * Math.min(1, admitted) * (1 - call.kind.lateValueFraction()));
            }
        }

        private void move(double by) {
            admitted = Math.max(CUT / 4, Math.min(1 + CUT, admitted + by));
            if (shedding ? admitted >= 1 : admitted < 0.5) {
                shedding = !shedding;
                actions.log(
                        "load shedding "
                                + (shedding ? "begins: answers come late everywhere" : "ends"));
            }
        }

        /**
         * Danger: a sidecar with little traffic wins its share back by answers in time, and gets
         * few of them because it sheds: that would outlive its cause. Without new lateness shedding
         * ends by itself.
         */
        private void ease(long now) {
            move((now - easedAt) / (EASE * health.window));
            easedAt = now;
        }

        /**
         * Load shedding, spread evenly over the first tries, but that a tenant which asks for more
         * than its part goes first: what comes beyond that is worth little.
         */
        private boolean shed(long now, Call call) {
            if (!call.attempts.isEmpty()) {
                return false;
            }
            ease(now);
            double over = share(call).over(now, roster.asked.value(now), CHANCE * call.expected);
            ration += admitted >= 1 ? admitted : Math.pow(admitted, over * over);
            return ration < 1 || ration-- < 1;
        }

        private Share share(Call call) {
            return shares[Math.min(call.request.tenant(), shares.length - 1)];
        }

        private void drainSoon(long now, Call call) {
            if (!drainSet) {
                drainSet = true;
                alarms.set(
                        now + Math.max(settings.clockGranularityNanos(), call.aim / 50),
                        at -> drainSet = false);
            }
        }

        private boolean place(long now, Call call) {
            Server server = pattern.pick(now, call, false);
            // Danger: a trouble common to all would empty the pattern. Gates that all shut do not
            // count.
            if (server == null && roster.ready.stream().noneMatch(s -> health.open(now, s))) {
                server = pattern.pick(now, call, true);
            }
            if (server == null) {
                return false;
            }
            ledger.send(now, call, server);
            share(call).spent.add(now, call.expected);
            return true;
        }

        /** Danger: what has ended below what waits would stay, be counted as held and pile up. */
        void release(Call call) {
            if (call.held) {
                call.held = false;
                share(call).held.remove(call);
                held--;
            }
        }

        /** Gives freed room to held work, of the tenant that had the least of its quota first. */
        void drain(long now) {
            drains++;
            while (held > 0) {
                Share poorest =
                        Arrays.stream(shares)
                                .filter(share -> !share.held.isEmpty() && share.skippedAt != drains)
                                .min(Comparator.comparingDouble(share -> share.used(now)))
                                .orElse(null);
                if (poorest == null) {
                    return;
                }
                Call call = poorest.held.peek();
                if (!place(now, call)) {
                    poorest.skippedAt = drains;
                    drainSoon(now, call);
                }
            }
        }

        /**
         * Danger: work given up at its deadline may stay in the server's queue, and a count that
         * forgets it refills a full queue with work that will be given up too. Such ghosts count
         * against the limit until the server answers something sent after them, or another aim has
         * passed: a server with all its room taken by ghosts gets nothing that it could answer, and
         * stays shut for that long.
         */
        boolean hasRoom(long now, Server server) {
            if (server.ghosts > 0 && now >= server.ghostUntil) {
                server.ghosts = 0;
            }
            return server.inFlight + server.ghosts < Math.max(1, (int) server.limit);
        }

        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            if (outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED) {
                server.ghosts++;
                server.ghostSent = Math.max(server.ghostSent, attempt.sentAt);
                server.ghostUntil = now + call.aim;
            } else if (outcome == Outcome.OK && attempt.sentAt >= server.ghostSent) {
                server.ghosts = 0;
            }
            if (outcome == Outcome.OK && now - attempt.sentAt < health.crowdedAfter(call)) {
                move(++inTime > 2 ? CUT : CUT / 4);
            } else if (outcome == Outcome.REJECTED) {
                late(now, call, attempt);
            }
            Usual usual = health.usual[call.request.requestClass()];
            double scaled = (now - attempt.sentAt) * usual.mean / call.expected;
            if (outcome == Outcome.REJECTED || scaled > Health.LATE * call.aim) {
                if (attempt.sentAt >= server.lastCut) {
                    server.limit = Math.max(0.1, server.limit * 0.8);
                    server.lastCut = now;
                }
            } else if (outcome == Outcome.OK && attempt.crowd + 1 >= server.limit / 2) {
                server.limit += Math.min(0.2 * server.limit, 1 / server.limit); // one a round trip
            }
        }

        /** Proven non-runs cost no work and need no token. */
        boolean worthRetry(long now, Call call, boolean mayHaveRun) {
            boolean worth = now < call.aimAt && (!mayHaveRun || retryTokens >= 1);
            retryTokens -= worth && mayHaveRun ? 1 : 0;
            return worth;
        }
    }

    /** Alarms of the module behind one timer of the host. */
    private final class Alarms {
        private record Alarm(long at, long serial, LongConsumer what) {}

        private record Timer(long token, long at) {}

        private final PriorityQueue<Alarm> queue =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.serial, b.serial));

        /**
         * The host's timers that have not rung yet; each is for an earlier time than the one below
         * it.
         */
        private final ArrayDeque<Timer> timers = new ArrayDeque<>();

        private long serials;
        private long lastToken;

        void set(long at, LongConsumer what) {
            queue.add(new Alarm(at, serials++, what));
        }

        void flush() {
            if (!queue.isEmpty() && (timers.isEmpty() || queue.peek().at < timers.peek().at)) {
                timers.push(new Timer(++lastToken, queue.peek().at));
                actions.setTimer(lastToken, queue.peek().at);
            }
        }

        /**
         * Danger: a coarse host clock may ring early; told by its time, the one timer would be
         * lost.
         */
        void ring(long now, long token) {
            timers.removeIf(timer -> timer.token == token);
            while (!queue.isEmpty() && queue.peek().at <= now) {
                queue.poll().what.accept(now);
            }
        }
    }
}
