package appleridge.request;

import java.util.Arrays;
import java.util.StringJoiner;

/**
 * Limits the bytes that are buffered for all peers together, and shares them out by dynamic
 * thresholds: the account of a peer may hold at most a fixed fraction of what is still free. A peer
 * that buffers much is therefore the first to be refused, and some room is always left for one that
 * buffers nothing yet. Counts bytes and holds none. Event loop only.
 */
public final class BufferBudget {
    /** An account may hold the free bytes divided by this: alone, a fifth of the budget. */
    private static final int FREE_BYTES_PER_ACCOUNT_BYTE = 4;

    /** The fraction of the budget that is spare at most: for bytes that nobody has to hold. */
    private static final double MAX_SPARE_FRACTION = 2.0 / 3;

    /** The fraction of the budget up to which bytes of all kinds leave something to spare. */
    private static final double MAX_USED_FRACTION_FOR_SPARE = 5.0 / 6;

    private final long limitBytes;
    private final EventLog log;
    private final long[] usedByKind = new long[BufferKind.values().length];
    private long usedBytes;
    private long peakBytes;
    private long refusals;

    /**
     * Creates an unused budget.
     *
     * @param limitBytes the maximum number of bytes over all accounts
     */
    public BufferBudget(long limitBytes, EventLog log) {
        this.limitBytes = limitBytes;
        this.log = log;
    }

    /** Opens the account of one peer. */
    public Account newAccount() {
        return new Account();
    }

    /** The maximum number of bytes over all accounts. */
    public long limitBytes() {
        return limitBytes;
    }

    /** The number of reserved bytes. */
    public long usedBytes() {
        return usedBytes;
    }

    /** The number of bytes reserved for a kind. */
    public long usedBytes(BufferKind kind) {
        return usedByKind[kind.ordinal()];
    }

    /** The highest number of bytes that were reserved at once since the start. */
    public long peakBytes() {
        return peakBytes;
    }

    /** How often bytes were refused since the start. */
    public long refusals() {
        return refusals;
    }

    private void add(BufferKind kind, long bytes) {
        usedBytes += bytes;
        usedByKind[kind.ordinal()] += bytes;
        peakBytes = Math.max(peakBytes, usedBytes);
    }

    private void refused(BufferKind kind, long wantedBytes, long accountBytes) {
        refusals++;
        log.event(
                LogEvent.BUFFER_LIMIT,
                () ->
                        "kind="
                                + kind.label()
                                + " wanted="
                                + wantedBytes
                                + " account="
                                + accountBytes
                                + " used="
                                + usedBytes
                                + " limit="
                                + limitBytes
                                + usedByKindFields());
    }

    /** The number of bytes that nobody has to hold, at most. */
    long maxSpareBytes() {
        return (long) (limitBytes * MAX_SPARE_FRACTION);
    }

    /** How many bytes of a kind may be added that nobody has to hold; negative if too many are. */
    private long spareBytes(BufferKind kind) {
        long spareOfKind = maxSpareBytes() - usedBytes(kind);
        long spareOfAll = (long) (limitBytes * MAX_USED_FRACTION_FOR_SPARE) - usedBytes;
        return Math.min(spareOfKind, spareOfAll);
    }

    /** Whether half of what can be spared is left after so many bytes more. */
    boolean leavesHalfSpare(long bytes) {
        return spareBytes(BufferKind.READ_AHEAD) - bytes >= maxSpareBytes() / 2;
    }

    private String usedByKindFields() {
        StringJoiner fields = new StringJoiner(" ", " ", "");
        Arrays.stream(BufferKind.values())
                .filter(kind -> usedBytes(kind) > 0)
                .forEach(kind -> fields.add(kind.label() + "=" + usedBytes(kind)));
        return fields.toString();
    }

    /** What one peer has reserved. */
    public final class Account {
        private long accountBytes;

        private Account() {}

        /** Creates a reservation of no bytes. */
        public Reservation reserve(BufferKind kind) {
            return new Reservation(this, kind);
        }

        /** Whether nothing is reserved. */
        public boolean isEmpty() {
            return accountBytes == 0;
        }

        private boolean mayAdd(long bytes) {
            return accountBytes + bytes <= (limitBytes - usedBytes) / FREE_BYTES_PER_ACCOUNT_BYTE;
        }

        private void add(BufferKind kind, long bytes) {
            accountBytes += bytes;
            BufferBudget.this.add(kind, bytes);
        }
    }

    /** The bytes that are reserved for one message. */
    public final class Reservation {
        private final Account account;
        private BufferKind kind;
        private long bytes;

        private Reservation(Account account, BufferKind kind) {
            this.account = account;
            this.kind = kind;
        }

        /** The number of reserved bytes. */
        public long bytes() {
            return bytes;
        }

        /**
         * Changes the number of reserved bytes. Returns false, and changes nothing, if the limit
         * does not allow that many.
         */
        public boolean resize(long newBytes) {
            return resize(kind, newBytes);
        }

        /** Changes the kind and the number of reserved bytes, as {@link #resize(long)} does. */
        public boolean resize(BufferKind newKind, long newBytes) {
            long added = newBytes - bytes;
            if (added > 0 && !account.mayAdd(added)) {
                refused(newKind, newBytes, account.accountBytes);
                return false;
            }
            set(newKind, newBytes);
            return true;
        }

        /**
         * Raises the number of reserved bytes within what can be spared; to be used for bytes that
         * nobody has to hold. Returns false, and changes nothing, if there is not that much; this
         * is no refusal.
         */
        boolean resizeWithinSpare(long newBytes) {
            if (newBytes - bytes > spareBytes(kind)) {
                return false;
            }
            set(kind, newBytes);
            return true;
        }

        private void set(BufferKind newKind, long newBytes) {
            account.add(kind, -bytes);
            account.add(newKind, newBytes);
            kind = newKind;
            bytes = newBytes;
        }

        /** Releases all bytes. Further calls have no effect. */
        public void release() {
            account.add(kind, -bytes);
            bytes = 0;
        }
    }
}
