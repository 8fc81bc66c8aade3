package appleridge.testbed.simnet;

/**
 * Observes every socket of a network. Each call is made when the operation happens, before any
 * other effect of it. The operation's time is {@link Network#tapTime()}: the local time of the
 * process, which within a task may be slightly ahead of the simulation's.
 */
public interface Tap {
    default void connecting(SimSocket socket) {}

    default void connected(SimSocket socket) {}

    default void accepted(SimSocket socket) {}

    default void written(SimSocket by, byte[] bytes, int offset, int length) {}

    default void read(SimSocket by, byte[] bytes, int offset, int length) {}

    /** Called once for each end: `how` is `closed`, `reset`, or `failed` for a connect. */
    default void ended(SimSocket socket, String how) {}
}
