package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.Endpoint;
import appleridge.transport.SidecarEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** One connection to an upstream and the answer being read on it. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
        implements StreamedBody.Source {
    private static final byte[] NO_BODY = {};

    /**
     * For so long, in nanoseconds, an answer that has begun to go out may pause: nothing else can
     * be tried any more, and its client holds the beginning.
     */
    static final long LONGEST_PAUSE = TimeUnit.SECONDS.toNanos(5);

    /** Nanoseconds in which an upstream takes some of what waits for it of a long request. */
    private static final long LONGEST_UNREAD = TimeUnit.SECONDS.toNanos(10);

    private final UpstreamConnectionPool pool;
    private final ReadActivityHandler input;
    private final StrictResponseDecoder decoder;
    private final Channel channel;
    private final long stall;
    private SidecarEventLoop.ScheduledTask stalled;
    private Endpoint endpoint;
    private UpstreamCall exchange;
    private HttpResponse head;
    private ByteBuf body;
    private Outcome result;
    private HttpUpstreamResponse reply;
    private long idleSince;

    /**
     * What it carries can't be read on from: nothing that has been read with it, or comes yet,
     * counts. Set ahead of each end of the connection but the upstream's orderly one, which alone
     * may end an answer that has neither a length nor chunks.
     */
    private boolean broken;

    /** The answer, where it is too long to be held; null else. */
    private StreamedBody flow;

    private long flowed;

    /** The request, where it is too long to be held; null else, and when its answer has come. */
    private StreamedBody upload;

    private SidecarEventLoop.ScheduledTask unread;
    private boolean paused;

    private UpstreamConnection(
            UpstreamConnectionPool pool,
            Channel channel,
            ReadActivityHandler input,
            StrictResponseDecoder decoder,
            long stall) {
        this.pool = pool;
        this.channel = channel;
        this.input = input;
        this.decoder = decoder;
        this.stall = stall;
    }

    /** With the nanoseconds for which an answer may pause once it has begun. */
    static void install(Channel channel, UpstreamConnectionPool pool, long stall) {
        // Danger: by itself a long answer's reads grow to 64 KiB each, held for as long as a client
        // is slow.
        channel.config().setRecvByteBufAllocator(StreamedBody.reads());
        ReadActivityHandler input = new ReadActivityHandler();
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        channel.pipeline()
                .addLast(
                        input,
                        decoder,
                        new Encoder(),
                        new UpstreamConnection(pool, channel, input, decoder, stall));
    }

    UpstreamConnection open(Endpoint to) {
        endpoint = to;
        return this;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    long idleSince() {
        return idleSince;
    }

    private boolean usable() {
        return channel.isActive() && !input.begun();
    }

    /**
     * Whether nothing has come since the last answer. Danger: nothing in an answer tells which
     * request it is for. A second copy that the system holds for us, unread, would be taken for the
     * next request's.
     */
    boolean quiet() {
        if (channel.isActive()) {
            pool.readNow(channel);
        }
        return usable();
    }

    void close() {
        breakOff();
    }

    /** Nothing is open on it: it is offered to the next request. */
    void keep() {
        idleSince = pool.loop().nanoTime();
        pool.release(this);
    }

    void carry(UpstreamCall next) {
        exchange = next;
        head = null;
        body = null;
        result = null;
        reply = null;
        flow = null;
        flowed = 0;
        if (next.mustEndInTime()) {
            channel.pipeline()
                    .addFirst(new FinalByteGate(() -> next.mayEnd(pool.loop().nanoTime())));
        }
        if (next.flow() == null) {
            follow(
                    next,
                    channel.writeAndFlush(next.begin(channel, endpoint, pool.loop().nanoTime())));
            return;
        }
        channel.config().setWriteBufferWaterMark(StreamedBody.MARKS);
        channel.write(next.start(channel, endpoint, pool.loop().nanoTime()));
        upload = next.flow();
        pool.loop().execute(next::tellLetGo);
        watchForUnread();
        upload.to(
                channel,
                () -> follow(next, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
    }

    private void follow(UpstreamCall next, ChannelFuture lastByte) {
        lastByte.addListener(
                done -> {
                    if (done.isSuccess()) {
                        next.lastByteWritten();
                        if (next.flow() != null) {
                            pool.loop().execute(next::tellCommitted);
                        }
                    } else {
                        // Kept back, it is known not to have run; else what the connection's end
                        // says holds.
                        result =
                                done.cause() instanceof FinalByteGate.LateException
                                        ? Outcome.NEVER_SENT
                                        : result;
                        breakOff();
                    }
                });
    }

    /** The upstream has read some of a long request, or more waits for it than should. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (upload != null) {
            watchForUnread();
            upload.settle();
        }
        ctx.fireChannelWritabilityChanged();
    }

    /**
     * Danger: an upstream that reads no more would hold its client's connection, unread, for good.
     */
    private void watchForUnread() {
        if (unread != null) {
            unread.cancel();
            unread = null;
        }
        if (upload != null && !channel.isWritable()) {
            unread = pool.loop().after(LONGEST_UNREAD, this::breakOff);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (broken) {
            return;
        }
        if (exchange == null || result != null || message.decoderResult().isFailure()) {
            // Danger: bytes that belong to no request would be taken for the next one's answer.
            breakOff();
            return;
        }
        if (message instanceof HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                return;
            }
            if (!canBeServed(response)) {
                breakOff();
                return;
            }
            head = response;
            body = Unpooled.buffer(256);
        }
        if (head == null && message instanceof LastHttpContent) {
            // The end of an interim answer: the real one may take its time.
            input.whole(decoder.hasBufferedBytes());
        }
        if (message instanceof HttpContent content && head != null) {
            if (!take(content.content())) {
                breakOff();
                return;
            }
            if (message instanceof LastHttpContent) {
                input.whole(decoder.hasBufferedBytes());
                result = outcome(head);
                reply =
                        new HttpUpstreamResponse(
                                head.headers(),
                                flow != null ? NO_BODY : ByteBufUtil.getBytes(body));
            }
        }
    }

    /**
     * A piece of the body is held, or passed on where all would be too much; false if neither can
     * be.
     */
    private boolean take(ByteBuf piece) {
        if (flow == null
                && body.readableBytes() + piece.readableBytes() <= MessageFraming.MAX_BODY) {
            body.writeBytes(piece);
            return true;
        }
        if (flow == null) {
            flow = new StreamedBody(head.headers(), HttpUtil.getContentLength(head, -1L), this);
            if (head.status().code() != 200 || !exchange.begins(flow)) {
                flow = null;
                return false;
            }
            flowed = body.readableBytes();
            flow.write(body.retainedSlice());
        }
        flowed += piece.readableBytes();
        if (flowed > MessageFraming.MOST_FLOWING) {
            return false;
        }
        flow.write(piece.retain());
        return true;
    }

    /** Nothing is read while the client has enough to read; it has its own time for that. */
    @Override
    public void pause() {
        paused = true;
        channel.config().setAutoRead(false);
        watchForStall();
    }

    @Override
    public void resume() {
        paused = false;
        channel.config().setAutoRead(true);
        watchForStall();
    }

    /**
     * Danger: closing is heard of only after all that was read at once has been handed on. A part
     * left out for its size, with a smaller one and the end right behind it, would go out as a
     * whole answer with a hole.
     */
    private void breakOff() {
        broken = true;
        channel.close();
    }

    /**
     * One length, chunks, or neither: then the upstream's orderly end of the connection is the
     * answer's (RFC 9112, 6.3), and whatever else ends the connection breaks it off.
     */
    private static boolean canBeServed(HttpResponse response) {
        long most =
                response.status().code() == 200
                        ? MessageFraming.MOST_FLOWING
                        : MessageFraming.MAX_BODY;
        return MessageFraming.isPlain(response) && HttpUtil.getContentLength(response, 0L) <= most;
    }

    /** Danger: an answer cut short on an open connection would be waited for until the deadline. */
    private void watchForStall() {
        if (stalled != null) {
            stalled.cancel();
            stalled = null;
        }
        if (exchange != null && input.begun() && !paused) {
            stalled = pool.loop().after(flow == null ? stall : LONGEST_PAUSE, this::breakOff);
        }
    }

    /**
     * The answer is told, and the connection offered again, only when all that came with it has
     * been read: noise behind an answer must not meet the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (result != null && exchange != null) {
            UpstreamCall done = exchange;
            Outcome outcome = result;
            HttpUpstreamResponse told = reply;
            boolean reusable = HttpUtil.isKeepAlive(head) && usable() && done.isFullyWritten();
            exchange = null;
            head = null;
            body = null;
            endUpload();
            if (flow != null) {
                flow.whole();
                flow = null;
            }
            if (reusable) {
                keep();
            } else {
                channel.close();
            }
            done.end(outcome, told);
        }
        if (flow != null) {
            flow.flush();
        }
        watchForStall();
        ctx.fireChannelReadComplete();
    }

    /** Nothing more of it goes to this upstream, whether or not all of it has. */
    private void endUpload() {
        if (upload != null) {
            StreamedBody ended = upload;
            upload = null;
            watchForUnread();
            ended.end();
        }
    }

    /** What an answer proves: only the upstream's own word that it did not run counts as that. */
    private static Outcome outcome(HttpResponse head) {
        int status = head.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean notRun =
                (status == 503 || status == 504) && "1".equals(head.headers().get(Headers.NOT_RUN));
        return notRun ? Outcome.REJECTED : Outcome.ERROR;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        UpstreamCall broken = exchange;
        exchange = null;
        endUpload();
        if (flow != null) {
            flow.end();
            flow = null;
        }
        if (broken != null) {
            Outcome outcome = broken.isFullyWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
            broken.end(result != null ? result : outcome, reply);
        }
        pool.closed(this);
        ctx.fireChannelInactive();
    }

    /** The connection is of no further use; what it carried ends in {@link #channelInactive}. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            pool.log().failure("a connection to " + endpoint + " failed", cause);
        }
        breakOff();
    }

    /** Writes requests as they came. */
    private static final class Encoder extends HttpRequestEncoder {
        /**
         * Danger: a head is read with one letter a byte, and would be written with two for letters
         * beyond ASCII: the server would get a path that no client sent.
         */
        @Override
        protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
            out.writeCharSequence(
                    request.method()
                            + " "
                            + request.uri()
                            + " "
                            + request.protocolVersion()
                            + "\r\n",
                    StandardCharsets.ISO_8859_1);
        }
    }
}
