package appleridge.request;

/** The only clock of a sidecar. */
public interface MonotonicClock {
    /** Nanoseconds on a clock that never runs back; its zero has no meaning. */
    long nanoTime();
}
