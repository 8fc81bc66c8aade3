package appleridge.lease;

/**
 * The newest record that one lease has seen in the store, and since when it is unchanged. Confined
 * to the lease's thread; times in nanoseconds of the lease's clock.
 */
final class ObservedRecord {
    private final String incarnation;

    /** Null until a record was seen. */
    private VersionedLease record;

    private long unchangedSinceNanos;

    /** Whether the store has shown it since anything happened that may have changed it. */
    private boolean current;

    /** For the lease with that incarnation. */
    ObservedRecord(String incarnation) {
        this.incarnation = incarnation;
    }

    /** Null until a record was seen. */
    VersionedLease record() {
        return record;
    }

    /** When the record of another holder has been unchanged for long enough to be taken over. */
    long takeOverAtNanos(LeaseParameters parameters) {
        return unchangedSinceNanos + parameters.takeOverDelayNanos(record.termNanos());
    }

    /** Whether no read is needed before the record is acted on. */
    boolean isCurrent() {
        return current;
    }

    /** The record may have changed: it has to be read again. */
    void invalidate() {
        current = false;
    }

    /** The store has just answered. */
    void confirm() {
        current = true;
    }

    /** Takes in a record of the store; the time starts anew only if it differs. */
    void observe(long nowNanos, VersionedLease next) {
        if (!next.equals(record)) {
            record = next;
            unchangedSinceNanos = nowNanos;
        }
    }

    /** Whether a record was seen and the store now has none, or one that must be older. */
    boolean isRegression(VersionedLease nextOrNull) {
        return nextOrNull == null ? record != null : isOlder(nextOrNull);
    }

    /**
     * Tokens and versions of one store only grow: in a store restored from a backup, or after the
     * largest token there is, tokens would be handed out twice. A record with a higher token is
     * accepted whatever its version, as an operator's reset.
     */
    private boolean isOlder(VersionedLease next) {
        if (next.token() < 0 || next.token() == Long.MAX_VALUE) {
            return true;
        }
        if (record == null || next.token() > record.token()) {
            return false;
        }
        return next.token() < record.token()
                || next.version() < record.version()
                || !incarnationOf(next).equals(incarnationOf(record));
    }

    /** Whether this lease wrote the record, in this incarnation. */
    boolean isOwn(VersionedLease candidateOrNull) {
        return candidateOrNull != null && incarnationOf(candidateOrNull).equals(incarnation);
    }

    /** Whether this lease wrote the newest record. */
    boolean isOwn() {
        return isOwn(record);
    }

    /**
     * Whether it can be taken over at once. A record of our own that nothing runs under any more
     * needs no wait for its term, only for operations started under it.
     */
    boolean isFree() {
        return record == null || record.released() || isOwn();
    }

    /** The part of a nonce before its request number. */
    private static String incarnationOf(VersionedLease record) {
        return record.nonce().substring(0, Math.max(0, record.nonce().lastIndexOf('/')));
    }
}
