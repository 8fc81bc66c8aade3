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
 * Draws a day from a seed: usual sizes with some unusual ones, the kinds of fault that are on, the
 * faults.
 */
final class PlanDraw {
    private static final long S = Site.SECOND;
    private static final long MS = Site.MS;
    private static final long US = 1000;

    /** How much of the traffic of a day is to come at least, with room for chance. */
    private static final int LEAST_REQUESTS = 400;

    private static final int LEAST_TRAPS = 16;
    private static final int MORE_TRAPS = 22;

    /** Those that many days have few of, or for short times only, come more often. */
    private static final List<RequestState> STATES =
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

    /** Later visits of a state than this are too rare to be waited for. */
    private static final int RARE = 3;

    private static final int SELDOM = 8;
    private static final int COMMON = 60;

    /**
     * Part of the days on which servers are learned of from nodes. None yet: some of these days
     * break rules that are not understood; a scenario plays them with {@code set membership}.
     */
    private static final double NODE_DAYS = 0;

    private final long seed;
    private final SeededRandom sizeChance;
    private final SeededRandom faultChance;
    private final Map<ScenarioParameter, Long> sizes = new EnumMap<>(ScenarioParameter.class);
    private final SeededRandom stageChance;
    private final StagedCombination stage;

    PlanDraw(long seed) {
        this.seed = seed;
        SeededRandom all = new SeededRandom(seed);
        this.sizeChance = all.stream("plan.sizes");
        this.faultChance = all.stream("plan.faults");
        this.stageChance = all.stream("plan.stage");
        this.stage = StagedCombination.draw(stageChance);
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
        stage.sizes(stageChance, sizes);
        List<Fault> faults = drawFaults();
        faults.addAll(stage.faults(stageChance, sizes));
        faults.addAll(drawMembership());
        return new Plan(seed, sizes, faults);
    }

    private void drawDay() {
        between(ScenarioParameter.SIDECARS, 3, 3);
        if (sizeChance.hits(0.1)) {
            between(ScenarioParameter.SIDECARS, 1, 5);
        }
        between(ScenarioParameter.SERVERS, 6, 10);
        between(ScenarioParameter.FAULTS_END, 6 * S, 13 * S);
        stage.length(stageChance, sizes);
        double seconds =
                (size(ScenarioParameter.FAULTS_END)
                                + ScenarioParameter.RECOVERY.usual()
                                + size(ScenarioParameter.CALM))
                        / (double) S;
        sizes.put(
                ScenarioParameter.RATE,
                ScenarioParameter.part((LEAST_REQUESTS + sizeChance.nextInt(140)) / seconds));
        between(ScenarioParameter.UNEVEN, ScenarioParameter.part(0.15), ScenarioParameter.part(1));
        between(ScenarioParameter.BURSTS, 0, ScenarioParameter.part(0.6));
    }

    private void drawClients() {
        between(ScenarioParameter.RETRIES, 0, 2);
        between(ScenarioParameter.BACKOFF, 10 * MS, 80 * MS);
        between(ScenarioParameter.HONOUR, ScenarioParameter.part(0.8), ScenarioParameter.part(1));
        seldom(
                ScenarioParameter.IMPATIENT,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
        seldom(
                ScenarioParameter.SLOW_READERS,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
        between(
                ScenarioParameter.SLOW_WRITERS,
                ScenarioParameter.part(0.1),
                ScenarioParameter.part(0.4));
        seldom(
                ScenarioParameter.PIPELINED,
                0.2,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.15));
        seldom(
                ScenarioParameter.ASK_ONCE,
                0.2,
                ScenarioParameter.part(0.05),
                ScenarioParameter.part(0.5));
        seldom(
                ScenarioParameter.LARGE_BODIES,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
    }

    private void drawServers() {
        between(ScenarioParameter.CORES, 1, 3);
        between(ScenarioParameter.QUEUE, 9, 72);
        seldom(ScenarioParameter.QUEUE, 0.1, 0, 4);
        between(ScenarioParameter.CONNECTIONS, 360, 450);
        seldom(ScenarioParameter.CONNECTIONS, 0.1, 4, 20);
        between(ScenarioParameter.HANDSHAKE, 3100 * US, 6000 * US);
        seldom(ScenarioParameter.SERVER_IDLE, 0.15, 100 * MS, 3 * S);
        seldom(
                ScenarioParameter.DROPS_EXPIRED,
                0.3,
                ScenarioParameter.part(0.3),
                ScenarioParameter.part(1));
        seldom(
                ScenarioParameter.CHUNKED,
                0.3,
                ScenarioParameter.part(0.2),
                ScenarioParameter.part(1));
        seldom(
                ScenarioParameter.LARGE_ANSWERS,
                0.3,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.2));
        between(ScenarioParameter.ERRORS, 0, ScenarioParameter.part(0.003));
        seldom(
                ScenarioParameter.ERRORS,
                0.15,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.3));
        seldom(
                ScenarioParameter.SPOILT,
                0.2,
                ScenarioParameter.part(0.01),
                ScenarioParameter.part(0.15));
        seldom(
                ScenarioParameter.EXTRAS,
                0.25,
                ScenarioParameter.part(0.02),
                ScenarioParameter.part(0.3));
        between(ScenarioParameter.REPORT_AGE, 49 * MS, 410 * MS);
    }

    private void drawLimits() {
        between(ScenarioParameter.SOCKETS, 256, 1024);
        seldom(ScenarioParameter.SOCKETS, 0.1, 64, 100);
        seldom(ScenarioParameter.MAX_OPEN, 0.1, 8, 24);
        seldom(ScenarioParameter.CONN_IDLE, 0.1, 300 * MS, 60 * S);
        seldom(ScenarioParameter.CONNECT_TIMEOUT, 0.15, 30 * MS, 1 * S);
        seldom(ScenarioParameter.RETRY_AFTER, 0.5, 0, 0);
        seldom(ScenarioParameter.ASK_WITHIN, 0.15, 4 * S, 20 * S);
        seldom(ScenarioParameter.KNOWN_AGE, 0.4, 1 * S, 600 * S);
        between(ScenarioParameter.START, 200 * MS, 1500 * MS);
    }

    private void drawNetwork() {
        between(ScenarioParameter.CLIENT_DELAY, 40 * US, 100 * US);
        between(ScenarioParameter.NEAR_DELAY, 160 * US, 320 * US);
        between(ScenarioParameter.FAR_DELAY, 420 * US, 780 * US);
        between(
                ScenarioParameter.JITTER,
                ScenarioParameter.part(0.069),
                ScenarioParameter.part(0.35));
        boolean far = sizeChance.hits(0.1);
        if (far) {
            between(ScenarioParameter.FAR_DELAY, 2 * MS, 8 * MS);
        } else {
            seldom(
                    ScenarioParameter.JITTER,
                    0.1,
                    ScenarioParameter.part(1),
                    ScenarioParameter.part(5));
        }
        seldom(
                ScenarioParameter.CHOPPED,
                0.25,
                ScenarioParameter.part(0.05),
                ScenarioParameter.part(0.4));
        seldom(
                ScenarioParameter.LOSS,
                0.15,
                ScenarioParameter.part(0.001),
                ScenarioParameter.part(0.01));
        seldom(ScenarioParameter.BANDWIDTH, 0.1, 1_000_000, 5_000_000);
        // Through small buffers and over a long way nothing large would come in time.
        seldom(ScenarioParameter.SEND_BUFFER, far ? 0 : 0.15, 256, 4096);
        seldom(ScenarioParameter.RECEIVE_BUFFER, far ? 0 : 0.15, 256, 4096);
        if (!far && sizeChance.hits(0.55)) {
            // Together less than any request has: each is a while in being written.
            between(ScenarioParameter.SEND_BUFFER, 64, 120);
            between(ScenarioParameter.RECEIVE_BUFFER, 64, 120);
        }
        between(ScenarioParameter.TASK_COST, 0, 60 * US);
        between(ScenarioParameter.READ_COST, 0, 30 * US);
        between(ScenarioParameter.CLOCK_COST, 0, 1 * US);
        seldom(ScenarioParameter.CLOCK_COST, 0.1, 10 * US, 200 * US);
        seldom(ScenarioParameter.TASK_COST, 0.05, 100 * US, 300 * US);
    }

    private void drawDiscovery() {
        between(ScenarioParameter.NOTICE, 200 * MS, 3 * S);
        between(ScenarioParameter.SILENT_NOTICE, 2 * S, 6 * S);
        between(ScenarioParameter.ADD_NOTICE, 460 * MS, 2100 * MS);
        between(ScenarioParameter.CALL_COST, 5 * MS, 250 * MS);
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
     * On some days there are ephemeral nodes, with their own troubles; all other draws are as they
     * were.
     */
    private List<Fault> drawMembership() {
        SeededRandom own = new SeededRandom(seed).stream("plan.membership");
        List<Fault> faults = new ArrayList<>();
        if (!own.hits(NODE_DAYS)) {
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
        int trapped = own.nextInt(6);
        for (int i = 0; i < trapped; i++) {
            faults.add(fault(trap(own.pick(STATES)), own.pick(kinds)));
        }
        return faults;
    }

    /** Each kind is on or off for the day; what strikes is drawn from those that are on. */
    private List<Fault> drawFaults() {
        SeededRandom chance = faultChance;
        double part = chance.pick(List.of(0.1, 0.25, 0.5, 1.0));
        List<FaultKind> on = new ArrayList<>();
        for (FaultKind each : FaultKind.values()) {
            if (!each.affectsCoordination() && chance.hits(part)) {
                on.add(each);
            }
        }
        List<Fault> faults = new ArrayList<>();
        if (on.isEmpty()) {
            return faults;
        }
        int timed = chance.nextInt(7);
        for (int i = 0; i < timed; i++) {
            FaultKind kind = chance.pick(on);
            if (!kind.requiresRequest()) {
                long latest = size(ScenarioParameter.FAULTS_END) - S;
                faults.add(fault(FaultTrigger.time(millis(chance.between(S, latest))), kind));
            }
        }
        int trapped = LEAST_TRAPS + chance.nextInt(MORE_TRAPS);
        for (int i = 0; i < trapped; i++) {
            RequestState state = chance.pick(STATES);
            List<FaultKind> possible =
                    on.stream().filter(kind -> kind.isWorthInjecting(state)).toList();
            if (!possible.isEmpty()) {
                faults.add(fault(trap(state), chance.pick(possible)));
            }
        }
        return faults;
    }

    private FaultTrigger trap(RequestState state) {
        SeededRandom chance = faultChance;
        int most =
                state.isResend()
                        ? RARE
                        : switch (state) {
                            case CONNECTING, HELD -> SELDOM;
                            default -> COMMON;
                        };
        long after =
                switch (chance.nextInt(4)) {
                    case 0 -> chance.nextLong(2 * MS);
                    case 1 -> chance.nextLong(100 * MS);
                    default -> 0;
                };
        return new FaultTrigger(after - after % US, state, 1 + chance.nextInt(most));
    }

    private Fault fault(FaultTrigger trigger, FaultKind kind) {
        SeededRandom chance = faultChance;
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        for (FaultParameter each : kind.params()) {
            values.put(each, value(kind, each));
        }
        String style = kind.styles().isEmpty() ? null : chance.pick(kind.styles());
        String who = null;
        boolean own = trigger.waitsForRequest() && chance.hits(0.9);
        if (!own) {
            who =
                    switch (kind.target()) {
                        case SERVER -> "s" + chance.nextInt((int) size(ScenarioParameter.SERVERS));
                        case SIDECAR ->
                                "n" + chance.nextInt((int) size(ScenarioParameter.SIDECARS));
                        case ZONE -> chance.pick(Site.ZONES);
                        default -> null;
                    };
        }
        return new Fault(trigger, kind, who, style, values);
    }

    private long value(FaultKind kind, FaultParameter param) {
        SeededRandom chance = faultChance;
        return switch (param) {
            case FOR ->
                    switch (kind) {
                        case PAUSE ->
                                chance.hits(0.3)
                                        ? millis(chance.between(2 * S, 8 * S))
                                        : millis(chance.between(5 * MS, 600 * MS));
                        case FLOOD -> millis(chance.between(500 * MS, 2 * S));
                        default -> millis(chance.between(200 * MS, 6 * S));
                    };
            case DOWN -> millis(chance.between(100 * MS, 4 * S));
            case BY ->
                    switch (kind) {
                        case WALL_STEP -> millis(chance.between(-20 * S, 20 * S));
                        case LIST_STALE -> millis(chance.between(S, 10 * S));
                        case LIST_FLAPS, NODE_FLAPS -> millis(chance.between(20 * MS, 900 * MS));
                        case NODES_LAG, NODES_SLOW -> millis(chance.between(100 * MS, 4 * S));
                        default -> millis(chance.between(5 * MS, 300 * MS));
                    };
            case FACTOR -> ScenarioParameter.part(2 + chance.nextInt(80) / 10.0);
            case RATE -> ScenarioParameter.part(20 + chance.nextInt(60));
            case COUNT ->
                    switch (kind) {
                        case FAILING -> chance.between(50, 1000);
                        case NO_DESCRIPTORS -> chance.between(0, 8);
                        case LINK_CHOPPED -> chance.between(1, 40);
                        default -> chance.between(1, 4);
                    };
            case BYTES ->
                    kind == FaultKind.LINK_THIN
                            ? chance.between(10_000, 200_000)
                            : chance.between(0, 400);
        };
    }

    private void between(ScenarioParameter knob, long low, long high) {
        sizes.put(knob, sizeChance.between(low, high));
    }

    private void seldom(ScenarioParameter knob, double how, long low, long high) {
        if (sizeChance.hits(how)) {
            between(knob, low, high);
        }
    }

    private long size(ScenarioParameter knob) {
        return sizes.getOrDefault(knob, knob.usual());
    }

    /** Whole milliseconds read better, and shift nothing that matters. */
    private static long millis(long nanos) {
        return nanos - nanos % MS;
    }
}
