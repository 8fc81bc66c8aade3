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
 * Tells which requests are met by what lasts for a while or comes by itself: a server to which
 * connects fail, a process without descriptors, a drain that is told, a window that closes, a
 * stand-still over a deadline, a drain's grace and a window at once. To be told of everything ahead
 * of the states.
 */
final class FaultOverlaps implements DayListener {
    /** A request is resent, and the time for that ends. */
    static final String WINDOW_CLOSES = "window-closes";

    /** A drain of the server of its attempt is told. */
    static final String DRAIN_TOLD = "drain-told";

    /** Its sidecar stands still over its deadline, its window and a drain's grace. */
    static final String PAUSE_OVER_ALL = "pause-over-all";

    private record Lasting(FaultKind kind, Host host, long until) {}

    private record Grace(String sidecar, long endsAt) {}

    private final RequestStates states;
    private final List<Lasting> lasting = new ArrayList<>();
    private final Map<String, Long> windows = new LinkedHashMap<>();
    private final Set<String> drains = new LinkedHashSet<>();
    private final List<Grace> graces = new ArrayList<>();
    private Day day;

    FaultOverlaps(RequestStates states) {
        this.states = states;
    }

    void begin(Day theDay) {
        day = theDay;
        states.on(RequestState.CONNECTING, this::connects);
        states.on(RequestState.RESEND_CONNECTING, this::connects);
        states.on(RequestState.ARRIVING, this::arrives);
    }

    // ---- what lasts

    /** Whoever connects there meanwhile meets it; also who is connecting now. */
    void connectFaultBegan(Machine machine, FaultKind kind, long duration) {
        day.evidence.faultArmed(kind.word(), machine.server().uid());
        lasting.add(new Lasting(kind, machine.host(), day.now() + duration));
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

    /** Whoever needs a descriptor of that process meanwhile, and there is none. */
    void descriptorLimitBegan(Host sidecar, long duration) {
        day.evidence.faultArmed(FaultKind.NO_DESCRIPTORS.word(), sidecar.name());
        lasting.add(new Lasting(FaultKind.NO_DESCRIPTORS, sidecar, day.now() + duration));
    }

    private void connects(ObservedRequest request) {
        meets(request, request.upstream().peerHost());
    }

    private void arrives(ObservedRequest request) {
        SimSocket client = request.client();
        if (client != null && !client.isAccepted() && client.peerHost().isFull()) {
            meets(request, client.peerHost());
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
            meets(request, request.client().peerHost());
        }
    }

    private void meets(ObservedRequest request, Host host) {
        lasting.removeIf(each -> each.until() < day.now());
        for (Lasting each : lasting) {
            if (each.host() == host) {
                day.evidence.faultHit(each.kind().word(), request.id(), request.state());
            }
        }
    }

    /** Whoever has sent a request on one of these, just closed, with nothing of it read. */
    void idleConnectionsClosed(List<SimSocket> sidecarsEnds, String server) {
        day.evidence.faultArmed(FaultKind.CLOSE_IDLE.word(), server);
        for (SimSocket each : sidecarsEnds) {
            ObservedRequest request = states.on(each);
            if (request != null) {
                day.evidence.faultHit(FaultKind.CLOSE_IDLE.word(), request.id(), request.state());
            }
        }
    }

    // ---- what comes by itself

    @Override
    public void listDelivered(String sidecar, String uid, String state, long bornAt) {
        String drain = sidecar + ' ' + uid;
        if (!state.equals(Instances.TERMINATING)) {
            drains.remove(drain);
        } else if (drains.add(drain)) {
            graces.add(new Grace(sidecar, day.now() + Site.DRAIN_GRACE));
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
        SentRequestRegistry.Form form = day.sentRequests.form(id);
        if (form == null || form.key() == null || windows.containsKey(id)) {
            return;
        }
        long closes = lastByteSentAt + day.plan.window(RequestClasses.of(form.requestClass()));
        windows.put(id, closes);
        if (closes > day.now()) {
            day.simulation.at(
                    closes,
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
                                                        windows.getOrDefault(each.id(), 0L))
                                                && within(
                                                        from,
                                                        until,
                                                        each.asking().askedAt()
                                                                + each.asking().deadlineNanos()))
                        .toList();
        if (!resent.isEmpty()) {
            day.simulation.at(
                    until,
                    () -> {
                        if (graces.stream()
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

    private static boolean within(long from, long until, long moment) {
        return from < moment && moment < until;
    }
}
