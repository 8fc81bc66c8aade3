package appleridge.config;

/**
 * What holds where the operator's file says nothing. Compile-time constants alone: the compiler
 * copies them to where they are used, so that a sidecar without an operator's file doesn't load
 * this class.
 */
public final class Defaults {
    /**
     * Milliseconds from a request's first byte to its last. Requests come whole in moments, and
     * what is not one is owed an answer or an end within 3 s.
     */
    public static final long REQUEST_MILLIS = 2000;

    /** Milliseconds from a connection's start to its first request's first byte. */
    public static final long FIRST_REQUEST_MILLIS = 2000;

    /**
     * Milliseconds from an answer to the next request's first byte. A client that keeps its
     * connection for longer between requests than this opens another one at little cost.
     */
    public static final long IDLE_MILLIS = 15_000;

    /** Part of the process's file descriptors for connections of clients. */
    public static final double CLIENTS_PART = 0.4;

    /** Part of the process's file descriptors for connections to upstreams. */
    public static final double UPSTREAMS_PART = 0.45;

    private Defaults() {}
}
