package appleridge.testbed.lease;

import appleridge.lease.VersionedLease;

/**
 * A message in flight between a holder and the store. Components that don't apply are 0 or null.
 *
 * @param version the expected version of a write, or the new version in its response
 * @param delayed whether time may advance before it arrives
 */
record ModelMessage(
        Kind kind,
        int holder,
        long requestId,
        long version,
        VersionedLease entry,
        boolean delayed) {
    enum Kind {
        READ,
        WRITE,
        RECORD,
        WRITTEN,
        CONFLICT,
        UNKNOWN
    }

    boolean isRequest() {
        return kind == Kind.READ || kind == Kind.WRITE;
    }

    /** Describes the message for a line of a violation trace. */
    String describe() {
        return entry == null
                ? kind.name()
                : kind
                        + " "
                        + entry.nonce()
                        + " token "
                        + entry.token()
                        + (entry.released() ? " released" : "");
    }

    ModelMessage asDelayed() {
        return new ModelMessage(kind, holder, requestId, version, entry, true);
    }

    /** Returns the response to this request. */
    ModelMessage response(Kind response, long newVersion, VersionedLease record) {
        return new ModelMessage(response, holder, requestId, newVersion, record, false);
    }
}
