package appleridge.lease;

/**
 * The newest record that one lease has seen in the store, and the time since which it is unchanged.
 * Confined to the lease's thread; times are nanoseconds of the lease's clock.
 */
final class ObservedRecord {
    private final String incarnation;

    /** Null until a record has been seen. */
    private VersionedLease record;

    private long unchangedSinceNanos;

    /** Whether the store has shown the record since the last event that may have changed it. */
    private boolean current;

    /** Creates the object for the lease with that incarnation; no record has been seen yet. */
    ObservedRecord(String incarnation) {
        this.incarnation = incarnation;
    }

    /** The newest record; null until one has been seen. */
    VersionedLease record() {
        return record;
    }

    /** The time at which another holder's unchanged record may be taken over. */
    long takeOverAtNanos(LeaseParameters parameters) {
        return unchangedSinceNanos + parameters.takeOverDelayNanos(record.termNanos());
    }

    /** Whether the record may be acted on without another read. */
    boolean isCurrent() {
        return current;
    }

    /** Marks the record as possibly changed: it has to be read again. */
    void invalidate() {
        current = false;
    }

    /** Marks the record as current, because the store has just responded. */
    void confirm() {
        current = true;
    }

    /** Stores a record read from the store; the unchanged time restarts only if it differs. */
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
     * Tokens and versions of one store only increase. In a store restored from a backup, or after
     * the largest possible token, tokens would be issued twice. A record with a higher token is
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
     * Whether the record can be taken over at once. The lease's own record, under which nothing
     * runs any more, needs no wait for its term, only for operations started under it.
     */
    boolean isFree() {
        return record == null || record.released() || isOwn();
    }

    /** The writer's incarnation: the part of the nonce before the request number. */
    private static String incarnationOf(VersionedLease record) {
        return record.nonce().substring(0, Math.max(0, record.nonce().lastIndexOf('/')));
    }
}
