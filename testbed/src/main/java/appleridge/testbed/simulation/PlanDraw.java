package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.simnet.Chance;
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
    private final Chance sizeChance;
    private final Chance faultChance;
    private final Map<Knob, Long> sizes = new EnumMap<>(Knob.class);
    private final Chance stageChance;
    private final Staging stage;

    PlanDraw(long seed) {
        this.seed = seed;
        Chance all = new Chance(seed);
        this.sizeChance = all.stream("plan.sizes");
        this.faultChance = all.stream("plan.faults");
        this.stageChance = all.stream("plan.stage");
        this.stage = Staging.draw(stageChance);
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
        between(Knob.SIDECARS, 3, 3);
        if (sizeChance.hits(0.1)) {
            between(Knob.SIDECARS, 1, 5);
        }
        between(Knob.SERVERS, 6, 10);
        between(Knob.FAULTS_END, 6 * S, 13 * S);
        stage.length(stageChance, sizes);
        double seconds =
                (size(Knob.FAULTS_END) + Knob.RECOVERY.usual() + size(Knob.CALM)) / (double) S;
        sizes.put(Knob.RATE, Knob.part((LEAST_REQUESTS + sizeChance.nextInt(140)) / seconds));
        between(Knob.UNEVEN, Knob.part(0.15), Knob.part(1));
        between(Knob.BURSTS, 0, Knob.part(0.6));
    }

    private void drawClients() {
        between(Knob.RETRIES, 0, 2);
        between(Knob.BACKOFF, 10 * MS, 80 * MS);
        between(Knob.HONOUR, Knob.part(0.8), Knob.part(1));
        seldom(Knob.IMPATIENT, 0.3, Knob.part(0.02), Knob.part(0.2));
        seldom(Knob.SLOW_READERS, 0.3, Knob.part(0.02), Knob.part(0.2));
        between(Knob.SLOW_WRITERS, Knob.part(0.1), Knob.part(0.4));
        seldom(Knob.PIPELINED, 0.2, Knob.part(0.02), Knob.part(0.15));
        seldom(Knob.ASK_ONCE, 0.2, Knob.part(0.05), Knob.part(0.5));
        seldom(Knob.LARGE_BODIES, 0.3, Knob.part(0.02), Knob.part(0.2));
    }

    private void drawServers() {
        between(Knob.CORES, 1, 3);
        between(Knob.QUEUE, 9, 72);
        seldom(Knob.QUEUE, 0.1, 0, 4);
        between(Knob.CONNECTIONS, 360, 450);
        seldom(Knob.CONNECTIONS, 0.1, 4, 20);
        between(Knob.HANDSHAKE, 3100 * US, 6000 * US);
        seldom(Knob.SERVER_IDLE, 0.15, 100 * MS, 3 * S);
        seldom(Knob.DROPS_EXPIRED, 0.3, Knob.part(0.3), Knob.part(1));
        seldom(Knob.CHUNKED, 0.3, Knob.part(0.2), Knob.part(1));
        seldom(Knob.LARGE_ANSWERS, 0.3, Knob.part(0.02), Knob.part(0.2));
        between(Knob.ERRORS, 0, Knob.part(0.003));
        seldom(Knob.ERRORS, 0.15, Knob.part(0.02), Knob.part(0.3));
        seldom(Knob.SPOILT, 0.2, Knob.part(0.01), Knob.part(0.15));
        seldom(Knob.EXTRAS, 0.25, Knob.part(0.02), Knob.part(0.3));
        between(Knob.REPORT_AGE, 49 * MS, 410 * MS);
    }

    private void drawLimits() {
        between(Knob.SOCKETS, 256, 1024);
        seldom(Knob.SOCKETS, 0.1, 64, 100);
        seldom(Knob.MAX_OPEN, 0.1, 8, 24);
        seldom(Knob.CONN_IDLE, 0.1, 300 * MS, 60 * S);
        seldom(Knob.CONNECT_TIMEOUT, 0.15, 30 * MS, 1 * S);
        seldom(Knob.RETRY_AFTER, 0.5, 0, 0);
        seldom(Knob.ASK_WITHIN, 0.15, 4 * S, 20 * S);
        seldom(Knob.KNOWN_AGE, 0.4, 1 * S, 600 * S);
        between(Knob.START, 200 * MS, 1500 * MS);
    }

    private void drawNetwork() {
        between(Knob.CLIENT_DELAY, 40 * US, 100 * US);
        between(Knob.NEAR_DELAY, 160 * US, 320 * US);
        between(Knob.FAR_DELAY, 420 * US, 780 * US);
        between(Knob.JITTER, Knob.part(0.069), Knob.part(0.35));
        boolean far = sizeChance.hits(0.1);
        if (far) {
            between(Knob.FAR_DELAY, 2 * MS, 8 * MS);
        } else {
            seldom(Knob.JITTER, 0.1, Knob.part(1), Knob.part(5));
        }
        seldom(Knob.CHOPPED, 0.25, Knob.part(0.05), Knob.part(0.4));
        seldom(Knob.LOSS, 0.15, Knob.part(0.001), Knob.part(0.01));
        seldom(Knob.BANDWIDTH, 0.1, 1_000_000, 5_000_000);
        // Through small buffers and over a long way nothing large would come in time.
        seldom(Knob.SEND_BUFFER, far ? 0 : 0.15, 256, 4096);
        seldom(Knob.RECEIVE_BUFFER, far ? 0 : 0.15, 256, 4096);
        if (!far && sizeChance.hits(0.55)) {
            // Together less than any request has: each is a while in being written.
            between(Knob.SEND_BUFFER, 64, 120);
            between(Knob.RECEIVE_BUFFER, 64, 120);
        }
        between(Knob.TASK_COST, 0, 60 * US);
        between(Knob.READ_COST, 0, 30 * US);
        between(Knob.CLOCK_COST, 0, 1 * US);
        seldom(Knob.CLOCK_COST, 0.1, 10 * US, 200 * US);
        seldom(Knob.TASK_COST, 0.05, 100 * US, 300 * US);
    }

    private void drawDiscovery() {
        between(Knob.NOTICE, 200 * MS, 3 * S);
        between(Knob.SILENT_NOTICE, 2 * S, 6 * S);
        between(Knob.ADD_NOTICE, 460 * MS, 2100 * MS);
        between(Knob.CALL_COST, 5 * MS, 250 * MS);
    }

    private void drawWindow() {
        Chance own = new Chance(seed).stream("plan.window");
        if (own.hits(0.3)) {
            sizes.put(Knob.KEY_WINDOW, own.between(100 * MS, 900 * MS));
        }
    }

    private void drawKnown() {
        if (new Chance(seed).stream("plan.known").hits(0.1)) {
            sizes.put(Knob.KNOWN, 0L);
        }
    }

    /**
     * On some days there are ephemeral nodes, with their own troubles; all other draws are as they
     * were.
     */
    private List<Fault> drawMembership() {
        Chance own = new Chance(seed).stream("plan.membership");
        List<Fault> faults = new ArrayList<>();
        if (!own.hits(NODE_DAYS)) {
            return faults;
        }
        sizes.put(Knob.MEMBERSHIP, own.between(1, 2));
        sizes.put(Knob.SESSION_TIMEOUT, millis(own.between(500 * MS, 4 * S)));
        boolean wiped = own.hits(0.35);
        List<FaultKind> kinds =
                Arrays.stream(FaultKind.values())
                        .filter(kind -> kind.ofNodes() && (wiped || kind != FaultKind.NODES_WIPED))
                        .toList();
        int timed = own.nextInt(7);
        for (int i = 0; i < timed; i++) {
            Trigger trigger = Trigger.time(millis(own.between(S, size(Knob.FAULTS_END) - S)));
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
        Chance chance = faultChance;
        double part = chance.pick(List.of(0.1, 0.25, 0.5, 1.0));
        List<FaultKind> on = new ArrayList<>();
        for (FaultKind each : FaultKind.values()) {
            if (!each.ofNodes() && chance.hits(part)) {
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
            if (!kind.trappedOnly()) {
                long latest = size(Knob.FAULTS_END) - S;
                faults.add(fault(Trigger.time(millis(chance.between(S, latest))), kind));
            }
        }
        int trapped = LEAST_TRAPS + chance.nextInt(MORE_TRAPS);
        for (int i = 0; i < trapped; i++) {
            RequestState state = chance.pick(STATES);
            List<FaultKind> possible = on.stream().filter(kind -> kind.isAimedAt(state)).toList();
            if (!possible.isEmpty()) {
                faults.add(fault(trap(state), chance.pick(possible)));
            }
        }
        return faults;
    }

    private Trigger trap(RequestState state) {
        Chance chance = faultChance;
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
        return new Trigger(after - after % US, state, 1 + chance.nextInt(most));
    }

    private Fault fault(Trigger trigger, FaultKind kind) {
        Chance chance = faultChance;
        TreeMap<Param, Long> values = new TreeMap<>();
        for (Param each : kind.params()) {
            values.put(each, value(kind, each));
        }
        String style = kind.styles().isEmpty() ? null : chance.pick(kind.styles());
        String who = null;
        boolean own = trigger.trap() && chance.hits(0.9);
        if (!own) {
            who =
                    switch (kind.target()) {
                        case SERVER -> "s" + chance.nextInt((int) size(Knob.SERVERS));
                        case SIDECAR -> "n" + chance.nextInt((int) size(Knob.SIDECARS));
                        case ZONE -> chance.pick(Site.ZONES);
                        default -> null;
                    };
        }
        return new Fault(trigger, kind, who, style, values);
    }

    private long value(FaultKind kind, Param param) {
        Chance chance = faultChance;
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
            case FACTOR -> Knob.part(2 + chance.nextInt(80) / 10.0);
            case RATE -> Knob.part(20 + chance.nextInt(60));
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

    private void between(Knob knob, long low, long high) {
        sizes.put(knob, sizeChance.between(low, high));
    }

    private void seldom(Knob knob, double how, long low, long high) {
        if (sizeChance.hits(how)) {
            between(knob, low, high);
        }
    }

    private long size(Knob knob) {
        return sizes.getOrDefault(knob, knob.usual());
    }

    /** Whole milliseconds read better, and shift nothing that matters. */
    private static long millis(long nanos) {
        return nanos - nanos % MS;
    }
}
