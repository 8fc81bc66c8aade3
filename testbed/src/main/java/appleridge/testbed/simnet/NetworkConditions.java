package appleridge.testbed.simnet;

/**
 * The conditions of one direction between a pair of hosts. Fields may change at any time and apply
 * to segments sent afterwards. The default is a delay of 200 us and no faults.
 */
public final class NetworkConditions {
    private static final int DEFAULT_BUFFER_BYTES = 64 * 1024;
    private static final int DEFAULT_SEGMENT_BYTES = 1460;

    /** One-way delay of each segment, in nanoseconds. */
    public long delay = 200_000;

    /**
     * Upper bound of an extra delay drawn for each segment, in nanoseconds. Segments of a
     * connection stay in order.
     */
    public long jitter;

    /** Bandwidth, shared by all connections; 0: unlimited. */
    public long bytesPerSecond;

    /**
     * Largest segment in bytes; 0: 1460; 1: byte by byte; -n: the limit of each segment is drawn
     * from 1 to n.
     */
    public int segment;

    /**
     * Upper bound of the minimum gap between arriving segments, which is drawn for each segment, in
     * nanoseconds; used only if `segment` is set. Without a gap the receiver would read consecutive
     * segments in one piece.
     */
    public long gap = 2_000;

    /** The probability that a segment is lost and retransmitted. */
    public double lossDelayProbability;

    /** How much later a retransmitted segment arrives, in nanoseconds. */
    public long lossDelay;

    /**
     * Nothing arrives: no bytes, no refusals, no resets. Bytes sent meanwhile arrive after it ends;
     * resets do not.
     */
    public boolean blackHole;

    /** Connects in this direction are refused. */
    public boolean refuse;

    /** Connects in this direction get no response. */
    public boolean silentConnect;

    /** Send buffer in bytes, for connections opened afterwards. */
    public int sendBuffer = DEFAULT_BUFFER_BYTES;

    /** Receive buffer in bytes, for connections opened afterwards. */
    public int receiveBuffer = DEFAULT_BUFFER_BYTES;

    /** The probability that a reset discards bytes that have arrived but were not read yet. */
    public double resetDiscards = 0.9;

    /** When the line is next idle, if its bandwidth is limited. */
    long free;

    NetworkConditions() {}

    /** Restores the defaults. */
    public void restoreDefaults() {
        NetworkConditions defaults = new NetworkConditions();
        delay = defaults.delay;
        jitter = defaults.jitter;
        bytesPerSecond = defaults.bytesPerSecond;
        segment = defaults.segment;
        gap = defaults.gap;
        lossDelayProbability = defaults.lossDelayProbability;
        lossDelay = defaults.lossDelay;
        blackHole = defaults.blackHole;
        refuse = defaults.refuse;
        silentConnect = defaults.silentConnect;
        sendBuffer = defaults.sendBuffer;
        receiveBuffer = defaults.receiveBuffer;
        resetDiscards = defaults.resetDiscards;
    }

    /** The size of the next segment if `bytes` are waiting. */
    int cut(int bytes, SeededRandom chance) {
        int limit = segment;
        if (limit == 0) {
            limit = DEFAULT_SEGMENT_BYTES;
        } else if (limit < 0) {
            limit = 1 + chance.nextInt(-limit);
        }
        return Math.min(bytes, limit);
    }

    /** Draws the travel time of a segment, in nanoseconds. */
    long travel(SeededRandom chance) {
        long travel = delay;
        if (jitter > 0) {
            travel += chance.nextLong(jitter + 1);
        }
        if (chance.hits(lossDelayProbability)) {
            travel += lossDelay;
        }
        return travel;
    }
}
