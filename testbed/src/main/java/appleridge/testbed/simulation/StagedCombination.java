package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Combinations of parameters and faults that matter only together and would rarely occur by chance.
 * On some days one of them is added to everything else that is drawn.
 */
enum StagedCombination {
    /** No staged combination. */
    NONE(0),
    /** A sidecar is paused for an hour. */
    HOUR(0.0007),
    /** Sidecars are paused for up to two minutes. */
    MINUTES(0.012),
    /**
     * Servers start to drain while sidecars are connecting to them, and the connects take longer
     * than the grace period of a drain.
     */
    DRAINS(0.05),
    /**
     * Sidecars are paused during a resend for longer than the deduplication window, the request's
     * deadline and the grace period of a drain.
     */
    STILL(0.18),
    /** Deduplication windows end during resends: while they connect or while they are written. */
    WINDOWS(0.05);

    private static final long S = Site.SECOND;
    private static final long MS = Site.MS;
    private static final List<RequestState> RESEND_STATES =
            List.of(
                    RequestState.RESEND_HELD,
                    RequestState.RESEND_CONNECTING,
                    RequestState.RESEND_WRITING,
                    RequestState.RESEND_WRITTEN,
                    RequestState.RESEND_ANSWERING);

    /** Number of upstream resets per day, so that requests with a key are resent. */
    private static final int UPSTREAM_RESETS = 24;

    private final double probability;

    StagedCombination(double probability) {
        this.probability = probability;
    }

    /** Draws the combination of a day. */
    static StagedCombination draw(SeededRandom random) {
        double drawn = random.nextDouble();
        for (StagedCombination each : values()) {
            if (drawn < each.probability) {
                return each;
            }
            drawn -= each.probability;
        }
        return NONE;
    }

    /** Sets the length of the day, before any draw that depends on the length. */
    void length(SeededRandom random, Map<ScenarioParameter, Long> sizes) {
        switch (this) {
            case HOUR -> {
                sizes.put(ScenarioParameter.FAULTS_END, 3700 * S);
                sizes.put(ScenarioParameter.CALM, 60 * S);
            }
            case MINUTES -> {
                sizes.put(ScenarioParameter.FAULTS_END, random.between(60 * S, 135 * S));
                sizes.put(ScenarioParameter.CALM, 20 * S);
            }
            default -> {}
        }
    }

    /** Overrides the other parameters that this combination needs. */
    void sizes(SeededRandom random, Map<ScenarioParameter, Long> sizes) {
        switch (this) {
            case DRAINS -> {
                sizes.put(ScenarioParameter.LONGEST_DEADLINE, random.between(2800 * MS, 3 * S));
                sizes.put(ScenarioParameter.RATE, 2 * sizes.get(ScenarioParameter.RATE));
                sizes.put(ScenarioParameter.QUIET, 6 * S);
                sizes.put(ScenarioParameter.CONNECT_TIMEOUT, random.between(2300 * MS, 4 * S));
                quickDiscovery(random, sizes);
            }
            case STILL -> {
                sizes.put(ScenarioParameter.KEY_WINDOW, random.between(80 * MS, 400 * MS));
                // Small buffers with a long delay would make every large message miss its deadline.
                sizes.put(ScenarioParameter.FAR_DELAY, ScenarioParameter.FAR_DELAY.defaultValue());
                sizes.put(ScenarioParameter.SEND_BUFFER, random.between(64, 120));
                sizes.put(ScenarioParameter.RECEIVE_BUFFER, random.between(64, 120));
                quickDiscovery(random, sizes);
            }
            case WINDOWS -> {
                sizes.put(ScenarioParameter.KEY_WINDOW, random.between(50 * MS, 150 * MS));
                sizes.put(ScenarioParameter.NEAR_DELAY, random.between(1 * MS, 3 * MS));
                sizes.put(ScenarioParameter.FAR_DELAY, random.between(2 * MS, 4 * MS));
                sizes.put(ScenarioParameter.SEND_BUFFER, random.between(64, 120));
                sizes.put(ScenarioParameter.RECEIVE_BUFFER, random.between(64, 120));
                sizes.put(ScenarioParameter.LARGE_BODIES, ScenarioParameter.part(0.25));
                sizes.put(ScenarioParameter.LARGE_ANSWERS, 0L);
            }
            default -> {}
        }
    }

    private static void quickDiscovery(SeededRandom random, Map<ScenarioParameter, Long> sizes) {
        sizes.put(ScenarioParameter.NOTICE, random.between(0, 200 * MS));
        sizes.put(ScenarioParameter.CALL_COST, random.between(5 * MS, 40 * MS));
    }

    /** Draws the faults of this combination. */
    List<Fault> faults(SeededRandom random, Map<ScenarioParameter, Long> sizes) {
        List<Fault> faults = new ArrayList<>();
        long end = sizes.get(ScenarioParameter.FAULTS_END);
        int servers = Math.toIntExact(sizes.get(ScenarioParameter.SERVERS));
        String sidecar =
                "n" + random.nextInt(Math.toIntExact(sizes.get(ScenarioParameter.SIDECARS)));
        switch (this) {
            case HOUR ->
                    faults.add(
                            pause(
                                    FaultTrigger.time(millis(random.between(2 * S, 60 * S))),
                                    sidecar,
                                    3600 * S));
            case MINUTES -> {
                faults.add(
                        pause(
                                FaultTrigger.time(millis(random.between(2 * S, end / 2))),
                                sidecar,
                                millis(random.between(20 * S, 120 * S))));
                faults.add(
                        pause(
                                new FaultTrigger(
                                        0, random.pick(RESEND_STATES), 1 + random.nextInt(3)),
                                null,
                                millis(random.between(10 * S, 60 * S))));
            }
            case DRAINS -> {
                for (int i = 2 + random.nextInt(3); i > 0; i--) {
                    drain(
                            faults,
                            "s" + random.nextInt(servers),
                            millis(random.between(S, end - 4 * S)),
                            random);
                }
            }
            case STILL -> {
                resetUpstreams(faults, random);
                closeReusedConnections(faults, random);
                for (RequestState each : RESEND_STATES) {
                    int nth = 1 + random.nextInt(8);
                    faults.add(
                            fault(
                                    new FaultTrigger(0, each, nth),
                                    FaultKind.DRAIN,
                                    null,
                                    FaultParameter.DOWN,
                                    S));
                    faults.add(
                            pause(
                                    new FaultTrigger(0, each, nth),
                                    null,
                                    millis(random.between(3 * S, 5 * S))));
                }
            }
            case WINDOWS -> {
                resetUpstreams(faults, random);
                closeReusedConnections(faults, random);
                for (int i = 0; i < 3; i++) {
                    faults.add(
                            slowConnect(
                                    millis(random.between(S, end - 2 * S)),
                                    "s" + random.nextInt(servers),
                                    4 * S,
                                    millis(random.between(20 * MS, 120 * MS))));
                }
            }
            default -> {}
        }
        return faults;
    }

    /**
     * Closes the idle connections of a server, so that all sidecars connect again, makes connects
     * slower than the grace period of a drain, and drains the server meanwhile.
     */
    private static void drain(List<Fault> faults, String server, long at, SeededRandom random) {
        faults.add(
                new Fault(
                        FaultTrigger.time(at),
                        FaultKind.CLOSE_IDLE,
                        server,
                        null,
                        new TreeMap<>()));
        // The request is written as soon as the connection is up, which must be before the server
        // ends.
        faults.add(slowConnect(at, server, 2 * S, millis(random.between(2200 * MS, 2600 * MS))));
        faults.add(
                fault(
                        FaultTrigger.time(at + millis(random.between(200 * MS, 900 * MS))),
                        FaultKind.DRAIN,
                        server,
                        FaultParameter.DOWN,
                        S));
    }

    private static void resetUpstreams(List<Fault> faults, SeededRandom random) {
        for (int i = 0; i < UPSTREAM_RESETS; i++) {
            // By then the request has arrived, and no response has been sent yet.
            long after = millis(random.between(6 * MS, 15 * MS));
            faults.add(
                    new Fault(
                            new FaultTrigger(after, RequestState.WRITTEN, 1 + random.nextInt(100)),
                            FaultKind.UP_RESET,
                            null,
                            null,
                            new TreeMap<>()));
        }
    }

    /** Closes idle connections just as a sidecar reuses one. */
    private static void closeReusedConnections(List<Fault> faults, SeededRandom random) {
        for (RequestState each :
                List.of(
                        RequestState.WRITTEN,
                        RequestState.WRITTEN,
                        RequestState.RESEND_WRITTEN,
                        RequestState.RESEND_WRITTEN)) {
            faults.add(
                    new Fault(
                            new FaultTrigger(0, each, 1 + random.nextInt(8)),
                            FaultKind.CLOSE_IDLE,
                            null,
                            null,
                            new TreeMap<>()));
        }
    }

    private static Fault slowConnect(long at, String server, long duration, long by) {
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        values.put(FaultParameter.FOR, duration);
        values.put(FaultParameter.BY, by);
        return new Fault(FaultTrigger.time(at), FaultKind.CONNECT_SLOW, server, null, values);
    }

    private static Fault pause(FaultTrigger trigger, String sidecar, long duration) {
        return fault(trigger, FaultKind.PAUSE, sidecar, FaultParameter.FOR, duration);
    }

    private static Fault fault(
            FaultTrigger trigger, FaultKind kind, String who, FaultParameter param, long value) {
        TreeMap<FaultParameter, Long> values = new TreeMap<>();
        values.put(param, value);
        return new Fault(trigger, kind, who, null, values);
    }

    /** Rounds down to whole milliseconds, which keeps scenarios readable. */
    private static long millis(long nanos) {
        return nanos - nanos % MS;
    }
}
