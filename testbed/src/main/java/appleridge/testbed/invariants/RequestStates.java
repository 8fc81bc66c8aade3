package appleridge.testbed.invariants;

import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Tap;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Knows the state that each usual request is in, from the bytes on the sockets, what the stand-ins
 * tell and the module's own word. Must hear of everything ahead of what acts on a state.
 *
 * <p>Who waits for a state is told at once, in the middle of whatever brought it about: sockets may
 * be struck then and there, but to end or pause a process is to be planned as a step of its own.
 */
public final class RequestStates implements DayListener, Tap, SocketObserver {
    private final Map<String, String> sidecars = new HashMap<>();
    private final Map<String, String> servers = new HashMap<>();
    private final Map<String, Tracked> requests = new HashMap<>();

    /** Those that are on their way, and those whose answered connection is kept. */
    private final Map<String, Tracked> current = new LinkedHashMap<>();

    private final Map<Long, ClientWire> clientWires = new HashMap<>();
    private final Map<Long, ServerWire> serverWires = new HashMap<>();

    /** Attempts of which no byte and no connect has been seen, for each sidecar. */
    private final Map<String, List<Tracked>> pending = new HashMap<>();

    private final Map<Long, Tracked> byKey = new HashMap<>();
    private final Map<String, Map<Long, Tracked>> byModuleId = new HashMap<>();
    private final Map<RequestState, List<Consumer<ObservedRequest>>> waiting =
            new EnumMap<>(RequestState.class);

    /** The requests and answers on a client's connection. */
    private static final class ClientWire {
        private final MessageScan asked = new MessageScan();
        private final MessageScan answered = new MessageScan();
        private final List<Tracked> open = new ArrayList<>(2);

        /** The request that is being written. */
        private Tracked arriving;

        private Tracked idle;
        private int count;
        private long acceptedAt = AttemptRecord.NEVER;
        private long closedAt = AttemptRecord.NEVER;
    }

    /** The requests on a connection to a server. */
    private static final class ServerWire {
        private final MessageScan asked = new MessageScan();
        private Tracked carried;
    }

    /** A process of this sidecar runs on the host of that name. */
    public void sidecar(String host, String sidecar) {
        sidecars.put(host, sidecar);
    }

    /** This server runs on the host of that name, in place of whichever did before. */
    public void server(String host, String server) {
        servers.put(host, server);
    }

    /** Tells of each request that enters a state. */
    public void on(RequestState state, Consumer<ObservedRequest> told) {
        waiting.computeIfAbsent(state, any -> new ArrayList<>(2)).add(told);
    }

    /** The state that a request is in; null if it is over or unknown. */
    public RequestState state(String id) {
        Tracked request = current.get(id);
        return request == null ? null : request.state;
    }

    /** Whether there is a sidecar or server of that name. */
    public boolean knows(String sidecarOrServer) {
        return sidecars.containsValue(sidecarOrServer) || servers.containsValue(sidecarOrServer);
    }

    /** All that are in some state, in the order of their asking. */
    public List<ObservedRequest> all() {
        List<ObservedRequest> all = new ArrayList<>(current.size());
        current.values().forEach(each -> all.add(each.now()));
        return all;
    }

    /** Those in some state at a sidecar, or on a connection to a server. */
    public List<ObservedRequest> at(String sidecarOrServer) {
        List<ObservedRequest> there = new ArrayList<>();
        for (Tracked each : current.values()) {
            if (each.asking.sidecar().equals(sidecarOrServer)
                    || sidecarOrServer.equals(each.server)) {
                there.add(each.now());
            }
        }
        return there;
    }

    /**
     * The request that is on the connection with this end of a client's or of a sidecar's; null if
     * none is.
     */
    public ObservedRequest on(SimSocket end) {
        for (Tracked each : current.values()) {
            if (each.upstream == end && !each.answerBegun()
                    || each.client == end && each.state != RequestState.IDLE) {
                return each.now();
            }
        }
        return null;
    }

    /**
     * The request that a module of that sidecar knows by that number; null if it is over or
     * unknown.
     */
    public ObservedRequest ofModule(String sidecar, long moduleId) {
        Tracked request = held(sidecar, moduleId);
        return request == null ? null : request.now();
    }

    // ---- what the sockets show

    @Override
    public int place(String id) {
        Tracked request = requests.get(id);
        return request == null ? 0 : request.place;
    }

    @Override
    public String ahead(String id) {
        Tracked request = requests.get(id);
        return request == null ? null : request.ahead;
    }

    @Override
    public boolean wasRead(String id) {
        Tracked request = requests.get(id);
        return request != null
                && request.endsAt >= 0
                && request.client.peer() != null
                && request.client.peer().bytesRead() >= request.endsAt;
    }

    @Override
    public long acceptedAt(String id) {
        Tracked request = requests.get(id);
        return request == null || request.client == null
                ? AttemptRecord.NEVER
                : clientWires.get(request.client.id()).acceptedAt;
    }

    @Override
    public long closedAt(String id) {
        Tracked request = requests.get(id);
        if (request == null || request.client == null) {
            return AttemptRecord.NEVER;
        }
        return clientWires.get(request.client.id()).closedAt;
    }

    private void enter(Tracked request, RequestState state) {
        if (request.state == state && state != RequestState.ARRIVING) {
            return;
        }
        request.state = state;
        List<Consumer<ObservedRequest>> told = waiting.get(state);
        if (told != null) {
            ObservedRequest now = request.now();
            for (Consumer<ObservedRequest> each : told) {
                each.accept(now);
            }
        }
    }

    @Override
    public void connecting(SimSocket socket) {
        List<Tracked> attempts = pending.get(sidecars.get(socket.host().name()));
        if (attempts == null) {
            return;
        }
        String server = servers.get(socket.peerHost().name());
        for (Tracked each : attempts) {
            if (each.target.equals(server)) {
                attempts.remove(each);
                serverWire(socket).carried = each;
                uses(each, socket, server);
                enter(each, each.attempt(RequestState.CONNECTING));
                return;
            }
        }
    }

    private static void uses(Tracked request, SimSocket upstream, String server) {
        request.upstream = upstream;
        request.server = server;
    }

    @Override
    public void written(SimSocket by, byte[] bytes, int offset, int length) {
        if (by.isListenersEnd()) {
            if (sidecars.containsKey(by.host().name())) {
                sidecarAnswers(by, bytes, offset, length);
            } else {
                serverAnswers(by);
            }
        } else if (sidecars.containsKey(by.host().name())) {
            if (servers.containsKey(by.peerHost().name())) {
                sidecarSends(by, bytes, offset, length);
            }
        } else if (sidecars.containsKey(by.peerHost().name())) {
            clientAsks(by, bytes, offset, length);
        }
    }

    @Override
    public void accepted(SimSocket socket) {
        if (sidecars.containsKey(socket.host().name())) {
            clientWire(socket).acceptedAt = socket.host().localNow();
        }
    }

    private ClientWire clientWire(SimSocket socket) {
        return clientWires.computeIfAbsent(socket.id(), id -> new ClientWire());
    }

    private void clientAsks(SimSocket client, byte[] bytes, int offset, int length) {
        ClientWire wire = clientWire(client);
        int at = offset;
        int end = offset + length;
        while (at < end) {
            if (wire.asked.between()) {
                wire.arriving = null;
                wire.count++;
            }
            at += wire.asked.follow(bytes, at, end - at);
            if (wire.arriving == null && wire.asked.id() != null) {
                arrives(wire, client, requests.get(wire.asked.id()));
            }
            if (wire.asked.between() && wire.arriving != null) {
                wire.arriving.endsAt = client.bytesWritten() - (end - at);
            }
        }
    }

    /**
     * Danger: a bad client may use the id of a request that is open; the first connection counts.
     */
    private void arrives(ClientWire wire, SimSocket client, Tracked request) {
        if (request == null || request.client != null || request.state != RequestState.ARRIVING) {
            return;
        }
        if (wire.idle != null) {
            current.remove(wire.idle.id());
            wire.idle = null;
        }
        wire.arriving = request;
        request.client = client;
        request.place = wire.count;
        request.ahead = wire.open.isEmpty() ? null : wire.open.get(wire.open.size() - 1).id();
        wire.open.add(request);
        enter(request, RequestState.ARRIVING);
    }

    private void sidecarAnswers(SimSocket sidecar, byte[] bytes, int offset, int length) {
        ClientWire wire = clientWires.get(sidecar.id());
        if (wire == null) {
            return;
        }
        int at = offset;
        int end = offset + length;
        while (at < end) {
            boolean begins = wire.answered.between();
            at += wire.answered.follow(bytes, at, end - at);
            if (begins && !wire.answered.isInterim()) {
                for (Tracked each : wire.open) {
                    if (!each.answerBegun()) {
                        enter(each, RequestState.ANSWERED);
                        break;
                    }
                }
            }
        }
    }

    private ServerWire serverWire(SimSocket socket) {
        return serverWires.computeIfAbsent(socket.id(), id -> new ServerWire());
    }

    private void sidecarSends(SimSocket upstream, byte[] bytes, int offset, int length) {
        ServerWire wire = serverWire(upstream);
        int at = offset;
        int end = offset + length;
        while (at < end) {
            if (wire.asked.between()) {
                // On a new connection the attempt is known that has waited for it, else only by its
                // id.
                if (isIn(wire.carried, upstream, RequestState.CONNECTING)) {
                    begins(wire.carried, upstream);
                } else {
                    wire.carried = null;
                }
            }
            at += wire.asked.follow(bytes, at, end - at);
            if (wire.carried == null && wire.asked.id() != null) {
                wire.carried = current.get(wire.asked.id());
                begins(wire.carried, upstream);
            }
            if (wire.asked.between() && isIn(wire.carried, upstream, RequestState.WRITING)) {
                enter(wire.carried, wire.carried.attempt(RequestState.WRITTEN));
            }
        }
    }

    private static boolean isIn(Tracked request, SimSocket upstream, RequestState first) {
        return request != null
                && request.upstream == upstream
                && request.state == request.attempt(first);
    }

    private void begins(Tracked request, SimSocket upstream) {
        if (request == null || request.answerBegun()) {
            return;
        }
        List<Tracked> attempts = pending.get(request.asking.sidecar());
        if (attempts != null) {
            attempts.remove(request);
        }
        uses(request, upstream, servers.get(upstream.peerHost().name()));
        enter(request, request.attempt(RequestState.WRITING));
    }

    private void serverAnswers(SimSocket server) {
        ServerWire wire = serverWires.get(server.id());
        if (wire != null
                && (isIn(wire.carried, server.peer(), RequestState.WRITTEN)
                        || isIn(wire.carried, server.peer(), RequestState.WRITING))) {
            enter(wire.carried, wire.carried.attempt(RequestState.ANSWERING));
        }
    }

    @Override
    public void ended(SimSocket socket, String how) {
        ClientWire wire = socket.isListenersEnd() ? null : clientWires.get(socket.id());
        if (wire == null) {
            return;
        }
        wire.closedAt = socket.host().localNow();
        if (wire.idle != null) {
            current.remove(wire.idle.id());
            wire.idle = null;
        }
    }

    // ---- what the stand-ins tell

    @Override
    public void requestStarted(ClientAttempt asking) {
        Tracked request = new Tracked(asking);
        requests.put(asking.id(), request);
        current.put(asking.id(), request);
        byKey.put(asking.cookieKey(), request);
    }

    @Override
    public void requestSent(String id) {
        Tracked request = current.get(id);
        if (request != null && request.state == RequestState.ARRIVING) {
            enter(request, RequestState.HELD);
        }
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        Tracked request = current.get(id);
        if (request == null) {
            return;
        }
        ClientWire wire = leave(request);
        if (wire != null && wire.open.isEmpty() && request.client.isOpen()) {
            current.put(id, request);
            wire.idle = request;
            enter(request, RequestState.IDLE);
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        over(id);
    }

    @Override
    public void clientGaveUp(String id) {
        over(id);
    }

    private void over(String id) {
        Tracked request = current.get(id);
        if (request != null) {
            leave(request);
        }
    }

    private ClientWire leave(Tracked request) {
        current.remove(request.id());
        request.upstream = null;
        request.server = null;
        List<Tracked> attempts = pending.get(request.asking.sidecar());
        if (attempts != null) {
            attempts.remove(request);
        }
        ClientWire wire = request.client == null ? null : clientWires.get(request.client.id());
        if (wire != null) {
            wire.open.remove(request);
        }
        return wire;
    }

    @Override
    public void sidecarStarted(String sidecar, int life) {
        byModuleId.remove(sidecar);
        pending.remove(sidecar);
    }

    @Override
    public void moduleAccepted(String sidecar, int life, long moduleId, long key) {
        Tracked request = byKey.get(key);
        if (request != null) {
            byModuleId.computeIfAbsent(sidecar, name -> new HashMap<>()).put(moduleId, request);
        }
    }

    private Tracked held(String sidecar, long moduleId) {
        Tracked request = byModuleId.getOrDefault(sidecar, Map.of()).get(moduleId);
        return request != null && current.get(request.id()) == request ? request : null;
    }

    @Override
    public void moduleStartedAttempt(String sidecar, int life, long moduleId, String server) {
        Tracked request = held(sidecar, moduleId);
        if (request == null || request.answerBegun()) {
            return;
        }
        request.attempts++;
        request.target = server;
        request.upstream = null;
        request.server = null;
        List<Tracked> attempts = pending.computeIfAbsent(sidecar, name -> new ArrayList<>(2));
        attempts.remove(request);
        attempts.add(request);
    }

    @Override
    public void moduleOutcome(
            String sidecar, int life, long moduleId, int attempt, String outcome, boolean ended) {
        Tracked request = held(sidecar, moduleId);
        if (request == null
                || ended
                || outcome.equals("OK")
                || request.answerBegun()
                || attempt != request.attempts - 1) {
            return;
        }
        request.upstream = null;
        request.server = null;
        pending.getOrDefault(sidecar, List.of()).remove(request);
        enter(request, RequestState.RESEND_HELD);
    }
}
