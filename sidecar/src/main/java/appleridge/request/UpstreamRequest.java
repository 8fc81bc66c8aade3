package appleridge.request;

/**
 * What a client asks of an upstream, in a protocol's own form; only the protocol that read it can
 * write it.
 */
public interface UpstreamRequest {}
