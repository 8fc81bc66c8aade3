package appleridge.request;

/** What is logged with a stable name and keyed fields; each kind has its own rate limit. */
public enum LogEvent {
    /** The event loop ran its periodic tick late: nothing was read or sent meanwhile. */
    EVENT_LOOP_STALL("event_loop.stall"),
    /** The event loop turned many times with nothing to do in most of its turns. */
    EVENT_LOOP_SPIN("event_loop.spin"),
    /** A request ended in another way than by an upstream's good response. */
    REQUEST_ENDED("request.ended"),
    /** An attempt ended without a usable response. */
    ATTEMPT_ENDED("attempt.ended"),
    /** Requests are deferred until discovery has caught up, or resumed. */
    REQUESTS_DEFERRED("requests.deferred"),
    /** A client's connection was closed from this side before the client had left. */
    CLIENT_CONNECTION_CLOSED("client_connection.closed"),
    /** New connections are accepted again, or left in the accept queue. */
    ACCEPT_GATE("accept_gate.changed"),
    /** The graceful shutdown takes a step. */
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

    /** The name in the log. */
    public String label() {
        return label;
    }

    /**
     * Whether no rate limit applies: there are a few of them in a process's life, one soon after
     * the other.
     */
    public boolean isAlwaysWritten() {
        return always;
    }
}
