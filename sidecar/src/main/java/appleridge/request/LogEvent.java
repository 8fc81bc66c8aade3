package appleridge.request;

/** An event that is logged with a stable name and keyed fields; each has its own rate limit. */
public enum LogEvent {
    /** The event loop ran its periodic tick late and read and sent nothing meanwhile. */
    EVENT_LOOP_STALL("event_loop.stall"),
    /** The event loop turned many times, mostly without an event to handle. */
    EVENT_LOOP_SPIN("event_loop.spin"),
    /** A request ended without a successful response, or with one after its deadline. */
    REQUEST_ENDED("request.ended"),
    /** A request was dropped before it was accepted. */
    REQUEST_DROPPED("request.dropped"),
    /** An attempt ended without a usable response. */
    ATTEMPT_ENDED("attempt.ended"),
    /** Requests are deferred until discovery has caught up, or deferred requests are resumed. */
    REQUESTS_DEFERRED("requests.deferred"),
    /** Whether attempts may begin by the endpoint list at hand has changed. */
    ENDPOINT_LIST("endpoint_list.changed"),
    /** The sidecar closed a client's connection before the client did. */
    CLIENT_CONNECTION_CLOSED("client_connection.closed"),
    /** The sidecar closed the connection of an attempt that had not ended. */
    UPSTREAM_CONNECTION_CLOSED("upstream_connection.closed"),
    /** The sidecar starts to accept new connections, or leaves them in the accept queue. */
    ACCEPT_GATE("accept_gate.changed"),
    /** Decisions on whether requests are sent; {@link DecisionLog} bounds them. */
    REQUEST_DECISIONS("request.decisions", true),
    /** Bytes were refused to a peer, because too many are buffered. */
    BUFFER_LIMIT("buffers.limit_reached"),
    /** The graceful shutdown reached its next step. */
    DRAIN("drain.step", true);

    private final String label;
    private final boolean always;

    LogEvent(String label) {
        this(label, false);
    }

    LogEvent(String label, boolean always) {
        this.label = label;
        this.always = always;
    }

    /** The name of the event in the log. */
    public String label() {
        return label;
    }

    /**
     * Whether the event is exempt from the rate limit: a process logs only a few of them, or their
     * source limits them.
     */
    public boolean isAlwaysWritten() {
        return always;
    }
}
