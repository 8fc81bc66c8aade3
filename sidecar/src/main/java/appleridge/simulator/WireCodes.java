package appleridge.simulator;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.UpdateKind;

/**
 * Maps the codes of the simulator's wire protocol to the product's terms. All numbers are
 * little-endian and all times are nanoseconds. A record is a code (1 byte), the length of its body
 * (4 bytes) and the body, which begins with the sidecar's number (2 bytes) except in {@link
 * #DEFINE_LIST}.
 */
final class WireCodes {
    /** Bytes in front of a record's body: its code and its length. */
    static final int RECORD_HEADER_BYTES = 5;

    // ---- events, from the simulator

    /** A sidecar starts: seed, settings as lines path=value. */
    static final int PROVISION = 1;

    /** An endpoint update: kind, number of a list that was defined earlier. */
    static final int ENDPOINT_UPDATE = 2;

    /** A request arrives. */
    static final int REQUEST = 3;

    /** The first byte of a streamed response has arrived. */
    static final int RESPONSE_STARTED = 4;

    /** An attempt has ended, with its outcome and load report. */
    static final int ATTEMPT_ENDED = 5;

    /** A client has disconnected. */
    static final int CLIENT_DISCONNECTED = 6;

    /** A timer has expired. */
    static final int TIMER = 7;

    /** The result of a health check. */
    static final int HEALTH_CHECK_RESULT = 8;

    /** A gossip message from a peer. */
    static final int GOSSIP = 9;

    /** A sidecar ends. */
    static final int REMOVE = 10;

    /** Defines a list of endpoints under a number that updates refer to. */
    static final int DEFINE_LIST = 11;

    // ---- actions, to the simulator

    /** Send an attempt: request, upstream host, timeout. */
    static final int SEND_ATTEMPT = 1;

    /** Reject a request, with a Retry-After. */
    static final int REJECT = 2;

    /** Fail a request. */
    static final int FAIL = 3;

    /** Cancel an attempt. */
    static final int CANCEL_ATTEMPT = 4;

    /** Set a timer. */
    static final int SET_TIMER = 5;

    /** Send a health check. */
    static final int SEND_HEALTH_CHECK = 6;

    /** Close the idle connections to an upstream host. */
    static final int CLOSE_IDLE_CONNECTIONS = 7;

    /** Send a gossip message to a peer. */
    static final int SEND_GOSSIP = 8;

    /** Log a line. */
    static final int LOG = 9;

    /** Subscribe to the endpoint list or unsubscribe from it. */
    static final int SUBSCRIBE = 11;

    /** Fetch the endpoint list once. */
    static final int FETCH_ENDPOINTS = 12;

    // ---- flags of a request

    /** The request has a cost hint. */
    static final int HAS_COST_HINT = 1;

    /** The client sends the request again. */
    static final int CLIENT_RETRY = 2;

    /** The request writes. */
    static final int WRITE = 4;

    private static final Outcome[] OUTCOMES = {
        Outcome.OK,
        Outcome.ERROR,
        Outcome.REJECTED,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.NEVER_SENT
    };

    private static final UpdateKind[] UPDATE_KINDS = {
        UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT, UpdateKind.FAILURE
    };

    private static final HostState[] HOST_STATES = {
        HostState.GONE, HostState.READY, HostState.DRAINING
    };

    private WireCodes() {}

    /** Reads an attempt's or a health check's outcome. */
    static Outcome outcome(FrameReader in) {
        return in.valueOf(OUTCOMES, in.u8(), "stateCode");
    }

    /** Reads the kind of an endpoint update. */
    static UpdateKind updateKind(FrameReader in) {
        return in.valueOf(UPDATE_KINDS, in.u8(), "form");
    }

    /** Reads an endpoint's state. */
    static HostState hostState(FrameReader in) {
        return in.valueOf(HOST_STATES, in.u8(), "status");
    }
}
