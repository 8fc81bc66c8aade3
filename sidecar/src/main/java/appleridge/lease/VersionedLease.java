package appleridge.lease;

/**
 * The record of a lease in the store; every write of it is conditional on the version before.
 *
 * @param version the store's count of writes; without meaning in a record that is to be written
 * @param token the fencing token: grows by one with each change of holder and never falls
 * @param holder the holder's name, for operators
 * @param nonce unique to this one write: the writer's incarnation, a slash, its request number
 * @param termNanos how long the record keeps others out unless it is renewed
 * @param released whether the holder has ended all operations and gives the lease up
 */
public record VersionedLease(
        long version, long token, String holder, String nonce, long termNanos, boolean released) {
    /** The same record as the store has it after the write. */
    public VersionedLease withVersion(long made) {
        return new VersionedLease(made, token, holder, nonce, termNanos, released);
    }
}
