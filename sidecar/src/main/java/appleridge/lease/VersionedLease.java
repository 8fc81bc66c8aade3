package appleridge.lease;

/**
 * The record of a lease in the store; every write of it is conditional on the previous version.
 *
 * @param version the store's count of writes; unused in a record that is to be written
 * @param token the fencing token: increases by one with each change of holder and never decreases
 * @param holder the holder's name, for operators
 * @param nonce unique to this one write: the writer's incarnation, a slash, its request number
 * @param termNanos how long the record keeps other processes out unless it is renewed
 * @param released whether the holder has ended all operations and has given the lease up
 */
public record VersionedLease(
        long version, long token, String holder, String nonce, long termNanos, boolean released) {
    /** Returns this record with the version that its write has produced. */
    public VersionedLease withVersion(long newVersion) {
        return new VersionedLease(newVersion, token, holder, nonce, termNanos, released);
    }
}
