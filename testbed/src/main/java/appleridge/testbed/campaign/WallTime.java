package appleridge.testbed.campaign;

/** The real clock, to say how long playing took; nothing that is played reads it. */
final class WallTime {
    private WallTime() {}

    static long nanos() {
        return System.nanoTime();
    }
}
