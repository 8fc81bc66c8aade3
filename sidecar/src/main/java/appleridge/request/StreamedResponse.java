package appleridge.request;

/**
 * An upstream's good response that is too long to be buffered: its beginning is here, and the rest
 * is forwarded as it comes, as fast as its client reads. Only the two protocols involved know how.
 */
public interface StreamedResponse {}
