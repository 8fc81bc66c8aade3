package appleridge.request;

/**
 * A client's request in the representation of the protocol that read it; only that protocol can
 * write it.
 */
public interface UpstreamRequest {}
