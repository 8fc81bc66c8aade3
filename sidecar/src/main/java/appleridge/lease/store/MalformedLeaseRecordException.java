package appleridge.lease.store;

/** What stands in a record's node can't be read as one. */
final class MalformedLeaseRecordException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedLeaseRecordException(Throwable cause) {
        super("the record is not one of a lease", cause);
    }
}
