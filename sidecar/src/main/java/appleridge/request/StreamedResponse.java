package appleridge.request;

/**
 * A successful response that is too long to be buffered. Its first part has arrived; the rest is
 * forwarded as it arrives, no faster than the client reads. Only the implementations of the two
 * protocols involved know its contents.
 */
public interface StreamedResponse {}
