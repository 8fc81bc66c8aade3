package appleridge.http1;

import appleridge.request.BufferBudget;
import appleridge.request.BufferKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * The request that is being received on one client connection, and the reservation of its bytes.
 * Holds nothing between two requests. A head counts from its end on: until then its length and its
 * number of lines bound it, and refusing it would end the connection. Event loop only.
 */
final class RequestBuffer {
    /** What an open request needs beside its head and body: its state here and in the policy. */
    private static final int REQUEST_STATE_BYTES = 1024;

    private final BufferBudget.Account account;

    /** Null if and only if the head is. */
    private BufferBudget.Reservation reservation;

    /** Null unless a head has been received whose body is incomplete. */
    private HttpRequest head;

    /** Null if and only if the head is. */
    private ByteBuf body;

    private long headBytes;

    /** Whether the request is over the limit, so that its body is not stored. */
    private boolean overLimit;

    private int discardedBytes;

    /**
     * Creates a buffer that holds nothing.
     *
     * @param budget the budget of all client connections
     */
    RequestBuffer(BufferBudget budget) {
        this.account = budget.newAccount();
    }

    /** Begins to receive the body of a request. */
    void begin(HttpRequest request) {
        head = request;
        headBytes = REQUEST_STATE_BYTES + memoryBytes(request);
        reservation = account.reserve(BufferKind.PARTIAL_REQUESTS);
        body = Unpooled.buffer(0);
        overLimit = false;
        discardedBytes = 0;
        if (!reservation.resize(headBytes)) {
            dropBody();
        }
    }

    /** From now on the body is counted, and not stored: the request will be rejected. */
    private void dropBody() {
        overLimit = true;
        discardedBytes = body.readableBytes();
        body = Unpooled.EMPTY_BUFFER;
        reservation.release();
    }

    /** Whether the limit was reached, so that the request must be rejected. */
    boolean isOverLimit() {
        return overLimit;
    }

    private static long memoryBytes(HttpRequest request) {
        HttpHeaders headers = request.headers();
        return request.uri().length() + Headers.memoryBytes(headers);
    }

    /** Whether a head has been received whose body is incomplete. */
    boolean isReceivingBody() {
        return head != null;
    }

    HttpRequest head() {
        return head;
    }

    /** The number of body bytes received so far; 0 if no body is being received. */
    int bodyBytes() {
        return body == null ? 0 : discardedBytes + body.readableBytes();
    }

    /** Appends a part of the body; at the limit, drops what there is of it. */
    void append(ByteBuf part) {
        int needed = body.readableBytes() + part.readableBytes();
        if (!overLimit && !MessageFraming.reserveBody(body, needed, head, headBytes, reservation)) {
            dropBody();
        }
        if (overLimit) {
            discardedBytes += part.readableBytes();
        } else {
            body.writeBytes(part);
        }
    }

    /** Takes the complete request out. */
    Complete takeComplete() {
        byte[] content =
                body.readableBytes() == body.capacity() ? body.array() : ByteBufUtil.getBytes(body);
        reservation.resize(BufferKind.REQUESTS, headBytes + content.length);
        Complete complete = new Complete(head, content, reservation);
        forget();
        return complete;
    }

    /** Reserves what streaming the rest of the body needs. Returns false at the limit. */
    boolean reserveStream() {
        return !overLimit
                && reservation.resize(
                        BufferKind.STREAMED_REQUESTS,
                        headBytes + MessageFraming.STREAM_MEMORY_BYTES);
    }

    /** Takes out the request whose body is streamed from now on. */
    Streamed takeStreamed() {
        Streamed streamed = new Streamed(head, body, reservation);
        forget();
        return streamed;
    }

    private void forget() {
        head = null;
        body = null;
        reservation = null;
    }

    /** Drops the request and releases its bytes. */
    void discard() {
        if (reservation != null) {
            reservation.release();
        }
        forget();
    }

    /**
     * A request that has been received whole.
     *
     * @param reservation to be released once the request and all its attempts have ended
     */
    record Complete(HttpRequest head, byte[] body, BufferBudget.Reservation reservation) {}

    /**
     * A request whose body is streamed.
     *
     * @param receivedPart the part of the body received so far
     * @param reservation to be released once the request and all its attempts have ended
     */
    record Streamed(HttpRequest head, ByteBuf receivedPart, BufferBudget.Reservation reservation) {}
}
