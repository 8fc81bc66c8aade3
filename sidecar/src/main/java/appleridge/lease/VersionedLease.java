package appleridge.lease;

/**
 * The record in the store, of which every write is conditional on the version before it.
 *
 * @param version the store's count of writes; what it is in a record to be written has no meaning
 * @param token grows by one with each change of holder, and never falls
 * @param holder the holder's name, for operators
 * @param nonce tells this very write from all others, also from those of a process of the same name
 * @param term how long the record keeps others out, in nanoseconds
 * @param released whether the holder has ended all acts and gives the lease away
 */
public record VersionedLease(
        long version, long token, String holder, String nonce, long term, boolean released) {}
