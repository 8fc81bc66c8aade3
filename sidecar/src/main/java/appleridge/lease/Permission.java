package appleridge.lease;

/** The right to start one operation at once; its type says what it rests on. */
public sealed interface Permission permits Permission.FencedPermission, Permission.TimedPermission {
    /** Under a grant, of the kind that the lease's parameters say. */
    static Permission under(Grant grant, LeaseParameters parameters) {
        return parameters.fenced()
                ? new FencedPermission(grant.token())
                : new TimedPermission(grant.token(), grant.expiresAtNanos());
    }

    /**
     * The resource operated on compares tokens: safe whatever clocks do.
     *
     * @param token the fencing token to send along
     */
    record FencedPermission(long token) implements Permission {}

    /**
     * The resource compares nothing: safe if the operation ends in time and the assumptions of
     * {@link LeaseParameters} hold.
     *
     * @param token the fencing token
     * @param expiresAtNanos when the operation has to have ended, by the holder's clock
     */
    record TimedPermission(long token, long expiresAtNanos) implements Permission {}
}
