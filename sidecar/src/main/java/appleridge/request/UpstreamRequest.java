package appleridge.request;

/**
 * A client's request in the representation of the protocol that read it; only that protocol can
 * write it.
 */
public interface UpstreamRequest {
    /** Releases what is reserved for the request: it and all its attempts have ended. */
    default void release() {}
}
