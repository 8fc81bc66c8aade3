package appleridge.http1;

import appleridge.request.ReadAheadQueue;
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
    private final ReadAheadQueue.Ticket ticket;

    private final ArrayDeque<ByteBuf> chunks = new ArrayDeque<>();
    private boolean waitsForRoom;
    private boolean closed;

    private ReadAheadBuffer(ReadAheadQueue.Ticket ticket) {
        this.ticket = ticket;
    }

    /** Returns a buffer that takes what has been read already, and asks for no more. */
    static ReadAheadBuffer unreserved() {
        return new ReadAheadBuffer(null);
    }

    /**
     * Returns a buffer that takes a whole body once that is allowed and reserved.
     *
     * @param bodyBytes the length of the body
     * @param onReserved called when it has been reserved later than it was asked for
     * @param onGivenUp called when it will not be reserved, because others need the room
     */
    static ReadAheadBuffer reserving(
            ReadAheadQueue queue, long bodyBytes, Runnable onReserved, Runnable onGivenUp) {
        return new ReadAheadBuffer(
                queue.newTicket(bodyBytes + 2 * CHUNK_BYTES, onReserved, onGivenUp));
    }

    /** From now on waits for its turn where there is not ample room. */
    void waitForRoom() {
        waitsForRoom = true;
    }

    /**
     * Takes no more: the body has a target, so that nothing depends any more on whether its
     * client's end is seen. What is not needed is left to the bodies that wait for a target.
     */
    void close() {
        closed = true;
        if (ticket != null) {
            ticket.shrinkTo(heldBytes());
        }
    }

    /** Whether a full target leaves parts here. */
    boolean isReserving() {
        return ticket != null;
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
        if (ticket != null && closed) {
            ticket.shrinkTo(heldBytes());
        }
        return first;
    }

    private long heldBytes() {
        return (long) chunks.size() * CHUNK_BYTES;
    }

    /**
     * Whether more may be read ahead. If not, reading must pause; what the last reads have brought
     * is in the reservation of the stream itself.
     */
    boolean reserve() {
        if (ticket == null || closed) {
            return false;
        }
        long reservedBytes = waitsForRoom ? ticket.request() : ticket.requestIfAmple();
        return heldBytes() < reservedBytes;
    }

    /** Discards what is held. */
    void discard() {
        chunks.forEach(ByteBuf::release);
        chunks.clear();
        close();
    }
}
