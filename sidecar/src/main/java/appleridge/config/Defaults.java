package appleridge.config;

/**
 * What holds where the operator's file says nothing. Compile-time constants alone: the compiler
 * copies them to where they are used, so that a sidecar without an operator's file doesn't load
 * this class.
 */
public final class Defaults {
    /**
     * Milliseconds from a request's first byte to its last: {@value}. Clients send a request in one
     * piece, and one that stays incomplete has to be answered or closed within 3 s.
     */
    public static final long REQUEST_TIMEOUT_MILLIS = 2000;

    /** Milliseconds from a connection's start to its first request's first byte: {@value}. */
    public static final long FIRST_REQUEST_TIMEOUT_MILLIS = 2000;

    /**
     * Milliseconds from a response to the next request's first byte: {@value}. A client whose
     * connection is closed after a longer pause opens another one at little cost.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 15_000;

    /** Fraction of the process's file descriptors for connections of clients: {@value}. */
    public static final double CLIENT_CONNECTIONS_FRACTION = 0.4;

    /** Fraction of the process's file descriptors for connections to upstream hosts: {@value}. */
    public static final double UPSTREAM_CONNECTIONS_FRACTION = 0.45;

    private Defaults() {}
}
