package appleridge.testbed.simnet;

/**
 * What one direction between a pair of hosts does to bytes. Changed at any time; what leaves from
 * then on is subject to it. By itself: 200 us of delay, nothing else.
 */
public final class NetworkConditions {
    private static final int BUFFER = 64 * 1024;
    private static final int MOST = 1460;

    /** Nanoseconds that each segment takes. */
    public long delay = 200_000;

    /** Up to so many more, drawn for each segment; the order within a connection is kept. */
    public long jitter;

    /** The line's width, shared by all connections; 0: no bound. */
    public long bytesPerSecond;

    /** Largest segment; 0: up to 1460 bytes; 1: byte by byte; -n: each drawn from 1 to n. */
    public int segment;

    /**
     * If `segment` is set: each arrives up to so long (drawn) behind the one before, so that cuts
     * show.
     */
    public long gap = 2_000;

    /** How often a segment is lost and sent again ... */
    public double lossDelayProbability;

    /** ... and arrives so much later for it. */
    public long lossDelay;

    /**
     * Nothing arrives, nothing is refused, no reset is heard. What was sent arrives once this is
     * over.
     */
    public boolean blackHole;

    /** Connects in this direction are refused. */
    public boolean refuse;

    /** Connects in this direction get no answer. */
    public boolean silentConnect;

    /** Bytes that the sending end holds, for connections made from now on. */
    public int sendBuffer = BUFFER;

    /** Bytes that the receiving end holds, for connections made from now on. */
    public int receiveBuffer = BUFFER;

    /** How often a reset discards what had arrived and was not yet read. */
    public double resetDiscards = 0.9;

    /** When the line is free again. */
    long free;

    NetworkConditions() {}

    /** Makes everything as it was at first. */
    public void calm() {
        NetworkConditions first = new NetworkConditions();
        delay = first.delay;
        jitter = first.jitter;
        bytesPerSecond = first.bytesPerSecond;
        segment = first.segment;
        gap = first.gap;
        lossDelayProbability = first.lossDelayProbability;
        lossDelay = first.lossDelay;
        blackHole = first.blackHole;
        refuse = first.refuse;
        silentConnect = first.silentConnect;
        sendBuffer = first.sendBuffer;
        receiveBuffer = first.receiveBuffer;
        resetDiscards = first.resetDiscards;
    }

    /** How much of `bytes` the next segment takes. */
    int cut(int bytes, SeededRandom chance) {
        int most = segment;
        if (most == 0) {
            most = MOST;
        } else if (most < 0) {
            most = 1 + chance.nextInt(-most);
        }
        return Math.min(bytes, most);
    }

    /** How long a segment takes that leaves now. */
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
