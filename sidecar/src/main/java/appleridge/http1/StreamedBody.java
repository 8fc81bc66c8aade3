package appleridge.http1;

import appleridge.request.StreamedResponse;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A long request or response body that is passed from one connection to another with backpressure:
 * while the target cannot take more, the source is not read; while there is no target, it is read
 * ahead as far as {@link ReadAheadBuffer} allows. Event loop only.
 */
final class StreamedBody implements StreamedResponse {
    /** The connection that the body is read from. */
    interface Source {
        /** Pauses reading, because the target cannot take more. */
        void pause();

        /** Resumes reading, because the target can take more. */
        void resume();
    }

    /**
     * The target's write buffer limits: the source pauses above the second and resumes below the
     * first.
     */
    static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(16 << 10, 32 << 10);

    /**
     * The size of the kernel's send buffer of the target. The kernel would grow it by default: a
     * slow reader would show no progress for seconds, and a request that its upstream has not read
     * would count as written.
     */
    static final int SEND_BUFFER_BYTES = 256 << 10;

    /** The number of reads of one connection before the event loop turns to the others. */
    static final int MAX_READS_PER_EVENT = 16;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 32 << 10;

    private final HttpHeaders headers;
    private final long length;
    private final Source source;
    private final ReadAheadBuffer readAhead;
    private Channel target;
    private boolean writing;
    private boolean paused;
    private boolean complete;
    private boolean completionReported;
    private Runnable onComplete = () -> {};
    private boolean discarded;

    /**
     * Creates a body without a target.
     *
     * @param headers the headers of the message
     * @param length the length in bytes; negative if it is not known in advance
     * @param source paused and resumed as the target can take less or more
     * @param readAhead holds what the target cannot take
     */
    StreamedBody(HttpHeaders headers, long length, Source source, ReadAheadBuffer readAhead) {
        this.headers = headers;
        this.length = length;
        this.source = source;
        this.readAhead = readAhead;
    }

    /**
     * The allocator for connections that receive long bodies. Bounded, because reads are buffered.
     */
    static RecvByteBufAllocator readAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_READS_PER_EVENT);
    }

    HttpHeaders headers() {
        return headers;
    }

    long length() {
        return length;
    }

    /** Writes the next part to the target, or buffers it until there is one. Takes ownership. */
    void write(ByteBuf part) {
        if (discarded) {
            part.release();
        } else if (readAhead.isEmpty() && mayWriteToTarget()) {
            writeToTarget(part);
        } else {
            readAhead.append(part);
        }
        updateBackpressure();
    }

    /**
     * Writes a part, and flushes a target that it fills, which has often room then. A write that
     * fills the target calls {@link #updateBackpressure} before it has returned, when a chunk may
     * have been written in part: nothing may be written from there.
     */
    private void writeToTarget(ByteBuf part) {
        writing = true;
        target.write(new DefaultHttpContent(part));
        if (!target.isWritable()) {
            target.flush();
        }
        writing = false;
    }

    /** What cannot be read ahead is written to a full target too: its source is paused then. */
    private boolean mayWriteToTarget() {
        return target != null && (target.isWritable() || !readAhead.isReserving());
    }

    /** Flushes what has been written. */
    void flush() {
        if (target != null && !discarded) {
            target.flush();
            updateBackpressure();
        }
    }

    /** Sets the target, to which the head has been written already. */
    void attachTo(Channel channel) {
        attachTo(channel, () -> {});
    }

    /** From now on waits for room to be read ahead, unless there is a target by now. */
    void waitForReadAhead() {
        if (target == null && !discarded) {
            readAhead.waitForRoom();
            updateBackpressure();
        }
    }

    /** Sets the target; runs {@code whenComplete} once the whole body has been written to it. */
    void attachTo(Channel channel, Runnable whenComplete) {
        target = channel;
        readAhead.close();
        onComplete = whenComplete;
        flush();
    }

    /** Whether a target has been set. */
    boolean hasTarget() {
        return target != null;
    }

    /** Whether its source is paused. */
    boolean isPaused() {
        return paused;
    }

    /** Whether the whole body has arrived. */
    boolean isComplete() {
        return complete;
    }

    /**
     * Writes to the target what it can take, and pauses or resumes the source, depending on whether
     * more can be taken or read ahead.
     */
    void updateBackpressure() {
        if (writing) {
            return;
        }
        writeHeld();
        boolean full = !discarded && !complete && !isTargetReady() && !readAhead.reserve();
        if (full != paused) {
            paused = full;
            if (full) {
                source.pause();
            } else {
                source.resume();
            }
        }
    }

    private boolean isTargetReady() {
        return target != null && target.isWritable() && readAhead.isEmpty();
    }

    private void writeHeld() {
        if (target == null || discarded) {
            return;
        }
        boolean anyWritten = false;
        while (!readAhead.isEmpty() && mayWriteToTarget()) {
            writeToTarget(readAhead.poll());
            anyWritten = true;
        }
        if (anyWritten) {
            target.flush();
        }
        if (complete && readAhead.isEmpty() && !completionReported) {
            completionReported = true;
            onComplete.run();
        }
    }

    /** Records that the whole body has arrived, and flushes it as far as the target takes it. */
    void complete() {
        flush();
        complete = true;
        updateBackpressure();
    }

    /** Discards buffered and further parts of the body. Further calls have no effect. */
    void discard() {
        discarded = true;
        readAhead.discard();
        updateBackpressure();
    }
}
