package appleridge.config;

/**
 * Default values of the operator's settings. All are compile-time constants, which the compiler
 * inlines, so that a sidecar without an operator's file doesn't load this class.
 */
public final class Defaults {
    /**
     * Milliseconds from a request's first byte to its last: {@value}. Clients send a request in one
     * piece. An incomplete request has to be answered, or its connection closed, within 3 s.
     */
    public static final long REQUEST_TIMEOUT_MILLIS = 2000;

    /** Milliseconds from a connection's start to its first request's first byte: {@value}. */
    public static final long FIRST_REQUEST_TIMEOUT_MILLIS = 2000;

    /**
     * Milliseconds from a response to the next request's first byte: {@value}. A client whose
     * connection is closed after a longer pause opens another one at little cost.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 15_000;

    /** Fraction of the process's file descriptors for client connections: {@value}. */
    public static final double CLIENT_CONNECTIONS_FRACTION = 0.4;

    /** Fraction of the process's file descriptors for upstream connections: {@value}. */
    public static final double UPSTREAM_CONNECTIONS_FRACTION = 0.45;

    private Defaults() {}
}
