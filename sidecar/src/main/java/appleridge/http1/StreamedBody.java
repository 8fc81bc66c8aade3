package appleridge.http1;

import appleridge.request.StreamedResponse;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;

/**
 * A long body on its way from one connection to another, a response's or a request's, with
 * backpressure: while the target has enough to write, the source is not read. Loop thread only.
 */
final class StreamedBody implements StreamedResponse {
    /** The connection that the body comes from. */
    interface Source {
        /** The target has enough to write: nothing more is to be read. */
        void pause();

        /** The target takes more. */
        void resume();
    }

    /** Bytes that wait in the process for the target: above the second the source is paused. */
    static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(16 << 10, 32 << 10);

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 32 << 10;

    private final HttpHeaders headers;
    private final long length;
    private final Source source;

    /** What came before there was a target; little, for the source is paused meanwhile. */
    private final ArrayDeque<ByteBuf> pendingPieces = new ArrayDeque<>();

    private Channel target;
    private boolean paused;
    private boolean complete;
    private Runnable onComplete = () -> {};
    private boolean discarded;

    /**
     * For one body.
     *
     * @param headers of the message
     * @param length in bytes; below 0 where only its end tells
     * @param source paused and resumed as the target takes it
     */
    StreamedBody(HttpHeaders headers, long length, Source source) {
        this.headers = headers;
        this.length = length;
        this.source = source;
    }

    /** How connections are read on which a long body may come: bounded, for reads are held. */
    static RecvByteBufAllocator readAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    HttpHeaders headers() {
        return headers;
    }

    long length() {
        return length;
    }

    /** The next piece, which is released here. */
    void write(ByteBuf piece) {
        if (discarded) {
            piece.release();
        } else if (target == null) {
            pendingPieces.add(piece);
        } else {
            target.write(new DefaultHttpContent(piece));
        }
        updateBackpressure();
    }

    /** Flushes what has been written. */
    void flush() {
        if (target != null && !discarded) {
            target.flush();
            updateBackpressure();
        }
    }

    /** Sets the target, on which the head is written. */
    void attachTo(Channel channel) {
        attachTo(channel, () -> {});
    }

    /** The same; runs {@code whenComplete} once all of the body has been written. */
    void attachTo(Channel channel, Runnable whenComplete) {
        target = channel;
        onComplete = whenComplete;
        while (!pendingPieces.isEmpty()) {
            target.write(new DefaultHttpContent(pendingPieces.poll()));
        }
        flush();
        if (complete) {
            onComplete.run();
        }
    }

    /** Whether all of it has come. */
    boolean isComplete() {
        return complete;
    }

    /** Pauses or resumes the source, as the target takes more or less than before. */
    void updateBackpressure() {
        boolean full = !discarded && !complete && (target == null || !target.isWritable());
        if (full != paused) {
            paused = full;
            if (full) {
                source.pause();
            } else {
                source.resume();
            }
        }
    }

    /** All of it has come; what waits goes out without the source. */
    void complete() {
        flush();
        complete = true;
        updateBackpressure();
        if (target != null && !discarded) {
            onComplete.run();
        }
    }

    /** Releases what waits; nothing more is passed on. */
    void discard() {
        discarded = true;
        pendingPieces.forEach(ByteBuf::release);
        pendingPieces.clear();
        updateBackpressure();
    }
}
