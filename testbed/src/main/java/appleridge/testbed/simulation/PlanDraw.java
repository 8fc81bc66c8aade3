package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Draws the plan of a seed: its parameters, of which a few are unusual, the enabled kinds of fault,
 * and the faults. The order of the draws is part of the result: another order gives other plans.
 */
final class PlanDraw {
    private static final long S = Site.SECOND;
    private static final long MS = Site.MS;
    private static final long US = 1000;

    /** Minimum expected number of requests on a day. */
    private static final int MIN_REQUESTS = 400;

    private static final int MIN_STATE_FAULTS = 16;
    private static final int STATE_FAULTS_SPREAD = 22;

    /**
     * The states for state triggers. States that few requests enter, or that are short, are listed
     * several times and so drawn more often.
     */
    private static final List<RequestState> WEIGHTED_STATES =
            Stream.concat(
                            Arrays.stream(RequestState.values()),
                            Stream.of(
                                    RequestState.ARRIVING,
                                    RequestState.CONNECTING,
                                    RequestState.WRITING,
                                    RequestState.WRITING,
                                    RequestState.ANSWERING,
                                    RequestState.ANSWERED,
                                    RequestState.RESEND_HELD,
                                    RequestState.RESEND_HELD,
                                    RequestState.RESEND_CONNECTING,
                                    RequestState.RESEND_WRITING,
                                    RequestState.RESEND_WRITING,
                                    RequestState.RESEND_WRITING,
                                    RequestState.RESEND_ANSWERING))
                    .toList();

    /** Maximum ordinal of the visit that triggers a fault in states of resends: few are made. */
    private static final int MAX_VISIT_RESEND = 3;

    /** The same, for states that few requests enter. */
    private static final int MAX_VISIT_RARE = 8;

    /** The same, for all other states. */
    private static final int MAX_VISIT_COMMON = 60;

    /**
     * Fraction of the days with ephemeral nodes. Zero, because some of these days break invariants
     * for reasons not yet understood; a scenario selects such a day with {@code set membership}.
     */
    private static final double EPHEMERAL_NODE_DAYS = 0;

    /** Fraction of the days on which clients use up a small budget of buffered bytes. */
    private static final double SMALL_BUFFER_DAYS = 0.1;

    /** Fraction of the days with clients that send long requests and disconnect. */
    private static final double DEPARTING_DAYS = 0.15;

    /** Fraction of the days on which lists are pushed, with outages around restarts and drains. */
    private static final double PUSHED_LIST_DAYS = 0.1;

    /** What the head of a request occupies in a sidecar beside its body, about. */
    private static final long HEAD_MEMORY_BYTES = 3000;

    private final long seed;
    private final SeededRandom parameterRandom;
    private final SeededRandom faultRandom;
    private final Map<ScenarioParameter, Long> sizes = new EnumMap<>(ScenarioParameter.class);
    private final SeededRandom stageRandom;
    private final StagedCombination stage;

    PlanDraw(long seed) {
        this.seed = seed;
        SeededRandom all = new SeededRandom(seed);
        this.parameterRandom = all.stream("plan.sizes");
        this.faultRandom = all.stream("plan.faults");
        this.stageRandom = all.stream("plan.stage");
        this.stage = StagedCombination.draw(stageRandom);
    }

    Plan draw() {
        drawDay();
        drawClients();
        drawServers();
        drawLimits();
        drawNetwork();
        drawDiscovery();
        drawWindow();
        drawKnown();
        stage.sizes(stageRandom, sizes);
        List<Fault> faults = drawFaults();
        faults.addAll(stage.faults(stageRandom, sizes));
        faults.addAll(drawMembership());
        faults.addAll(drawBuffers());
        faults.addAll(drawDeparting());
        drawPushedLists(faults);
        return new Plan(seed, sizes, faults);
    }

    private void drawDay() {
        drawBetween(ScenarioParameter.SIDECARS, 3, 3);
        if (parameterRandom.hits(0.1)) {
            drawBetween(ScenarioParameter.SIDECARS, 1, 5);
        }
        drawBetween(ScenarioParameter.SERVERS, 6, 10);
        drawBetween(ScenarioParameter.FAULTS_END, 6 * S, 13 * S);
        stage.length(stageRandom, sizes);
        double seconds =
                (size(ScenarioParameter.FAULTS_END)
                                + ScenarioParameter.RECOVERY.defaultValue()
                                + size(ScenarioParameter.CALM))
                        / (double) S;
        sizes.put(
                ScenarioParameter.RATE,
                ScenarioParameter.part((MIN_REQUESTS + parameterRandom.nextInt(140)) / seconds));
        drawBetween(
                ScenarioParameter.UNEVEN, ScenarioParameter.part(0.15), ScenarioParameter.part(1));
        drawBetween(ScenarioParameter.BURSTS, 0, ScenarioParameter.part(0.6));
    }

    private void drawClients() {
        drawBetween(ScenarioParameter.RETRIES, 0, 2);
        drawBetween(ScenarioParameter.BACKOFF, 10 * MS, 80 * MS);
        drawBetween(
                ScenarioParameter.HONOUR, ScenarioParameter.part(0.8), ScenarioParameter.part(1));
        drawWithProbability(
                ScenarioParameter.IMPATIENT,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
        drawWithProbability(
                ScenarioParameter.SLOW_READERS,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
        drawBetween(
                ScenarioParameter.SLOW_WRITERS,
                ScenarioParameter.part(0.1),
                ScenarioParameter.part(0.4));
        drawWithProbability(
                ScenarioParameter.PIPELINED,
                0.2,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.15));
        drawWithProbability(
                ScenarioParameter.ASK_ONCE,
                0.2,
                ScenarioParameter.part(0.05),
                ScenarioParameter.part(0.5));
        drawWithProbability(
                ScenarioParameter.LARGE_BODIES,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
    }

    private void drawServers() {
        drawBetween(ScenarioParameter.CORES, 1, 3);
        drawBetween(ScenarioParameter.QUEUE, 9, 72);
        drawWithProbability(ScenarioParameter.QUEUE, 0.1, 0, 4);
        drawBetween(ScenarioParameter.CONNECTIONS, 360, 450);
        drawWithProbability(ScenarioParameter.CONNECTIONS, 0.1, 4, 20);
        drawBetween(ScenarioParameter.HANDSHAKE, 3100 * US, 6000 * US);
        drawWithProbability(ScenarioParameter.SERVER_IDLE, 0.15, 100 * MS, 3 * S);
        drawWithProbability(
                ScenarioParameter.DROPS_EXPIRED,
                0.3,
                ScenarioParameter.part(0.3),
                ScenarioParameter.part(1));
        drawWithProbability(
                ScenarioParameter.CHUNKED,
                0.3,
                ScenarioParameter.part(0.2),
                ScenarioParameter.part(1));
        drawWithProbability(
                ScenarioParameter.LARGE_ANSWERS,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
        drawBetween(ScenarioParameter.ERRORS, 0, ScenarioParameter.part(0.003));
        drawWithProbability(
                ScenarioParameter.ERRORS,
                0.15,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.3));
        drawWithProbability(
                ScenarioParameter.SPOILT,
                0.2,
                ScenarioParameter.part(0.01),
                ScenarioParameter.part(0.15));
        drawWithProbability(
                ScenarioParameter.EXTRAS,
                0.25,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.3));
        drawBetween(ScenarioParameter.REPORT_AGE, 49 * MS, 410 * MS);
    }

    private void drawLimits() {
        drawBetween(ScenarioParameter.SOCKETS, 256, 1024);
        drawWithProbability(ScenarioParameter.SOCKETS, 0.1, 64, 100);
        drawWithProbability(ScenarioParameter.MAX_OPEN, 0.1, 8, 24);
        drawWithProbability(ScenarioParameter.CONN_IDLE, 0.1, 300 * MS, 60 * S);
        drawWithProbability(ScenarioParameter.CONNECT_TIMEOUT, 0.15, 30 * MS, 1 * S);
        drawWithProbability(ScenarioParameter.RETRY_AFTER, 0.5, 0, 0);
        drawWithProbability(ScenarioParameter.ASK_WITHIN, 0.15, 4 * S, 20 * S);
        drawWithProbability(ScenarioParameter.KNOWN_AGE, 0.4, 1 * S, 600 * S);
        drawBetween(ScenarioParameter.START, 200 * MS, 1500 * MS);
    }

    private void drawNetwork() {
        drawBetween(ScenarioParameter.CLIENT_DELAY, 40 * US, 100 * US);
        drawBetween(ScenarioParameter.NEAR_DELAY, 160 * US, 320 * US);
        drawBetween(ScenarioParameter.FAR_DELAY, 420 * US, 780 * US);
        drawBetween(
                ScenarioParameter.JITTER,
                ScenarioParameter.part(0.069),
                ScenarioParameter.part(0.35));
        boolean far = parameterRandom.hits(0.1);
        if (far) {
            drawBetween(ScenarioParameter.FAR_DELAY, 2 * MS, 8 * MS);
        } else {
            drawWithProbability(
                    ScenarioParameter.JITTER,
                    0.1,
                    ScenarioParameter.part(1),
                    ScenarioParameter.part(5));
        }
        drawWithProbability(
                ScenarioParameter.CHOPPED,
                0.25,
                ScenarioParameter.part(0.05),
                ScenarioParameter.part(0.4));
        drawWithProbability(
                ScenarioParameter.LOSS,
                0.15,
                ScenarioParameter.part(0.001),
                ScenarioParameter.part(0.01));
        drawWithProbability(ScenarioParameter.BANDWIDTH, 0.1, 1_000_000, 5_000_000);

        // Small buffers with a long delay would make every large message miss its deadline.
        drawWithProbability(ScenarioParameter.SEND_BUFFER, far ? 0 : 0.15, 256, 4096);
        drawWithProbability(ScenarioParameter.RECEIVE_BUFFER, far ? 0 : 0.15, 256, 4096);
        if (!far && parameterRandom.hits(0.55)) {

            // Both buffers together hold less than any request, so that writing each one takes a

            // while.
            drawBetween(ScenarioParameter.SEND_BUFFER, 64, 120);
            drawBetween(ScenarioParameter.RECEIVE_BUFFER, 64, 120);
        }
        drawBetween(ScenarioParameter.TASK_COST, 0, 60 * US);
        drawBetween(ScenarioParameter.READ_COST, 0, 30 * US);
        drawBetween(ScenarioParameter.CLOCK_COST, 0, 1 * US);
        drawWithProbability(ScenarioParameter.CLOCK_COST, 0.1, 10 * US, 200 * US);
        drawWithProbability(ScenarioParameter.TASK_COST, 0.05, 100 * US, 300 * US);
    }

    private void drawDiscovery() {
        drawBetween(ScenarioParameter.NOTICE, 200 * MS, 3 * S);
        drawBetween(ScenarioParameter.SILENT_NOTICE, 2 * S, 6 * S);
        drawBetween(ScenarioParameter.ADD_NOTICE, 460 * MS, 2100 * MS);
        drawBetween(ScenarioParameter.CALL_COST, 5 * MS, 250 * MS);
    }

    private void drawWindow() {
        SeededRandom own = new SeededRandom(seed).stream("plan.window");
        if (own.hits(0.3)) {
            sizes.put(ScenarioParameter.KEY_WINDOW, own.between(100 * MS, 900 * MS));
        }
    }

    private void drawKnown() {
        if (new SeededRandom(seed).stream("plan.known").hits(0.1)) {
            sizes.put(ScenarioParameter.KNOWN, 0L);
        }
    }

    /**
     * Draws ephemeral nodes and their faults for some days, from an own stream so that all other
     * draws stay the same.
     */
    private List<Fault> drawMembership() {
        SeededRandom own = new SeededRandom(seed).stream("plan.membership");
        List<Fault> faults = new ArrayList<>();
        if (!own.hits(EPHEMERAL_NODE_DAYS)) {
            return faults;
        }
        sizes.put(ScenarioParameter.MEMBERSHIP, own.between(1, 2));
        sizes.put(ScenarioParameter.SESSION_TIMEOUT, millis(own.between(500 * MS, 4 * S)));
        boolean wiped = own.hits(0.35);
        List<FaultKind> kinds =
                Arrays.stream(FaultKind.values())
                        .filter(
                                kind ->
                                        kind.affectsCoordination()
                                                && (wiped || kind != FaultKind.NODES_WIPED))
                        .toList();
        int timed = own.nextInt(7);
        for (int i = 0; i < timed; i++) {
            FaultTrigger trigger =
                    FaultTrigger.time(
                            millis(own.between(S, size(ScenarioParameter.FAULTS_END) - S)));
            faults.add(fault(trigger, own.pick(kinds)));
        }
        int stateTriggered = own.nextInt(6);
        for (int i = 0; i < stateTriggered; i++) {
            faults.add(fault(stateTrigger(own.pick(WEIGHTED_STATES)), own.pick(kinds)));
        }
        return faults;
    }

    /**
     * Draws a small budget of buffered bytes for some days, and clients that use it up: many at
     * once, with long bodies, some of them pipelined, before servers of which some hang. Uses an
     * own stream so that all other draws stay the same.
     */
    private List<Fault> drawBuffers() {
        SeededRandom own = new SeededRandom(seed).stream("plan.buffers");
        List<Fault> faults = new ArrayList<>();
        if (!own.hits(SMALL_BUFFER_DAYS)) {
            return faults;
        }
        long longestRequest = new Plan(seed, sizes, faults).maxBodyBytes() + HEAD_MEMORY_BYTES;
        sizes.put(ScenarioParameter.BUFFER_BUDGET, longestRequest * own.between(8, 24));
        sizes.put(
                ScenarioParameter.LARGE_BODIES,
                own.between(ScenarioParameter.part(0.3), ScenarioParameter.part(1)));
        sizes.put(
                ScenarioParameter.LARGE_ANSWERS,
                own.between(ScenarioParameter.part(0.1), ScenarioParameter.part(0.6)));
        sizes.put(
                ScenarioParameter.PIPELINED,
                own.between(ScenarioParameter.part(0.1), ScenarioParameter.part(0.5)));
        for (long i = own.between(1, 4); i > 0; i--) {
            faults.add(bufferFault(own, FaultKind.FLOOD));
            faults.add(bufferFault(own, FaultKind.BAD));
            faults.add(bufferFault(own, own.pick(List.of(FaultKind.HANG, FaultKind.UP_STALL))));
        }
        return faults;
    }

    /**
     * Draws a day on which clients send long requests, some of them pipelined, and disconnect,
     * before servers of which some hang or accept no connection. Uses an own stream so that all
     * other draws stay the same.
     */
    private List<Fault> drawDeparting() {
        SeededRandom own = new SeededRandom(seed).stream("plan.departing");
        List<Fault> faults = new ArrayList<>();
        if (!own.hits(DEPARTING_DAYS)) {
            return faults;
        }
        sizes.put(
                ScenarioParameter.DEPARTING,
                own.between(ScenarioParameter.part(0.05), ScenarioParameter.part(0.4)));
        sizes.put(
                ScenarioParameter.PIPELINED,
                own.between(ScenarioParameter.part(0.05), ScenarioParameter.part(0.5)));
        sizes.put(ScenarioParameter.CONNECT_TIMEOUT, own.between(100 * MS, 600 * MS));
        for (long i = own.between(1, 4); i > 0; i--) {
            faults.add(bufferFault(own, own.pick(List.of(FaultKind.HANG, FaultKind.UP_STALL))));
        }
        return faults;
    }

    private Fault bufferFault(SeededRandom own, FaultKind kind) {
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        for (FaultParameter each : kind.params()) {
            values.put(
                    each,
                    switch (each) {
                        case RATE -> ScenarioParameter.part(100 + own.nextInt(200));
                        case COUNT -> own.between(2, 30);
                        default -> millis(own.between(300 * MS, 2 * S));
                    });
        }
        String style =
                kind == FaultKind.BAD
                        ? FaultKind.word(
                                own.pick(
                                        List.of(
                                                BadClientKind.LONG_REQUESTS,
                                                BadClientKind.LONG_REQUESTS,
                                                BadClientKind.MANY_HEADERS)))
                        : null;
        if (kind.requiresRequest()) {
            FaultTrigger trigger =
                    new FaultTrigger(0, RequestState.WRITING, 1 + own.nextInt(MAX_VISIT_COMMON));
            return new Fault(trigger, kind, null, style, values);
        }
        boolean server = kind.target() == FaultKind.Target.SERVER;
        long count = size(server ? ScenarioParameter.SERVERS : ScenarioParameter.SIDECARS);
        return new Fault(
                FaultTrigger.time(millis(own.between(S, size(ScenarioParameter.FAULTS_END) - S))),
                kind,
                (server ? "s" : "n") + own.nextInt((int) count),
                style,
                values);
    }

    /**
     * Draws a day on which lists are pushed to an agent, which answers at once or, while discovery
     * is down, not at all. In place of the day's other faults, servers drain around outages in
     * which sidecars restart, pause or get a new configuration. Uses an own stream so that all
     * other draws stay the same.
     */
    private void drawPushedLists(List<Fault> faults) {
        SeededRandom own = new SeededRandom(seed).stream("plan.pushed");
        if (!own.hits(PUSHED_LIST_DAYS)) {
            return;
        }
        faults.clear();
        sizes.put(ScenarioParameter.LISTS_PUSHED, 1L);
        sizes.put(ScenarioParameter.DRAIN_GRACE, millis(own.between(300 * MS, 2 * S)));
        sizes.put(ScenarioParameter.CALL_COST, 0L);
        sizes.put(ScenarioParameter.KNOWN, 1L);
        sizes.put(ScenarioParameter.KNOWN_AGE, millis(own.between(0, 5 * S)));
        sizes.put(ScenarioParameter.LOSS, 0L);
        for (long i = own.between(1, 3); i > 0; i--) {
            drawOutage(own, faults);
        }
    }

    private void drawOutage(SeededRandom own, List<Fault> faults) {
        long begin = own.between(2 * S, size(ScenarioParameter.FAULTS_END) - 2 * S);
        FaultKind outage =
                own.pick(List.of(FaultKind.LIST_DOWN, FaultKind.LIST_HANG, FaultKind.LIST_503));
        faults.add(timed(begin, outage, null, FaultParameter.FOR, own.between(300 * MS, 8 * S)));
        String sidecar = "n" + own.nextInt((int) size(ScenarioParameter.SIDECARS));
        long disrupted = begin + own.between(-S, S);
        switch (own.nextInt(4)) {
            case 0 ->
                    faults.add(
                            timed(
                                    disrupted,
                                    FaultKind.PAUSE,
                                    sidecar,
                                    FaultParameter.FOR,
                                    own.between(200 * MS, 4 * S)));
            case 1 ->
                    faults.add(
                            new Fault(
                                    FaultTrigger.time(millis(disrupted)),
                                    FaultKind.MOVE,
                                    null,
                                    null,
                                    new TreeMap<>()));
            default ->
                    faults.add(
                            timed(
                                    disrupted,
                                    FaultKind.KILL,
                                    sidecar,
                                    FaultParameter.DOWN,
                                    own.between(50 * MS, S)));
        }
        // Discovery notices a drain only some time after it began.
        long drained = begin + own.between(-2 * S, S) - size(ScenarioParameter.NOTICE);
        String server = "s" + own.nextInt((int) size(ScenarioParameter.SERVERS));
        faults.add(
                timed(
                        Math.max(S, drained),
                        FaultKind.DRAIN,
                        server,
                        FaultParameter.DOWN,
                        own.between(2 * S, 4 * S)));
    }

    private static Fault timed(
            long at, FaultKind kind, String who, FaultParameter parameter, long value) {
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        values.put(parameter, millis(value));
        return new Fault(FaultTrigger.time(millis(at)), kind, who, null, values);
    }

    /** Enables some kinds of fault for the day, and draws the faults from these. */
    private List<Fault> drawFaults() {
        SeededRandom random = faultRandom;
        double probability = random.pick(List.of(0.1, 0.25, 0.5, 1.0));
        List<FaultKind> enabled = new ArrayList<>();
        for (FaultKind each : FaultKind.values()) {
            if (!each.affectsCoordination() && random.hits(probability)) {
                enabled.add(each);
            }
        }
        List<Fault> faults = new ArrayList<>();
        if (enabled.isEmpty()) {
            return faults;
        }
        int timed = random.nextInt(7);
        for (int i = 0; i < timed; i++) {
            FaultKind kind = random.pick(enabled);
            if (!kind.requiresRequest()) {
                long latest = size(ScenarioParameter.FAULTS_END) - S;
                faults.add(fault(FaultTrigger.time(millis(random.between(S, latest))), kind));
            }
        }
        int stateTriggered = MIN_STATE_FAULTS + random.nextInt(STATE_FAULTS_SPREAD);
        for (int i = 0; i < stateTriggered; i++) {
            RequestState state = random.pick(WEIGHTED_STATES);
            List<FaultKind> applicable =
                    enabled.stream().filter(kind -> kind.isWorthInjecting(state)).toList();
            if (!applicable.isEmpty()) {
                faults.add(fault(stateTrigger(state), random.pick(applicable)));
            }
        }
        return faults;
    }

    private FaultTrigger stateTrigger(RequestState state) {
        SeededRandom random = faultRandom;
        int maxVisit =
                state.isResend()
                        ? MAX_VISIT_RESEND
                        : switch (state) {
                            case CONNECTING, HELD -> MAX_VISIT_RARE;
                            default -> MAX_VISIT_COMMON;
                        };
        long after =
                switch (random.nextInt(4)) {
                    case 0 -> random.nextLong(2 * MS);
                    case 1 -> random.nextLong(100 * MS);
                    default -> 0;
                };
        return new FaultTrigger(after - after % US, state, 1 + random.nextInt(maxVisit));
    }

    private Fault fault(FaultTrigger trigger, FaultKind kind) {
        SeededRandom random = faultRandom;
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        for (FaultParameter each : kind.params()) {
            values.put(each, value(kind, each));
        }
        List<String> styles = kind.drawnStyles();
        String style = styles.isEmpty() ? null : random.pick(styles);
        String who = null;
        boolean own = trigger.waitsForRequest() && random.hits(0.9);
        if (!own) {
            who =
                    switch (kind.target()) {
                        case SERVER -> "s" + random.nextInt((int) size(ScenarioParameter.SERVERS));
                        case SIDECAR ->
                                "n" + random.nextInt((int) size(ScenarioParameter.SIDECARS));
                        case ZONE -> random.pick(Site.ZONES);
                        default -> null;
                    };
        }
        return new Fault(trigger, kind, who, style, values);
    }

    private long value(FaultKind kind, FaultParameter param) {
        SeededRandom random = faultRandom;
        return switch (param) {
            case FOR ->
                    switch (kind) {
                        case PAUSE ->
                                random.hits(0.3)
                                        ? millis(random.between(2 * S, 8 * S))
                                        : millis(random.between(5 * MS, 600 * MS));
                        case FLOOD -> millis(random.between(500 * MS, 2 * S));
                        default -> millis(random.between(200 * MS, 6 * S));
                    };
            case DOWN -> millis(random.between(100 * MS, 4 * S));
            case BY ->
                    switch (kind) {
                        case WALL_STEP -> millis(random.between(-20 * S, 20 * S));
                        case LIST_STALE -> millis(random.between(S, 10 * S));
                        case LIST_FLAPS, NODE_FLAPS -> millis(random.between(20 * MS, 900 * MS));
                        case NODES_LAG, NODES_SLOW -> millis(random.between(100 * MS, 4 * S));
                        default -> millis(random.between(5 * MS, 300 * MS));
                    };
            case FACTOR -> ScenarioParameter.part(2 + random.nextInt(80) / 10.0);
            case RATE -> ScenarioParameter.part(20 + random.nextInt(60));
            case COUNT ->
                    switch (kind) {
                        case FAILING -> random.between(50, 1000);
                        case NO_DESCRIPTORS -> random.between(0, 8);
                        case LINK_CHOPPED -> random.between(1, 40);
                        default -> random.between(1, 4);
                    };
            case BYTES ->
                    kind == FaultKind.LINK_THIN
                            ? random.between(10_000, 200_000)
                            : random.between(0, 400);
        };
    }

    private void drawBetween(ScenarioParameter parameter, long low, long high) {
        sizes.put(parameter, parameterRandom.between(low, high));
    }

    private void drawWithProbability(
            ScenarioParameter parameter, double probability, long low, long high) {
        if (parameterRandom.hits(probability)) {
            drawBetween(parameter, low, high);
        }
    }

    private long size(ScenarioParameter parameter) {
        return sizes.getOrDefault(parameter, parameter.defaultValue());
    }

    /** Rounds down to whole milliseconds, which keeps scenarios readable. */
    private static long millis(long nanos) {
        return nanos - nanos % MS;
    }
}
