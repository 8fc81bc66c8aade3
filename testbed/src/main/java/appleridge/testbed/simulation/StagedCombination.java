package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.simnet.SeededRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What must come together to matter, and by chance alone would too seldom: on some days sizes and
 * faults are drawn for it, beside all others.
 */
enum StagedCombination {
    /** Nothing of that kind. */
    NONE(0),
    /** A sidecar stands still for an hour. */
    HOUR(0.0007),
    /** Sidecars stand still for up to two minutes. */
    MINUTES(0.012),
    /**
     * Drains are told to sidecars that connect to those servers, for longer than the drains' grace.
     */
    DRAINS(0.05),
    /**
     * Sidecars stand still over a resend's window, its request's deadline and a drain's grace at
     * once.
     */
    STILL(0.18),
    /** Windows close within resends: while they connect, and within their bytes. */
    WINDOWS(0.05);

    private static final long S = Site.SECOND;
    private static final long MS = Site.MS;
    private static final List<RequestState> RESENT =
            List.of(
                    RequestState.RESEND_HELD,
                    RequestState.RESEND_CONNECTING,
                    RequestState.RESEND_WRITING,
                    RequestState.RESEND_WRITTEN,
                    RequestState.RESEND_ANSWERING);

    /** Keyed requests that break off are resent: so many are made to on a day. */
    private static final int BROKEN = 24;

    private final double part;

    StagedCombination(double part) {
        this.part = part;
    }

    /** The one of a seed's day. */
    static StagedCombination draw(SeededRandom chance) {
        double drawn = chance.nextDouble();
        for (StagedCombination each : values()) {
            if (drawn < each.part) {
                return each;
            }
            drawn -= each.part;
        }
        return NONE;
    }

    /** How long the day is to be; ahead of all else that is drawn by its length. */
    void length(SeededRandom chance, Map<ScenarioParameter, Long> sizes) {
        switch (this) {
            case HOUR -> {
                sizes.put(ScenarioParameter.FAULTS_END, 3700 * S);
                sizes.put(ScenarioParameter.CALM, 60 * S);
            }
            case MINUTES -> {
                sizes.put(ScenarioParameter.FAULTS_END, chance.between(60 * S, 135 * S));
                sizes.put(ScenarioParameter.CALM, 20 * S);
            }
            default -> {}
        }
    }

    /** What else is to be unlike what was drawn. */
    void sizes(SeededRandom chance, Map<ScenarioParameter, Long> sizes) {
        switch (this) {
            case DRAINS -> {
                sizes.put(ScenarioParameter.LONGEST_DEADLINE, chance.between(2800 * MS, 3 * S));
                sizes.put(ScenarioParameter.RATE, 2 * sizes.get(ScenarioParameter.RATE));
                sizes.put(ScenarioParameter.QUIET, 6 * S);
                sizes.put(ScenarioParameter.CONNECT_TIMEOUT, chance.between(2300 * MS, 4 * S));
                quickNews(chance, sizes);
            }
            case STILL -> {
                sizes.put(ScenarioParameter.KEY_WINDOW, chance.between(80 * MS, 400 * MS));
                // Through small buffers nothing large comes in time over a long way.
                sizes.put(ScenarioParameter.FAR_DELAY, ScenarioParameter.FAR_DELAY.defaultValue());
                sizes.put(ScenarioParameter.SEND_BUFFER, chance.between(64, 120));
                sizes.put(ScenarioParameter.RECEIVE_BUFFER, chance.between(64, 120));
                quickNews(chance, sizes);
            }
            case WINDOWS -> {
                sizes.put(ScenarioParameter.KEY_WINDOW, chance.between(50 * MS, 150 * MS));
                sizes.put(ScenarioParameter.NEAR_DELAY, chance.between(1 * MS, 3 * MS));
                sizes.put(ScenarioParameter.FAR_DELAY, chance.between(2 * MS, 4 * MS));
                sizes.put(ScenarioParameter.SEND_BUFFER, chance.between(64, 120));
                sizes.put(ScenarioParameter.RECEIVE_BUFFER, chance.between(64, 120));
                sizes.put(ScenarioParameter.LARGE_BODIES, ScenarioParameter.part(0.25));
                sizes.put(ScenarioParameter.LARGE_ANSWERS, 0L);
            }
            default -> {}
        }
    }

    private static void quickNews(SeededRandom chance, Map<ScenarioParameter, Long> sizes) {
        sizes.put(ScenarioParameter.NOTICE, chance.between(0, 200 * MS));
        sizes.put(ScenarioParameter.CALL_COST, chance.between(5 * MS, 40 * MS));
    }

    /** The faults that belong to it. */
    List<Fault> faults(SeededRandom chance, Map<ScenarioParameter, Long> sizes) {
        List<Fault> faults = new ArrayList<>();
        long end = sizes.get(ScenarioParameter.FAULTS_END);
        int servers = Math.toIntExact(sizes.get(ScenarioParameter.SERVERS));
        String sidecar =
                "n" + chance.nextInt(Math.toIntExact(sizes.get(ScenarioParameter.SIDECARS)));
        switch (this) {
            case HOUR ->
                    faults.add(
                            pause(
                                    FaultTrigger.time(millis(chance.between(2 * S, 60 * S))),
                                    sidecar,
                                    3600 * S));
            case MINUTES -> {
                faults.add(
                        pause(
                                FaultTrigger.time(millis(chance.between(2 * S, end / 2))),
                                sidecar,
                                millis(chance.between(20 * S, 120 * S))));
                faults.add(
                        pause(
                                new FaultTrigger(0, chance.pick(RESENT), 1 + chance.nextInt(3)),
                                null,
                                millis(chance.between(10 * S, 60 * S))));
            }
            case DRAINS -> {
                for (int i = 2 + chance.nextInt(3); i > 0; i--) {
                    drain(
                            faults,
                            "s" + chance.nextInt(servers),
                            millis(chance.between(S, end - 4 * S)),
                            chance);
                }
            }
            case STILL -> {
                breaks(faults, chance);
                closes(faults, chance);
                for (RequestState each : RESENT) {
                    int nth = 1 + chance.nextInt(8);
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
                                    millis(chance.between(3 * S, 5 * S))));
                }
            }
            case WINDOWS -> {
                breaks(faults, chance);
                closes(faults, chance);
                for (int i = 0; i < 3; i++) {
                    faults.add(
                            slow(
                                    millis(chance.between(S, end - 2 * S)),
                                    "s" + chance.nextInt(servers),
                                    4 * S,
                                    millis(chance.between(20 * MS, 120 * MS))));
                }
            }
            default -> {}
        }
        return faults;
    }

    /** All connect anew, which takes longer than the grace, and meanwhile it drains. */
    private static void drain(List<Fault> faults, String server, long at, SeededRandom chance) {
        faults.add(
                new Fault(
                        FaultTrigger.time(at),
                        FaultKind.CLOSE_IDLE,
                        server,
                        null,
                        new TreeMap<>()));
        // What is written when the connection is up at last goes quickly: the server must not have
        // ended by
        // then.
        faults.add(slow(at, server, 2 * S, millis(chance.between(2200 * MS, 2600 * MS))));
        faults.add(
                fault(
                        FaultTrigger.time(at + millis(chance.between(200 * MS, 900 * MS))),
                        FaultKind.DRAIN,
                        server,
                        FaultParameter.DOWN,
                        S));
    }

    private static void breaks(List<Fault> faults, SeededRandom chance) {
        for (int i = 0; i < BROKEN; i++) {
            // By then it has come, and no answer is on its way.
            long after = millis(chance.between(6 * MS, 15 * MS));
            faults.add(
                    new Fault(
                            new FaultTrigger(after, RequestState.WRITTEN, 1 + chance.nextInt(100)),
                            FaultKind.UP_RESET,
                            null,
                            null,
                            new TreeMap<>()));
        }
    }

    /** Idle connections are closed as they are taken, which needs one that was kept. */
    private static void closes(List<Fault> faults, SeededRandom chance) {
        for (RequestState each :
                List.of(
                        RequestState.WRITTEN,
                        RequestState.WRITTEN,
                        RequestState.RESEND_WRITTEN,
                        RequestState.RESEND_WRITTEN)) {
            faults.add(
                    new Fault(
                            new FaultTrigger(0, each, 1 + chance.nextInt(8)),
                            FaultKind.CLOSE_IDLE,
                            null,
                            null,
                            new TreeMap<>()));
        }
    }

    private static Fault slow(long at, String server, long duration, long by) {
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

    /** Whole milliseconds read better. */
    private static long millis(long nanos) {
        return nanos - nanos % MS;
    }
}
