package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SimSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reports which requests are affected by faults that last for a while and by events that no fault
 * is aimed at: failing connects to a server, a process without descriptors, a drain that is
 * announced, a deduplication window that ends, and a pause that spans a deadline, a drain's grace
 * period and a deduplication window at once. It must receive each event before {@link
 * RequestStates} does.
 */
final class FaultOverlaps implements DayListener {

    /** The deduplication window ends while the request is being resent. */
    static final String WINDOW_CLOSES = "window-closes";

    /** The sidecar is told that the server of the current attempt is draining. */
    static final String DRAIN_TOLD = "drain-told";

    /** The sidecar is paused over the deadline, the window and a drain's grace period. */
    static final String PAUSE_OVER_ALL = "pause-over-all";

    private record LongFault(FaultKind kind, Host host, long until) {}

    private record GracePeriod(String sidecar, long endsAt) {}

    private final RequestStates states;
    private final List<LongFault> longFaults = new ArrayList<>();
    private final Map<String, Long> windowEnds = new LinkedHashMap<>();
    private final Set<String> reportedDrains = new LinkedHashSet<>();
    private final List<GracePeriod> gracePeriods = new ArrayList<>();
    private Day day;

    FaultOverlaps(RequestStates states) {
        this.states = states;
    }

    void begin(Day simulatedDay) {
        day = simulatedDay;
        states.onEnter(RequestState.CONNECTING, this::connecting);
        states.onEnter(RequestState.RESEND_CONNECTING, this::connecting);
        states.onEnter(RequestState.ARRIVING, this::arriving);
    }

    // ---- faults that last for a while

    /**
     * Connects to a machine fail for a while: affects requests that are connecting now or later.
     */
    void connectFaultBegan(Machine machine, FaultKind kind, long duration) {
        day.evidence.faultArmed(kind.word(), machine.server().uid());
        longFaults.add(new LongFault(kind, machine.host(), day.now() + duration));
        for (ObservedRequest each : states.at(machine.server().uid())) {
            if (isConnecting(each) && !each.upstream().isEstablished()) {
                day.evidence.faultHit(kind.word(), each.id(), each.state());
            }
        }
    }

    private static boolean isConnecting(ObservedRequest request) {
        return request.state() == RequestState.CONNECTING
                || request.state() == RequestState.RESEND_CONNECTING;
    }

    /** A process may run out of descriptors for a while: affects requests that then need one. */
    void descriptorLimitBegan(Host sidecar, long duration) {
        day.evidence.faultArmed(FaultKind.NO_DESCRIPTORS.word(), sidecar.name());
        longFaults.add(new LongFault(FaultKind.NO_DESCRIPTORS, sidecar, day.now() + duration));
    }

    private void connecting(ObservedRequest request) {
        reportHits(request, request.upstream().peerHost());
    }

    private void arriving(ObservedRequest request) {
        SimSocket client = request.client();
        if (client != null && !client.isAccepted() && client.peerHost().isFull()) {
            reportHits(request, client.peerHost());
        }
    }

    @Override
    public void moduleOutcome(
            String sidecar, int life, long moduleId, int attempt, String outcome, boolean ended) {
        ObservedRequest request =
                outcome.equals("NEVER_SENT") ? states.ofModule(sidecar, moduleId) : null;
        if (request != null
                && request.upstream() == null
                && request.client() != null
                && request.client().peerHost().isFull()) {
            reportHits(request, request.client().peerHost());
        }
    }

    private void reportHits(ObservedRequest request, Host host) {
        longFaults.removeIf(each -> each.until() < day.now());
        for (LongFault each : longFaults) {
            if (each.host() == host) {
                day.evidence.faultHit(each.kind().word(), request.id(), request.state());
            }
        }
    }

    /**
     * A server has closed idle connections: affects requests that were sent on one of them and of
     * which the server has read nothing.
     */
    void idleConnectionsClosed(List<SimSocket> sidecarSockets, String server) {
        day.evidence.faultArmed(FaultKind.CLOSE_IDLE.word(), server);
        for (SimSocket each : sidecarSockets) {
            ObservedRequest request = states.onConnection(each);
            if (request != null) {
                day.evidence.faultHit(FaultKind.CLOSE_IDLE.word(), request.id(), request.state());
            }
        }
    }

    // ---- events that no fault is aimed at

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        String drain = sidecar + ' ' + uid;
        if (!state.equals(Instances.TERMINATING)) {
            reportedDrains.remove(drain);
        } else if (reportedDrains.add(drain)) {
            gracePeriods.add(
                    new GracePeriod(
                            sidecar, day.now() + day.plan.size(ScenarioParameter.DRAIN_GRACE)));
            for (ObservedRequest each : states.at(sidecar)) {
                if (uid.equals(each.server()) && each.state() != RequestState.ANSWERED) {
                    day.evidence.faultHit(DRAIN_TOLD, each.id(), each.state());
                }
            }
        }
    }

    @Override
    public void serverReceived(
            String server,
            int life,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {
        SentRequestRegistry.SentRequest form = day.sentRequests.find(id);
        if (form == null || form.key() == null || windowEnds.containsKey(id)) {
            return;
        }
        long windowEnd = lastByteSentAt + day.plan.window(RequestClasses.of(form.requestClass()));
        windowEnds.put(id, windowEnd);
        if (windowEnd > day.now()) {
            day.simulation.at(
                    windowEnd,
                    () -> {
                        RequestState state = states.state(id);
                        if (state != null && state.isResend()) {
                            day.evidence.faultHit(WINDOW_CLOSES, id, state);
                        }
                    });
        }
    }

    @Override
    public void sidecarPaused(String sidecar, long from, long until) {
        List<ObservedRequest> resent =
                states.at(sidecar).stream()
                        .filter(
                                each ->
                                        each.state().isResend()
                                                && within(
                                                        from,
                                                        until,
                                                        windowEnds.getOrDefault(each.id(), 0L))
                                                && within(
                                                        from,
                                                        until,
                                                        each.attempt().startedAt()
                                                                + each.attempt().deadlineNanos()))
                        .toList();
        if (!resent.isEmpty()) {
            day.simulation.at(
                    until,
                    () -> {
                        if (gracePeriods.stream()
                                .anyMatch(
                                        each ->
                                                each.sidecar().equals(sidecar)
                                                        && within(from, until, each.endsAt()))) {
                            resent.forEach(
                                    each ->
                                            day.evidence.faultHit(
                                                    PAUSE_OVER_ALL, each.id(), each.state()));
                        }
                    });
        }
    }

    private static boolean within(long from, long until, long time) {
        return from < time && time < until;
    }
}
