package appleridge.lease;

/** The right to start one operation at once; its type says what its safety depends on. */
public sealed interface Permission permits Permission.FencedPermission, Permission.TimedPermission {
    /** Creates the permission under a grant, of the kind that the lease's parameters require. */
    static Permission under(Grant grant, LeaseParameters parameters) {
        return parameters.fenced()
                ? new FencedPermission(grant.token())
                : new TimedPermission(grant.token(), grant.expiresAtNanos());
    }

    /**
     * For a resource that checks fencing tokens: safe whatever the clocks do.
     *
     * @param token the fencing token to send with the operation
     */
    record FencedPermission(long token) implements Permission {}

    /**
     * For a resource that doesn't check tokens: safe if the operation ends in time and the
     * assumptions of {@link LeaseParameters} hold.
     *
     * @param token the fencing token
     * @param expiresAtNanos the time by which the operation must have ended, by the holder's clock
     */
    record TimedPermission(long token, long expiresAtNanos) implements Permission {}
}
