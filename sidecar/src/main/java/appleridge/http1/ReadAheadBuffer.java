package appleridge.http1;

import appleridge.request.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;

/**
 * The part of a streamed body that has been read ahead of its target. It is copied, so that a few
 * bytes do not keep a whole read buffer. Event loop only.
 */
final class ReadAheadBuffer {
    private static final int CHUNK_BYTES = 16 << 10;

    /** Null if nothing is reserved. */
    private final BufferBudget.Reservation reservation;

    private final ArrayDeque<ByteBuf> chunks = new ArrayDeque<>();

    private ReadAheadBuffer(BufferBudget.Reservation reservation) {
        this.reservation = reservation;
    }

    /** Returns a buffer that takes what has been read already, and asks for no more. */
    static ReadAheadBuffer unreserved() {
        return new ReadAheadBuffer(null);
    }

    /** Returns a buffer that takes as much as can be reserved. */
    static ReadAheadBuffer reserving(BufferBudget.Reservation reservation) {
        return new ReadAheadBuffer(reservation);
    }

    /** Whether reading may go on while the target cannot take more. */
    boolean isReserving() {
        return reservation != null;
    }

    boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** Appends a part that has been read. Takes ownership. */
    void append(ByteBuf part) {
        while (part.isReadable()) {
            ByteBuf last = chunks.peekLast();
            if (last == null || !last.isWritable()) {
                last = Unpooled.buffer(CHUNK_BYTES, CHUNK_BYTES);
                chunks.add(last);
            }
            last.writeBytes(part, Math.min(part.readableBytes(), last.writableBytes()));
        }
        part.release();
    }

    /** Takes the first chunk out; null if there is none. */
    ByteBuf poll() {
        ByteBuf first = chunks.poll();
        if (reservation != null) {
            reservation.resize(Math.min(reservation.bytes(), heldBytes()));
        }
        return first;
    }

    private long heldBytes() {
        return (long) chunks.size() * CHUNK_BYTES;
    }

    /**
     * Reserves what has been appended. Returns false if that is not possible, so that reading must
     * pause; what the last reads have brought is in the reservation of the stream itself.
     */
    boolean reserve() {
        return reservation != null
                && (heldBytes() <= reservation.bytes()
                        || reservation.resizeWithinSpare(heldBytes()));
    }

    /** Discards what is held. */
    void discard() {
        chunks.forEach(ByteBuf::release);
        chunks.clear();
        if (reservation != null) {
            reservation.release();
        }
    }
}
