package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** What can go wrong on a day. */
public enum FaultKind {
    /** The upstream connection of a request is reset, at both ends at once. */
    UP_RESET(Target.UPSTREAM),
    /** The same, behind all that is on its way. */
    UP_RESET_LATE(Target.UPSTREAM),
    /** The server ends its sending on it. */
    UP_END(Target.UPSTREAM),
    /** It falls silent for good. */
    UP_SILENT(Target.UPSTREAM),
    /** The server reads no more from it. */
    UP_STALL(Target.UPSTREAM),
    /** It breaks so many bytes further on in the request. */
    UP_CUT_REQUEST(Target.UPSTREAM, FaultParameter.BYTES),
    /** It breaks so many bytes further on in the answer. */
    UP_CUT_ANSWER(Target.UPSTREAM, FaultParameter.BYTES),
    /** The request's answer is spoilt. */
    SPOIL(Target.ANSWER, ResponseCorruption.class),
    /** The request's good answer brings more than belongs to it. */
    EXTRA(Target.ANSWER, ResponseExtra.class),

    /** The client closes its connection. */
    CLIENT_CLOSE(Target.CLIENT),
    /** The client resets its connection. */
    CLIENT_RESET(Target.CLIENT),
    /** The client ends its sending. */
    CLIENT_END(Target.CLIENT),
    /** The client reads no more. */
    CLIENT_STALL(Target.CLIENT),
    /** The client's connection is reset by the network. */
    DOWN_RESET(Target.CLIENT),
    /** The same, behind all that is on its way. */
    DOWN_RESET_LATE(Target.CLIENT),
    /** The client's connection falls silent for good. */
    DOWN_SILENT(Target.CLIENT),
    /** It breaks so many bytes further on in the answer. */
    DOWN_CUT_ANSWER(Target.CLIENT, FaultParameter.BYTES),

    /** New connections to a server take longer. */
    CONNECT_SLOW(Target.SERVER, FaultParameter.FOR, FaultParameter.BY),
    /** New connections to it are refused. */
    CONNECT_REFUSED(Target.SERVER, FaultParameter.FOR),
    /** New connections to it never come up. */
    CONNECT_SILENT(Target.SERVER, FaultParameter.FOR),
    /** It accepts nothing, and its backlog fills. */
    BACKLOG(Target.SERVER, FaultParameter.FOR),
    /** It drains, ends, and a new one comes under a new id at its address. */
    DRAIN(Target.SERVER, FaultParameter.DOWN),
    /** Its process dies; a new one comes under a new id at its address. */
    CRASH(Target.SERVER, FaultParameter.DOWN),
    /** Its process dies and starts again under its id. */
    RESTART(Target.SERVER, FaultParameter.DOWN),
    /** Its machine says nothing for a while. */
    VANISH(Target.SERVER, FaultParameter.FOR),
    /** It accepts and reads, and answers nothing for a while. */
    HANG(Target.SERVER, FaultParameter.FOR),
    /** It is slower. */
    SLOW(Target.SERVER, FaultParameter.FOR, FaultParameter.FACTOR),
    /** So many of its answers in a thousand are errors. */
    FAILING(Target.SERVER, FaultParameter.FOR, FaultParameter.COUNT),
    /** It turns all away. */
    FULL(Target.SERVER, FaultParameter.FOR),
    /** It closes its idle connections. */
    CLOSE_IDLE(Target.SERVER),
    /** Its load reports are late, wrong or unreadable. */
    REPORTS(Target.SERVER, Report.class, FaultParameter.FOR),

    /** Discovery's process is down: watches end, calls are refused. */
    LIST_DOWN(Target.LIST, FaultParameter.FOR),
    /** Discovery's machine says nothing. */
    LIST_SILENT(Target.LIST, FaultParameter.FOR),
    /** Discovery reads calls and answers none until then. */
    LIST_HANG(Target.LIST, FaultParameter.FOR),
    /** Discovery answers each call with 503. */
    LIST_503(Target.LIST, FaultParameter.FOR),
    /** Each call takes so much longer. */
    LIST_SLOW(Target.LIST, FaultParameter.FOR, FaultParameter.BY),
    /** The watches that are out are forgotten: they will never be answered. */
    LIST_LOSES_WATCHES(Target.LIST),
    /** So many answers are cut in the middle. */
    LIST_CUT(Target.LIST, FaultParameter.COUNT),
    /** So many answers can't be read. */
    LIST_GARBLED(Target.LIST, FaultParameter.COUNT),
    /** Whole lists are so old, for a while. */
    LIST_STALE(Target.LIST, FaultParameter.FOR, FaultParameter.BY),
    /** A server's entry goes and comes so often, so long apart. */
    LIST_FLAPS(Target.SERVER, FaultParameter.COUNT, FaultParameter.BY),

    /** A sidecar is killed, and starts again. */
    KILL(Target.SIDECAR, FaultParameter.DOWN),
    /** A sidecar is restarted in order. */
    TERM(Target.SIDECAR, FaultParameter.DOWN),
    /** Discovery moves; all sidecars are told by SIGHUP. */
    MOVE(Target.LIST),
    /** A sidecar's loop stands still. */
    PAUSE(Target.SIDECAR, FaultParameter.FOR),
    /** A sidecar can open only so many descriptors more. */
    NO_DESCRIPTORS(Target.SIDECAR, FaultParameter.FOR, FaultParameter.COUNT),
    /** A sidecar's wall clock steps. */
    WALL_STEP(Target.SIDECAR, FaultParameter.BY),
    /** What a sidecar sends and gets takes longer. */
    LINK_LATE(Target.SIDECAR, FaultParameter.FOR, FaultParameter.BY),
    /** What it sends and gets comes in pieces of so many bytes at most. */
    LINK_CHOPPED(Target.SIDECAR, FaultParameter.FOR, FaultParameter.COUNT),
    /** No more than so many bytes a second pass. */
    LINK_THIN(Target.SIDECAR, FaultParameter.FOR, FaultParameter.BYTES),

    /** A site is cut off from the others. */
    ZONE_CUT(Target.ZONE, FaultParameter.FOR),
    /** A tenant sends more by so many requests a second, through one sidecar. */
    FLOOD(Target.SIDECAR, FaultParameter.FOR, FaultParameter.RATE),
    /** So many bad clients come to a sidecar. */
    BAD(Target.SIDECAR, BadClientKind.class, FaultParameter.COUNT),

    /** No server of the coordination service answers. */
    NODES_DOWN(Target.NODES, FaultParameter.FOR),
    /** Those that answer have lost the others. */
    NODES_READ_ONLY(Target.NODES, FaultParameter.FOR),
    /** Those that answer are behind by so much. */
    NODES_LAG(Target.NODES, FaultParameter.FOR, FaultParameter.BY),
    /** Their answers take so much longer; what they tell by themselves does not. */
    NODES_SLOW(Target.NODES, FaultParameter.FOR, FaultParameter.BY),
    /**
     * The coordination service has lost everything; the servers' nodes are there again within so
     * long.
     */
    NODES_WIPED(Target.NODES, FaultParameter.DOWN),
    /** A sidecar's connection to it is lost for so long; its session too, if it lives shorter. */
    NODES_LOST(Target.SIDECAR, FaultParameter.FOR),
    /**
     * A server's session ends and is there again, so often and so long apart; its process goes on.
     */
    NODE_FLAPS(Target.SERVER, FaultParameter.COUNT, FaultParameter.BY),
    /** A server's node can't be read for a while. */
    NODE_GARBLED(Target.SERVER, FaultParameter.FOR);

    /** What a fault is aimed at. */
    enum Target {
        /** The upstream connection of a request; only by a trap. */
        UPSTREAM,
        /** The answer that a server makes for a request; only by a trap. */
        ANSWER,
        /** A client's connection; only by a trap. */
        CLIENT,
        /** A machine with its server; by a trap without a name: the request's. */
        SERVER,
        /** Discovery. */
        LIST,
        /** The coordination service. */
        NODES,
        /** A sidecar; by a trap without a name: the request's. */
        SIDECAR,
        /** A site; by a trap without a name: one by chance. */
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

    /** Whether it is one of the coordination service, and nothing on a day without. */
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

    /** The figures that it has; all of them are always given. */
    List<FaultParameter> params() {
        return params;
    }

    /** The words of its styles; empty if it has none. */
    List<String> styles() {
        return styles == null
                ? List.of()
                : Arrays.stream(styles.getEnumConstants()).map(FaultKind::word).toList();
    }

    /** Whether it needs a request to be aimed at. */
    public boolean requiresRequest() {
        return target == Target.UPSTREAM || target == Target.CLIENT || target == Target.ANSWER;
    }

    /** Whether it can strike a request in that state. */
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
     * Whether it is worth aiming at a request in that state: else it would meet none, or another.
     */
    boolean isWorthInjecting(RequestState state) {
        boolean answering =
                state == RequestState.ANSWERING || state == RequestState.RESEND_ANSWERING;
        return switch (this) {
            case CLOSE_IDLE ->
                    answering
                            || UP_RESET.canAffect(state)
                                    && state != RequestState.CONNECTING
                                    && state != RequestState.RESEND_CONNECTING;
            case UP_CUT_REQUEST -> canAffect(state) && !answering;
            default -> canAffect(state);
        };
    }

    /**
     * Whether it would change anything for this request: on a new connection a server finds nothing
     * idle.
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

    /** As a scenario names it. */
    public String word() {
        return word(this);
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static <E extends Enum<E>> E of(Class<E> type, String word) {
        return of(type, "word", word);
    }

    /** What a person writes; {@code what} it is to be, for the error if it is none. */
    static <E extends Enum<E>> E of(Class<E> type, String what, String word) {
        for (E each : type.getEnumConstants()) {
            if (word(each).equals(word)) {
                return each;
            }
        }
        throw new IllegalArgumentException(
                Nearest.unknown(
                        what,
                        word,
                        Arrays.stream(type.getEnumConstants()).map(FaultKind::word).toList()));
    }
}
