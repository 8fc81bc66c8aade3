package appleridge.testbed.lease;

import appleridge.lease.VersionedLease;

/**
 * Something on its way between a holder and the store; of what doesn't apply there is 0 or null.
 *
 * @param version of a write: the one expected; of an answer: the one that was made
 * @param late whether time may go on before it arrives
 */
record ModelMessage(
        Kind kind, int holder, long question, long version, VersionedLease entry, boolean late) {
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

    /** Words for a story. */
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

    ModelMessage delayed() {
        return new ModelMessage(kind, holder, question, version, entry, true);
    }

    ModelMessage answer(Kind answer, long made, VersionedLease record) {
        return new ModelMessage(answer, holder, question, made, record, false);
    }
}
