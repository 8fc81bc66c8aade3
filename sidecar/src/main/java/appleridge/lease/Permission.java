package appleridge.lease;

/** The right to start one operation at once; its type says what it rests on. */
public sealed interface Permission permits Permission.FencedPermission, Permission.TimedPermission {
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
