package appleridge.request;

/**
 * An upstream's good answer that is too long to be held: its beginning is here, and the rest is
 * passed on as it comes, as fast as its client reads. How it is passed on is between the two sides'
 * protocols.
 */
public interface StreamedResponse {}
