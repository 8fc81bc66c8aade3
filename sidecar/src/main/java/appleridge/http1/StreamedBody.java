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
 * A long body on its way from one connection to another, an answer's or a request's. What waits for
 * who reads it is bounded: that connection says when it has enough, and the other is not read until
 * that has gone.
 */
final class StreamedBody implements StreamedResponse {
    /** Told when the answer may go on, or has to wait. */
    interface Source {
        void pause();

        void resume();
    }

    /**
     * Bytes that wait in the process for who reads it: at the second it is paused, at the first
     * goes on.
     */
    static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(16 << 10, 32 << 10);

    private static final int LEAST_READ = 64;
    private static final int USUAL_READ = 2048;
    private static final int MOST_READ = 32 << 10;

    private final HttpHeaders headers;
    private final long length;
    private final Source source;

    /** What came before that connection was free for it; little, for the source waits meanwhile. */
    private final ArrayDeque<ByteBuf> early = new ArrayDeque<>();

    private Channel sink;
    private boolean paused;
    private boolean whole;
    private Runnable end = () -> {};
    private boolean over;

    /**
     * With the head that it began with.
     *
     * @param length of the whole in bytes, or below 0 where it is told by its end alone
     */
    StreamedBody(HttpHeaders headers, long length, Source source) {
        this.headers = headers;
        this.length = length;
        this.source = source;
    }

    /**
     * How connections are read on which a long body may come: bounded, for it is held meanwhile.
     */
    static RecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(LEAST_READ, USUAL_READ, MOST_READ);
    }

    HttpHeaders headers() {
        return headers;
    }

    long length() {
        return length;
    }

    /** A piece has come; it is given away. */
    void write(ByteBuf piece) {
        if (over) {
            piece.release();
        } else if (sink == null) {
            early.add(piece);
        } else {
            sink.write(new DefaultHttpContent(piece));
        }
        settle();
    }

    /** What has come for now goes out. */
    void flush() {
        if (sink != null && !over) {
            sink.flush();
            settle();
        }
    }

    /** The connection that it goes to is free for it, its head is written. */
    void to(Channel channel) {
        to(channel, () -> {});
    }

    /** The same; with what is to be done once all of it has been written behind one another. */
    void to(Channel channel, Runnable whenWhole) {
        sink = channel;
        end = whenWhole;
        while (!early.isEmpty()) {
            sink.write(new DefaultHttpContent(early.poll()));
        }
        flush();
        if (whole) {
            end.run();
        }
    }

    /** Whether all of it has come. */
    boolean isWhole() {
        return whole;
    }

    /** The connection that it goes to may take more, or less, than before. */
    void settle() {
        boolean full = !over && !whole && (sink == null || !sink.isWritable());
        if (full != paused) {
            paused = full;
            if (full) {
                source.pause();
            } else {
                source.resume();
            }
        }
    }

    /** All of it has come; what waits yet goes out without the source. */
    void whole() {
        flush();
        whole = true;
        settle();
        if (sink != null && !over) {
            end.run();
        }
    }

    /** Nothing more is passed on. */
    void end() {
        over = true;
        early.forEach(ByteBuf::release);
        early.clear();
        settle();
    }
}
