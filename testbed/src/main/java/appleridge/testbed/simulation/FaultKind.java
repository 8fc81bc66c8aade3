package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The kinds of faults that can be injected on a simulated day. */
public enum FaultKind {

    /** The upstream connection of a request is reset at both ends at once. */
    UP_RESET(Target.UPSTREAM),
    /** The upstream connection is reset after the bytes in transit have been delivered. */
    UP_RESET_LATE(Target.UPSTREAM),
    /** The server shuts down its output on the upstream connection. */
    UP_END(Target.UPSTREAM),
    /** The upstream connection delivers nothing any more. */
    UP_SILENT(Target.UPSTREAM),
    /** The server stops reading from the upstream connection. */
    UP_STALL(Target.UPSTREAM),
    /** The upstream connection breaks this many bytes later, within the request. */
    UP_CUT_REQUEST(Target.UPSTREAM, FaultParameter.BYTES),
    /** The upstream connection breaks this many bytes later, within the response. */
    UP_CUT_ANSWER(Target.UPSTREAM, FaultParameter.BYTES),
    /** The server's response to the request is corrupted. */
    SPOIL(Target.ANSWER, ResponseCorruption.class),
    /** The server's successful response comes with something that does not belong to it. */
    EXTRA(Target.ANSWER, ResponseExtra.class),

    /** The client closes its connection. */
    CLIENT_CLOSE(Target.CLIENT),
    /** The client resets its connection. */
    CLIENT_RESET(Target.CLIENT),
    /** The client shuts down its output. */
    CLIENT_END(Target.CLIENT),
    /** The client stops reading. */
    CLIENT_STALL(Target.CLIENT),
    /** The client's connection is reset by the network. */
    DOWN_RESET(Target.CLIENT),
    /** The client's connection is reset after the bytes in transit have been delivered. */
    DOWN_RESET_LATE(Target.CLIENT),
    /** The client's connection delivers nothing any more. */
    DOWN_SILENT(Target.CLIENT),
    /** The client's connection breaks this many bytes later, within the response. */
    DOWN_CUT_ANSWER(Target.CLIENT, FaultParameter.BYTES),

    /** New connections to a server take longer. */
    CONNECT_SLOW(Target.SERVER, FaultParameter.FOR, FaultParameter.BY),
    /** New connections to a server are refused. */
    CONNECT_REFUSED(Target.SERVER, FaultParameter.FOR),
    /** New connections to a server are never established. */
    CONNECT_SILENT(Target.SERVER, FaultParameter.FOR),
    /** A server accepts no connections, so its backlog fills. */
    BACKLOG(Target.SERVER, FaultParameter.FOR),
    /** A server drains and ends; a new one with a new uid starts at its address. */
    DRAIN(Target.SERVER, FaultParameter.DOWN),
    /** A server's process crashes; a new one with a new uid starts at its address. */
    CRASH(Target.SERVER, FaultParameter.DOWN),
    /** A server's process crashes and restarts with the same uid. */
    RESTART(Target.SERVER, FaultParameter.DOWN),
    /** A server's machine sends nothing for a while. */
    VANISH(Target.SERVER, FaultParameter.FOR),
    /** A server accepts and reads, but does not respond for a while. */
    HANG(Target.SERVER, FaultParameter.FOR),
    /** A server is slower. */
    SLOW(Target.SERVER, FaultParameter.FOR, FaultParameter.FACTOR),
    /** This many of a thousand responses of a server are errors. */
    FAILING(Target.SERVER, FaultParameter.FOR, FaultParameter.COUNT),
    /** A server rejects all requests. */
    FULL(Target.SERVER, FaultParameter.FOR),
    /** A server closes its idle connections. */
    CLOSE_IDLE(Target.SERVER),
    /** The load reports of a server are late, wrong or unreadable. */
    REPORTS(Target.SERVER, LoadReportQuality.class, FaultParameter.FOR),

    /** Discovery's process is down: watches end and connections are refused. */
    LIST_DOWN(Target.LIST, FaultParameter.FOR),
    /** Discovery's machine sends nothing. */
    LIST_SILENT(Target.LIST, FaultParameter.FOR),
    /** Discovery reads calls but responds to none until the fault ends. */
    LIST_HANG(Target.LIST, FaultParameter.FOR),
    /** Discovery responds to each call with status 503. */
    LIST_503(Target.LIST, FaultParameter.FOR),
    /** Each call to discovery takes this much longer. */
    LIST_SLOW(Target.LIST, FaultParameter.FOR, FaultParameter.BY),
    /** Discovery forgets its pending watches and never responds to them. */
    LIST_LOSES_WATCHES(Target.LIST),
    /** This many of discovery's responses are truncated. */
    LIST_CUT(Target.LIST, FaultParameter.COUNT),
    /** This many of discovery's responses are unreadable. */
    LIST_GARBLED(Target.LIST, FaultParameter.COUNT),
    /** Snapshots of the endpoint list are this old for a while. */
    LIST_STALE(Target.LIST, FaultParameter.FOR, FaultParameter.BY),
    /** A server's entry disappears and reappears this many times, at this interval. */
    LIST_FLAPS(Target.SERVER, FaultParameter.COUNT, FaultParameter.BY),

    /** A sidecar is killed and starts again. */
    KILL(Target.SIDECAR, FaultParameter.DOWN),
    /** A sidecar is terminated gracefully and starts again. */
    TERM(Target.SIDECAR, FaultParameter.DOWN),
    /** Discovery moves to another address; all sidecars get SIGHUP. */
    MOVE(Target.LIST),
    /** A sidecar's event loop is paused. */
    PAUSE(Target.SIDECAR, FaultParameter.FOR),
    /** A sidecar can open only this many more descriptors. */
    NO_DESCRIPTORS(Target.SIDECAR, FaultParameter.FOR, FaultParameter.COUNT),
    /** A sidecar's wall clock steps. */
    WALL_STEP(Target.SIDECAR, FaultParameter.BY),
    /** Everything that a sidecar sends and receives is delayed. */
    LINK_LATE(Target.SIDECAR, FaultParameter.FOR, FaultParameter.BY),
    /** Everything that a sidecar sends and receives arrives in segments of at most this size. */
    LINK_CHOPPED(Target.SIDECAR, FaultParameter.FOR, FaultParameter.COUNT),
    /** A sidecar's links carry at most this many bytes per second. */
    LINK_THIN(Target.SIDECAR, FaultParameter.FOR, FaultParameter.BYTES),

    /** A zone is partitioned from the others. */
    ZONE_CUT(Target.ZONE, FaultParameter.FOR),
    /** A tenant sends this many additional requests per second through one sidecar. */
    FLOOD(Target.SIDECAR, FaultParameter.FOR, FaultParameter.RATE),
    /** This many misbehaving clients connect to a sidecar. */
    BAD(Target.SIDECAR, BadClientKind.class, FaultParameter.COUNT),

    /** No server of the coordination service responds. */
    NODES_DOWN(Target.NODES, FaultParameter.FOR),
    /** The servers that respond have lost the quorum and are read-only. */
    NODES_READ_ONLY(Target.NODES, FaultParameter.FOR),
    /** The servers that respond lag behind by this much. */
    NODES_LAG(Target.NODES, FaultParameter.FOR, FaultParameter.BY),
    /** Responses of the servers take this much longer; watch events do not. */
    NODES_SLOW(Target.NODES, FaultParameter.FOR, FaultParameter.BY),
    /**
     * The coordination service has lost all data; the order servers create their nodes again within
     * this time.
     */
    NODES_WIPED(Target.NODES, FaultParameter.DOWN),
    /**
     * A sidecar's connection to the coordination service is lost for this long; its session expires
     * too if the session timeout is shorter.
     */
    NODES_LOST(Target.SIDECAR, FaultParameter.FOR),
    /**
     * A server's session ends and is established again this many times, at this interval, while its
     * process keeps running.
     */
    NODE_FLAPS(Target.SERVER, FaultParameter.COUNT, FaultParameter.BY),
    /** The data of a server's node is unreadable for a while. */
    NODE_GARBLED(Target.SERVER, FaultParameter.FOR);

    /** The part of the simulated world that a fault affects. */
    enum Target {

        /** The upstream connection of a request; needs a state trigger. */
        UPSTREAM,
        /** The response of a server to a request; needs a state trigger. */
        ANSWER,
        /** A client's connection; needs a state trigger. */
        CLIENT,
        /** A machine with its server; a state trigger without a name takes the request's. */
        SERVER,
        /** Discovery. */
        LIST,
        /** The coordination service. */
        NODES,
        /** A sidecar; a state trigger without a name takes the request's. */
        SIDECAR,
        /** A zone; a state trigger without a name draws one at random. */
        ZONE
    }

    private final Target target;
    private final Class<? extends Enum<?>> styles;
    private final List<FaultParameter> params;

    FaultKind(Target target, FaultParameter... params) {
        this(target, null, params);
    }

    FaultKind(Target target, Class<? extends Enum<?>> styles, FaultParameter... params) {
        this.target = target;
        this.styles = styles;
        this.params = List.of(params);
    }

    Target target() {
        return target;
    }

    /**
     * Whether the fault concerns the coordination service; it has no effect on a day without one.
     */
    boolean affectsCoordination() {
        return switch (this) {
            case NODES_DOWN,
                    NODES_READ_ONLY,
                    NODES_LAG,
                    NODES_SLOW,
                    NODES_WIPED,
                    NODES_LOST,
                    NODE_FLAPS,
                    NODE_GARBLED ->
                    true;
            default -> false;
        };
    }

    /** The parameters of the fault; each of them is required. */
    List<FaultParameter> params() {
        return params;
    }

    /** The names of the variants of the fault; empty if it has none. */
    List<String> styles() {
        return styles == null
                ? List.of()
                : Arrays.stream(styles.getEnumConstants()).map(FaultKind::word).toList();
    }

    /** The names of the variants that are drawn on any day; empty if the fault has none. */
    List<String> drawnStyles() {
        return this != BAD
                ? styles()
                : Arrays.stream(BadClientKind.values())
                        .filter(kind -> !kind.fillsBuffers())
                        .map(FaultKind::word)
                        .toList();
    }

    /** Whether the fault acts on a request and therefore needs a state trigger. */
    public boolean requiresRequest() {
        return target == Target.UPSTREAM || target == Target.CLIENT || target == Target.ANSWER;
    }

    /** Whether the fault can affect a request in this state. */
    public boolean canAffect(RequestState state) {
        boolean attempt =
                switch (state) {
                    case CONNECTING,
                            WRITING,
                            WRITTEN,
                            ANSWERING,
                            RESEND_CONNECTING,
                            RESEND_WRITING,
                            RESEND_WRITTEN,
                            RESEND_ANSWERING ->
                            true;
                    default -> false;
                };
        return switch (target) {
            case UPSTREAM -> attempt;
            case ANSWER ->
                    attempt
                            && state != RequestState.ANSWERING
                            && state != RequestState.RESEND_ANSWERING;
            default -> true;
        };
    }

    /**
     * Whether a random plan should inject the fault at a request in this state: otherwise it would
     * affect no request, or a different one.
     */
    boolean isWorthInjecting(RequestState state) {
        boolean responding =
                state == RequestState.ANSWERING || state == RequestState.RESEND_ANSWERING;
        return switch (this) {
            case CLOSE_IDLE ->
                    responding
                            || UP_RESET.canAffect(state)
                                    && state != RequestState.CONNECTING
                                    && state != RequestState.RESEND_CONNECTING;
            case UP_CUT_REQUEST -> canAffect(state) && !responding;
            default -> canAffect(state);
        };
    }

    /**
     * Whether the fault changes anything for this request. Closing idle connections does not while
     * the request is sent on a new connection, which the server has not accepted yet.
     */
    boolean affects(ObservedRequest request) {
        boolean sending =
                switch (request.state()) {
                    case WRITING, WRITTEN, RESEND_WRITING, RESEND_WRITTEN -> true;
                    default -> false;
                };
        return this != CLOSE_IDLE
                || !sending
                || request.upstream() != null && request.upstream().isAccepted();
    }

    /** The name of the fault in a scenario file. */
    public String word() {
        return word(this);
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static <E extends Enum<E>> E of(Class<E> type, String word) {
        return of(type, "word", word);
    }

    /**
     * Parses the name of a constant in a scenario file.
     *
     * @param expected the kind of name that is expected, for the error message
     */
    static <E extends Enum<E>> E of(Class<E> type, String expected, String word) {
        for (E each : type.getEnumConstants()) {
            if (word(each).equals(word)) {
                return each;
            }
        }
        throw new IllegalArgumentException(
                Suggestions.unknownName(
                        expected,
                        word,
                        Arrays.stream(type.getEnumConstants()).map(FaultKind::word).toList()));
    }
}
