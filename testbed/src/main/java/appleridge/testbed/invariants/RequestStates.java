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
 * Derives the state of each well-behaved client's request from the bytes on the sockets, the
 * stand-ins' events and the decision module's events. It must receive each event before anything
 * that acts on a state.
 *
 * <p>Listeners for a state are called synchronously, within the event that brings it about. They
 * may fault sockets right there; ending or pausing a process has to be scheduled as a step of its
 * own.
 */
public final class RequestStates implements DayListener, Tap, SocketObserver {
    private final Map<String, String> sidecars = new HashMap<>();
    private final Map<String, String> servers = new HashMap<>();
    private final Map<String, TrackedRequest> requests = new HashMap<>();

    /** Requests in flight, and answered ones whose connection is kept alive. */
    private final Map<String, TrackedRequest> current = new LinkedHashMap<>();

    private final Map<Long, ClientConnection> clientConnections = new HashMap<>();
    private final Map<Long, ServerConnection> serverConnections = new HashMap<>();

    /** By sidecar, attempts of which neither a byte nor a connect has been seen. */
    private final Map<String, List<TrackedRequest>> pending = new HashMap<>();

    private final Map<Long, TrackedRequest> byKey = new HashMap<>();
    private final Map<String, Map<Long, TrackedRequest>> byModuleId = new HashMap<>();
    private final Map<RequestState, List<Consumer<ObservedRequest>>> listeners =
            new EnumMap<>(RequestState.class);

    /** The requests and answers on a client's connection. */
    private static final class ClientConnection {
        private final HttpMessageScanner requestScan = new HttpMessageScanner();
        private final HttpMessageScanner answerScan = new HttpMessageScanner();
        private final List<TrackedRequest> open = new ArrayList<>(2);

        /** The request that is being written. */
        private TrackedRequest arriving;

        private TrackedRequest idle;
        private int requestCount;
        private long acceptedAt = AttemptRecord.NEVER;
        private long closedAt = AttemptRecord.NEVER;
    }

    /** The requests on a connection to a server. */
    private static final class ServerConnection {
        private final HttpMessageScanner requestScan = new HttpMessageScanner();
        private TrackedRequest tracked;
    }

    /** Registers a sidecar whose process runs on the host of this name. */
    public void registerSidecar(String host, String sidecar) {
        sidecars.put(host, sidecar);
    }

    /** Registers the server that runs on the host of this name, in place of any earlier one. */
    public void registerServer(String host, String server) {
        servers.put(host, server);
    }

    /** Calls the listener for each request that enters the state. */
    public void onEnter(RequestState state, Consumer<ObservedRequest> listener) {
        listeners.computeIfAbsent(state, any -> new ArrayList<>(2)).add(listener);
    }

    /** Returns the state of a request; null if it has ended or is unknown. */
    public RequestState state(String id) {
        TrackedRequest request = current.get(id);
        return request == null ? null : request.state;
    }

    /** Returns whether a sidecar or server of this name is registered. */
    public boolean knows(String sidecarOrServer) {
        return sidecars.containsValue(sidecarOrServer) || servers.containsValue(sidecarOrServer);
    }

    /** Returns all requests that have a state, in the order in which they started. */
    public List<ObservedRequest> all() {
        List<ObservedRequest> all = new ArrayList<>(current.size());
        current.values().forEach(each -> all.add(each.now()));
        return all;
    }

    /** Returns the requests at a sidecar, or on a connection to a server. */
    public List<ObservedRequest> at(String sidecarOrServer) {
        List<ObservedRequest> there = new ArrayList<>();
        for (TrackedRequest each : current.values()) {
            if (each.attempt.sidecar().equals(sidecarOrServer)
                    || sidecarOrServer.equals(each.server)) {
                there.add(each.now());
            }
        }
        return there;
    }

    /**
     * Returns the request on the connection with this end, of a client or of a sidecar; null if
     * there is none.
     */
    public ObservedRequest onConnection(SimSocket end) {
        for (TrackedRequest each : current.values()) {
            if (each.upstream == end && !each.answerBegun()
                    || each.client == end && each.state != RequestState.IDLE) {
                return each.now();
            }
        }
        return null;
    }

    /**
     * Returns the request that the module of this sidecar knows by this number; null if it has
     * ended or is unknown.
     */
    public ObservedRequest ofModule(String sidecar, long moduleId) {
        TrackedRequest request = byModule(sidecar, moduleId);
        return request == null ? null : request.now();
    }

    // ---- socket events

    @Override
    public int positionOnConnection(String id) {
        TrackedRequest request = requests.get(id);
        return request == null ? 0 : request.position;
    }

    @Override
    public String idAhead(String id) {
        TrackedRequest request = requests.get(id);
        return request == null ? null : request.ahead;
    }

    @Override
    public boolean wasRead(String id) {
        TrackedRequest request = requests.get(id);
        return request != null
                && request.endsAt >= 0
                && request.client.peer() != null
                && request.client.peer().bytesRead() >= request.endsAt;
    }

    @Override
    public long acceptedAt(String id) {
        TrackedRequest request = requests.get(id);
        return request == null || request.client == null
                ? AttemptRecord.NEVER
                : clientConnections.get(request.client.id()).acceptedAt;
    }

    @Override
    public long closedAt(String id) {
        TrackedRequest request = requests.get(id);
        if (request == null || request.client == null) {
            return AttemptRecord.NEVER;
        }
        return clientConnections.get(request.client.id()).closedAt;
    }

    @Override
    public long answerBegunAt(String id) {
        TrackedRequest request = requests.get(id);
        return request == null ? AttemptRecord.NEVER : request.answerBegunAt;
    }

    @Override
    public long lastAnswerReadAt(String id) {
        TrackedRequest request = requests.get(id);
        return request == null ? AttemptRecord.NEVER : request.lastAnswerReadAt;
    }

    private void enter(TrackedRequest request, RequestState state) {
        if (request.state == state && state != RequestState.ARRIVING) {
            return;
        }
        request.state = state;
        List<Consumer<ObservedRequest>> stateListeners = listeners.get(state);
        if (stateListeners != null) {
            ObservedRequest now = request.now();
            for (Consumer<ObservedRequest> each : stateListeners) {
                each.accept(now);
            }
        }
    }

    @Override
    public void connecting(SimSocket socket) {
        List<TrackedRequest> attempts = pending.get(sidecars.get(socket.host().name()));
        if (attempts == null) {
            return;
        }
        String server = servers.get(socket.peerHost().name());
        for (TrackedRequest each : attempts) {
            if (each.target.equals(server)) {
                attempts.remove(each);
                serverConnection(socket).tracked = each;
                setUpstream(each, socket, server);
                enter(each, each.stateOfAttempt(RequestState.CONNECTING));
                return;
            }
        }
    }

    private static void setUpstream(TrackedRequest request, SimSocket upstream, String server) {
        request.upstream = upstream;
        request.server = server;
    }

    @Override
    public void written(SimSocket by, byte[] bytes, int offset, int length) {
        if (by.isServerEnd()) {
            if (sidecars.containsKey(by.host().name())) {
                sidecarWritesToClient(by, bytes, offset, length);
            } else {
                serverWrites(by);
            }
        } else if (sidecars.containsKey(by.host().name())) {
            if (servers.containsKey(by.peerHost().name())) {
                sidecarWritesToServer(by, bytes, offset, length);
            }
        } else if (sidecars.containsKey(by.peerHost().name())) {
            clientWrites(by, bytes, offset, length);
        }
    }

    @Override
    public void accepted(SimSocket socket) {
        if (sidecars.containsKey(socket.host().name())) {
            clientConnection(socket).acceptedAt = socket.host().localNow();
        }
    }

    private ClientConnection clientConnection(SimSocket socket) {
        return clientConnections.computeIfAbsent(socket.id(), id -> new ClientConnection());
    }

    private void clientWrites(SimSocket client, byte[] bytes, int offset, int length) {
        ClientConnection connection = clientConnection(client);
        int at = offset;
        int end = offset + length;
        while (at < end) {
            if (connection.requestScan.isBetweenMessages()) {
                connection.arriving = null;
                connection.requestCount++;
            }
            at += connection.requestScan.scan(bytes, at, end - at);
            if (connection.arriving == null && connection.requestScan.id() != null) {
                assignToConnection(connection, client, requests.get(connection.requestScan.id()));
            }
            if (connection.requestScan.isBetweenMessages() && connection.arriving != null) {
                connection.arriving.endsAt = client.bytesWritten() - (end - at);
            }
        }
    }

    /**
     * Assigns the request to its connection. A bad client may use the id of an open request; the
     * first connection counts.
     */
    private void assignToConnection(
            ClientConnection connection, SimSocket client, TrackedRequest request) {
        if (request == null || request.client != null || request.state != RequestState.ARRIVING) {
            return;
        }
        if (connection.idle != null) {
            current.remove(connection.idle.id());
            connection.idle = null;
        }
        connection.arriving = request;
        request.client = client;
        request.position = connection.requestCount;
        request.ahead =
                connection.open.isEmpty()
                        ? null
                        : connection.open.get(connection.open.size() - 1).id();
        connection.open.add(request);
        enter(request, RequestState.ARRIVING);
    }

    private void sidecarWritesToClient(SimSocket sidecar, byte[] bytes, int offset, int length) {
        ClientConnection connection = clientConnections.get(sidecar.id());
        if (connection == null) {
            return;
        }
        int at = offset;
        int end = offset + length;
        while (at < end) {
            boolean answerBegins = connection.answerScan.isBetweenMessages();
            at += connection.answerScan.scan(bytes, at, end - at);
            if (answerBegins && !connection.answerScan.isInterim()) {
                for (TrackedRequest each : connection.open) {
                    if (!each.answerBegun()) {
                        each.answerBegunAt = sidecar.host().localNow();
                        enter(each, RequestState.ANSWERED);
                        break;
                    }
                }
            }
        }
    }

    private ServerConnection serverConnection(SimSocket socket) {
        return serverConnections.computeIfAbsent(socket.id(), id -> new ServerConnection());
    }

    private void sidecarWritesToServer(SimSocket upstream, byte[] bytes, int offset, int length) {
        ServerConnection connection = serverConnection(upstream);
        int at = offset;
        int end = offset + length;
        while (at < end) {
            if (connection.requestScan.isBetweenMessages()) {
                // On a new connection the attempt that waited for it is known at once; otherwise
                // only the id identifies it.
                if (isIn(connection.tracked, upstream, RequestState.CONNECTING)) {
                    startsWriting(connection.tracked, upstream);
                } else {
                    connection.tracked = null;
                }
            }
            at += connection.requestScan.scan(bytes, at, end - at);
            if (connection.tracked == null && connection.requestScan.id() != null) {
                connection.tracked = current.get(connection.requestScan.id());
                startsWriting(connection.tracked, upstream);
            }
            if (connection.requestScan.isBetweenMessages()
                    && isIn(connection.tracked, upstream, RequestState.WRITING)) {
                enter(connection.tracked, connection.tracked.stateOfAttempt(RequestState.WRITTEN));
            }
        }
    }

    private static boolean isIn(TrackedRequest request, SimSocket upstream, RequestState first) {
        return request != null
                && request.upstream == upstream
                && request.state == request.stateOfAttempt(first);
    }

    private void startsWriting(TrackedRequest request, SimSocket upstream) {
        if (request == null || request.answerBegun()) {
            return;
        }
        List<TrackedRequest> attempts = pending.get(request.attempt.sidecar());
        if (attempts != null) {
            attempts.remove(request);
        }
        setUpstream(request, upstream, servers.get(upstream.peerHost().name()));
        enter(request, request.stateOfAttempt(RequestState.WRITING));
    }

    @Override
    public void read(SimSocket by, byte[] bytes, int offset, int length) {
        ServerConnection connection = by.isServerEnd() ? null : serverConnections.get(by.id());
        if (connection != null && connection.tracked != null) {
            connection.tracked.lastAnswerReadAt = by.host().localNow();
        }
    }

    private void serverWrites(SimSocket server) {
        ServerConnection connection = serverConnections.get(server.id());
        if (connection != null
                && (isIn(connection.tracked, server.peer(), RequestState.WRITTEN)
                        || isIn(connection.tracked, server.peer(), RequestState.WRITING))) {
            enter(connection.tracked, connection.tracked.stateOfAttempt(RequestState.ANSWERING));
        }
    }

    @Override
    public void ended(SimSocket socket, String how) {
        ClientConnection connection =
                socket.isServerEnd() ? null : clientConnections.get(socket.id());
        if (connection == null) {
            return;
        }
        connection.closedAt = socket.host().localNow();
        if (connection.idle != null) {
            current.remove(connection.idle.id());
            connection.idle = null;
        }
    }

    // ---- events of the stand-ins

    @Override
    public void requestStarted(ClientAttempt attempt) {
        TrackedRequest request = new TrackedRequest(attempt);
        requests.put(attempt.id(), request);
        current.put(attempt.id(), request);
        byKey.put(attempt.cookieKey(), request);
    }

    @Override
    public void requestSent(String id) {
        TrackedRequest request = current.get(id);
        if (request != null && request.state == RequestState.ARRIVING) {
            enter(request, RequestState.HELD);
        }
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        TrackedRequest request = current.get(id);
        if (request == null) {
            return;
        }
        ClientConnection connection = remove(request);
        if (connection != null && connection.open.isEmpty() && request.client.isOpen()) {
            current.put(id, request);
            connection.idle = request;
            enter(request, RequestState.IDLE);
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        endRequest(id);
    }

    @Override
    public void clientGaveUp(String id) {
        endRequest(id);
    }

    private void endRequest(String id) {
        TrackedRequest request = current.get(id);
        if (request != null) {
            remove(request);
        }
    }

    private ClientConnection remove(TrackedRequest request) {
        current.remove(request.id());
        request.upstream = null;
        request.server = null;
        List<TrackedRequest> attempts = pending.get(request.attempt.sidecar());
        if (attempts != null) {
            attempts.remove(request);
        }
        ClientConnection connection =
                request.client == null ? null : clientConnections.get(request.client.id());
        if (connection != null) {
            connection.open.remove(request);
        }
        return connection;
    }

    @Override
    public void sidecarStarted(String sidecar, int incarnation) {
        byModuleId.remove(sidecar);
        pending.remove(sidecar);
    }

    @Override
    public void moduleAccepted(String sidecar, int incarnation, long moduleId, long key) {
        TrackedRequest request = byKey.get(key);
        if (request != null) {
            byModuleId.computeIfAbsent(sidecar, name -> new HashMap<>()).put(moduleId, request);
        }
    }

    private TrackedRequest byModule(String sidecar, long moduleId) {
        TrackedRequest request = byModuleId.getOrDefault(sidecar, Map.of()).get(moduleId);
        return request != null && current.get(request.id()) == request ? request : null;
    }

    @Override
    public void moduleStartedAttempt(
            String sidecar, int incarnation, long moduleId, String server) {
        TrackedRequest request = byModule(sidecar, moduleId);
        if (request == null || request.answerBegun()) {
            return;
        }
        request.attempts++;
        request.target = server;
        request.upstream = null;
        request.server = null;
        List<TrackedRequest> attempts =
                pending.computeIfAbsent(sidecar, name -> new ArrayList<>(2));
        attempts.remove(request);
        attempts.add(request);
    }

    @Override
    public void moduleOutcome(
            String sidecar,
            int incarnation,
            long moduleId,
            int attempt,
            String outcome,
            boolean ended) {
        TrackedRequest request = byModule(sidecar, moduleId);
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
