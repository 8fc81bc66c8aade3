package appleridge.testbed.simnet;

/**
 * Sees what happens on every socket, at the moment it happens, before anything else does. What a
 * process does in the middle of a task carries that process's own time, which may be a little ahead
 * of the simulation's: {@link Network#tapTime()}.
 */
public interface Tap {
    default void connecting(SimSocket socket) {}

    default void connected(SimSocket socket) {}

    default void accepted(SimSocket socket) {}

    default void written(SimSocket by, byte[] bytes, int offset, int length) {}

    default void read(SimSocket by, byte[] bytes, int offset, int length) {}

    /** Once for each end: it was closed, reset, or its connect failed. */
    default void ended(SimSocket socket, String how) {}
}
