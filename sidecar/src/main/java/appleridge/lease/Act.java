package appleridge.lease;

/** The right to begin one thing at once; its type tells what it proves. */
public sealed interface Act permits Act.FencedAct, Act.TimedAct {
    /** Goes with the token, which the thing acted on compares: safe whatever the clocks do. */
    record FencedAct(long token) implements Act {}

    /**
     * Nothing refuses it: safe if it ends by its bound, and while the assumptions of the terms
     * hold.
     */
    record TimedAct(long token, long until) implements Act {}
}
