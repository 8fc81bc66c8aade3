package appleridge.lease.store;

/** The content of a record's node is not a valid lease record. */
final class MalformedLeaseRecordException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedLeaseRecordException(Throwable cause) {
        super("not a valid lease record", cause);
    }
}
