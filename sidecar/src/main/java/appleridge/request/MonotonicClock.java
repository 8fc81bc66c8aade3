package appleridge.request;

/** The clock of a sidecar, by which all its times are given. */
public interface MonotonicClock {
    /** Returns the time in nanoseconds since an arbitrary origin; it never decreases. */
    long nanoTime();
}
