package appleridge.testbed.simulation;

/**
 * What a good answer can bring beside what belongs to it. No second copy comes some time later:
 * where the next request crosses it, no reader could tell it from that one's answer.
 */
enum ResponseExtra {
    /** An interim answer ahead of it. */
    INTERIM,
    /** Several interim answers ahead, some time apart. */
    INTERIMS,
    /** A second copy right behind it. */
    COPY,
    /** Noise right behind it. */
    NOISE,
    /** Noise some time later. */
    LATE_NOISE,
    /** A load report that can't be read. */
    BAD_REPORT,
    /** A good answer, and the connection is closed right behind it without a word of that. */
    CLOSES,
    /** The answer comes before the request has come whole. */
    EARLY
}
