package appleridge.lease;

/**
 * What a holder may do, by its own clock.
 *
 * @param token goes with each act
 * @param from no act begins before; what a holder before may still be doing has ended then
 * @param until no act may last beyond
 */
public record Grant(long token, long from, long until) {}
