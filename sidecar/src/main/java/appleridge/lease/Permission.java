package appleridge.lease;

/** The right to begin one thing at once; its type tells what it proves. */
public sealed interface Permission permits Permission.FencedPermission, Permission.TimedPermission {
    /** Goes with the token, which the thing acted on compares: safe whatever the clocks do. */
    record FencedPermission(long token) implements Permission {}

    /**
     * Nothing refuses it: safe if it ends by its bound, and while the assumptions of the terms
     * hold.
     */
    record TimedPermission(long token, long until) implements Permission {}
}
