package appleridge.http1;

import appleridge.http1.RequestParser.BadRequest;
import appleridge.request.ClientRequest;
import appleridge.request.ResponseSink;
import appleridge.request.StreamedResponse;
import appleridge.request.UpstreamResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One of the application's connections. Requests that come before earlier ones are answered are
 * taken at once, for their time runs; the answers go out in the order of the requests.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements StreamedBody.Source {
    private static final byte[] NO_BODY = {};
    private static final String READY_PATH = "/health/ready";

    /**
     * Requests waiting for answers on one connection. Clients send one at a time; beyond this many
     * the connection is of no use. Danger: where reading stopped instead, a hang-up would not be
     * seen. Nor may more than that come in one turn of the loop, though all were answered at once:
     * all others would wait.
     */
    private static final int MAX_PIPELINED = 16;

    /** Time for a client to read the last answer before unread input of its own would reset it. */
    private static final long LINGER_MILLIS = 500;

    /**
     * The least of it, for one that is told that there is no room, where others wait to be told.
     */
    private static final long TOLD_MILLIS = 20;

    /** Bytes a millisecond at which a request's body has to come at least. */
    private static final int SLOWEST_BODY = 60;

    /** Bytes of a long answer that the system holds for its client. */
    private static final int FLOW_BUFFER = 256 << 10;

    /**
     * Nanoseconds in which a client takes some of what waits for it of a long answer; then it is
     * cut off.
     */
    private static final long LONGEST_UNREAD = TimeUnit.SECONDS.toNanos(10);

    private final ClientListener server;
    private final Channel channel;
    private final ReadActivityHandler input;
    private final Decoder decoder;
    private final WriteBacklog output;
    private final ArrayDeque<Exchange> exchanges = new ArrayDeque<>();
    private HttpRequest head;
    private ByteBuf body;

    /** The request whose body is being passed on; null for none. */
    private Exchange uploading;

    private long uploaded;

    /** When reading stopped because its upstream has enough; 0 while it goes on. */
    private long pausedAt;

    /** Nothing that comes from now on is read. */
    private boolean deaf;

    private boolean lingering;
    private boolean turnedAway;
    private boolean asked;

    /** Its client was seen to be there when what had come with its first request had been read. */
    private boolean seen;

    /** Since when nothing has been open; or when the request that is being read began. */
    private long since;

    private boolean reading;

    /** When something was read last. */
    private long heardAt;

    /** When a client was last seen to read of a long answer. */
    private long progress;

    /** Requests that have begun since the loop last looked elsewhere. */
    private int inOneTurn;

    private ClientConnection(
            ClientListener server, Channel channel, ReadActivityHandler input, Decoder decoder) {
        this.server = server;
        this.channel = channel;
        this.input = input;
        this.decoder = decoder;
        this.output = new WriteBacklog(channel, server.loop());
        this.since = server.loop().nanoTime();
    }

    static void install(Channel channel, ClientListener server) {
        ReadActivityHandler input = new ReadActivityHandler();
        Decoder decoder = new Decoder();
        channel.pipeline()
                .addLast(
                        input,
                        decoder,
                        new HttpResponseEncoder(),
                        new ClientConnection(server, channel, input, decoder));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.opened(this);
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // Danger: what was read together with something that closed it is handed on all the same.
        if (deaf || !channel.isActive()) {
            return;
        }
        if (message.decoderResult().isFailure() && uploading != null) {
            cutShort(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
            return;
        }
        if (message.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
            return;
        }
        if (message instanceof HttpRequest request) {
            if (!MessageFraming.isPlain(request)) {
                reject(
                        HttpResponseStatus.BAD_REQUEST,
                        "the body's length can be read in more than one way");
                return;
            }
            if (exchanges.size() >= MAX_PIPELINED || ++inOneTurn > MAX_PIPELINED) {
                reject(HttpResponseStatus.BAD_REQUEST, "too many requests at once");
                return;
            }
            head = request;
            body = Unpooled.buffer(256);
            if (HttpUtil.getContentLength(request, 0L) > MessageFraming.MOST_FLOWING) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
                return;
            }
            if (HttpUtil.is100ContinueExpected(request) && exchanges.isEmpty()) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }
        if (message instanceof HttpContent content && uploading != null) {
            upload(content);
        } else if (message instanceof HttpContent content && head != null) {
            if (body.readableBytes() + content.content().readableBytes()
                    > MessageFraming.MAX_BODY) {
                goOnBeyondWhatIsHeld(content);
                return;
            }
            body.writeBytes(content.content());
            if (message instanceof LastHttpContent) {
                HttpRequest whole = head;
                head = null;
                take(whole, ByteBufUtil.getBytes(body));
            }
        }
    }

    /**
     * Danger: chunks say nothing of what is to come, and who sends them without end would have an
     * upstream read 32 MiB that are no request. So only what has said its length goes on.
     */
    private void goOnBeyondWhatIsHeld(HttpContent content) {
        if (!HttpUtil.isContentLengthSet(head)) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large without a length");
            return;
        }
        beginUpload();
        if (uploading != null) {
            upload(content);
        }
    }

    /**
     * A body is too long to be held: its request is taken with what has come, so that who sends
     * slowly holds no upstream's slot before that, and the rest is passed on as it comes.
     */
    private void beginUpload() {
        HttpRequest request = head;
        head = null;
        asked = true;
        reading = false;
        since = server.loop().nanoTime();
        Exchange exchange =
                new Exchange(
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        exchanges.add(exchange);
        exchange.upload =
                new StreamedBody(request.headers(), HttpUtil.getContentLength(request, -1L), this);
        uploading = exchange;
        uploaded = body.readableBytes();
        try {
            ClientRequest read = server.reader().read(request, NO_BODY, since);
            exchange.upload.write(body);
            exchange.hangUp =
                    server.exchanges()
                            .accept(
                                    read.with(
                                            ((HttpUpstreamRequest) read.message())
                                                    .with(exchange.upload)),
                                    exchange);
        } catch (BadRequest e) {
            server.exchanges().metrics().onMalformedRequest();
            exchange.say(e.status(), e.getMessage(), e.allowed());
        }
    }

    private void upload(HttpContent content) {
        Exchange exchange = uploading;
        uploaded += content.content().readableBytes();
        if (uploaded > MessageFraming.MOST_FLOWING) {
            cutShort(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            return;
        }
        exchange.upload.write(content.content().retain());
        if (content instanceof LastHttpContent) {
            uploading = null;
            since = server.loop().nanoTime();
            input.whole(decoder.holdsBytes());
            deafenBehind(exchange);
            exchange.upload.whole();
        }
    }

    /**
     * The request that is being passed on has no end: nothing of it counts, and nothing more is
     * read.
     */
    private void cutShort(HttpResponseStatus status, String why) {
        Exchange exchange = uploading;
        uploading = null;
        deafen();
        exchange.upload.end();
        server.exchanges().metrics().onMalformedRequest();
        exchange.hangUp.run();
        exchange.hangUp = () -> {};
        if (exchange.begun) {
            // Danger: its answer is on the way and will have no end; no other one can take its
            // place.
            channel.close();
        } else {
            exchange.say(status, why);
        }
    }

    /** The upstream has enough to read: the client's end is seen again when that has gone. */
    @Override
    public void pause() {
        pausedAt = server.loop().nanoTime();
        channel.config().setAutoRead(false);
    }

    @Override
    public void resume() {
        heardAt = server.loop().nanoTime();
        since += heardAt - pausedAt;
        pausedAt = 0;
        channel.config().setAutoRead(true);
    }

    /** From a request's first byte its time runs, however slowly the others come. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        inOneTurn = 0;
        heardAt = server.loop().nanoTime();
        if (uploading != null) {
            uploading.upload.flush();
        } else if (input.begun() && !reading) {
            reading = true;
            since = server.loop().nanoTime();
        }
        ctx.fireChannelReadComplete();
    }

    private void take(HttpRequest request, byte[] content) {
        asked = true;
        reading = false;
        since = server.loop().nanoTime();
        input.whole(decoder.holdsBytes());
        Exchange exchange =
                new Exchange(
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        exchanges.add(exchange);
        deafenBehind(exchange);
        if (request.uri().equals(READY_PATH)) {
            if (request.method().equals(HttpMethod.GET)) {
                boolean ready = server.ready();
                exchange.say(
                        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        ready ? "ready" : "not ready");
            } else {
                exchange.say(
                        HttpResponseStatus.METHOD_NOT_ALLOWED,
                        "method not allowed",
                        HttpMethod.GET);
            }
            return;
        }
        try {
            ClientRequest read =
                    server.reader()
                            .read(request, content, server.exchanges().earliestArrivalNanos());
            if (!seen || server.exchanges().mayHaveWaitedUnread()) {
                server.loop().execute(() -> acceptIfThere(read, exchange));
            } else {
                exchange.hangUp = server.exchanges().accept(read, exchange);
            }
        } catch (BadRequest e) {
            server.exchanges().metrics().onMalformedRequest();
            exchange.say(e.status(), e.getMessage(), e.allowed());
        }
    }

    /**
     * Danger: a new connection may have waited to be accepted, or all to be read, until a client
     * gave up; then what it asked, the first request and all behind it, is read ahead of its
     * connection's end, and what nobody waits for any more would be sent.
     */
    private void acceptIfThere(ClientRequest request, Exchange exchange) {
        server.readNow(channel);
        seen = true;
        if (channel.isActive()) {
            exchange.hangUp = server.exchanges().accept(request, exchange);
        }
    }

    /** Tells the client that there is no room for it; nothing it may have asked is read. */
    void turnAway() {
        turnAway("no room for another connection");
    }

    private void turnAway(String why) {
        turnedAway = true;
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, why);
    }

    /** Answers what can't be read on from, after the answers still owed, and closes. */
    private void reject(HttpResponseStatus status, String why) {
        if (!turnedAway) {
            server.exchanges().metrics().onMalformedRequest();
        }
        server.logClosed("rejected status=" + status.code());
        deafen();
        head = null;
        Exchange exchange = new Exchange(false, false);
        exchanges.add(exchange);
        exchange.say(status, why);
    }

    private void flush() {
        while (!exchanges.isEmpty() && exchanges.peek().canGoOn()) {
            if (exchanges.peek().flow != null) {
                if (!passOn(exchanges.peek())) {
                    return;
                }
                continue;
            }
            // Danger: what a client asks for and doesn't read would pile up here.
            if (output.bytes() > WriteBacklog.MOST_BEHIND) {
                cutOff();
                return;
            }
            Exchange exchange = exchanges.poll();
            boolean cut = exchange.upload != null && !exchange.upload.isWhole();
            boolean last =
                    cut
                            || !exchange.keepAlive
                            || server.lastCall() && exchanges.isEmpty() && !input.begun();
            exchange.response
                    .headers()
                    .set(
                            HttpHeaderNames.CONNECTION,
                            last ? HttpHeaderValues.CLOSE : HttpHeaderValues.KEEP_ALIVE);
            var written = channel.writeAndFlush(exchange.response);
            output.follow(written);
            since = reading ? since : server.loop().nanoTime();
            if (cut) {
                uploading = null;
                exchange.upload.end();
            }
            if (last) {
                deafen();
                written.addListener(done -> linger());
                if (output.waits()) {
                    server.unread();
                }
                return;
            }
            written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
        if (output.waits()) {
            server.unread();
        }
        server.answered(this);
    }

    /**
     * Begins a long answer, or ends it; the answers behind it wait. Danger: a client of HTTP/1.0
     * knows no chunks, and takes the connection's end for the answer's: there only a reset tells
     * that it is not whole.
     *
     * @return whether the next answer may follow
     */
    private boolean passOn(Exchange exchange) {
        if (!exchange.begun) {
            exchange.begun = true;
            StreamedBody flow = exchange.flow;
            exchange.last =
                    !exchange.keepAlive
                            || !exchange.chunks && flow.length() < 0
                            || exchange.upload != null && !exchange.upload.isWhole()
                            || server.lastCall() && exchanges.size() == 1 && !input.begun();
            HttpResponse start =
                    new DefaultHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Headers.endToEnd(flow.headers()).remove(Headers.LOAD));
            start.headers()
                    .set(
                            HttpHeaderNames.CONNECTION,
                            exchange.last ? HttpHeaderValues.CLOSE : HttpHeaderValues.KEEP_ALIVE);
            if (flow.length() >= 0) {
                start.headers().set(HttpHeaderNames.CONTENT_LENGTH, flow.length());
            } else if (exchange.chunks) {
                start.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            // Danger: the system's own buffer grows without being asked, and shows no progress for
            // seconds.
            channel.config().setOption(ChannelOption.SO_SNDBUF, FLOW_BUFFER);
            channel.config().setWriteBufferWaterMark(StreamedBody.MARKS);
            channel.write(start);
            flow.to(channel);
        }
        if (!exchange.flowed) {
            return false;
        }
        exchanges.poll();
        var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        output.follow(written);
        since = reading ? since : server.loop().nanoTime();
        if (exchange.last) {
            deafen();
            written.addListener(done -> linger());
            return false;
        }
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        if (exchanges.isEmpty()) {
            server.answered(this);
        }
        return true;
    }

    private StreamedBody flowing() {
        Exchange first = exchanges.peek();
        return first != null && first.begun && !first.flowed ? first.flow : null;
    }

    /** The client has read some, or more waits for it than should. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        since = reading ? since : server.loop().nanoTime();
        StreamedBody flow = flowing();
        if (flow != null) {
            progress = server.loop().nanoTime();
            flow.settle();
        }
        ctx.fireChannelWritabilityChanged();
    }

    /**
     * Danger: what a client sends behind its last request has no answer, and would have an effect.
     */
    private void deafenBehind(Exchange request) {
        if (!request.keepAlive) {
            deafen();
        }
    }

    private void deafen() {
        deaf = true;
        input.discard();
    }

    /**
     * Danger: closed with input unread, the connection is reset, and the answer may be lost on the
     * way.
     */
    private void linger() {
        if (channel.isActive()) {
            lingering = true;
            ((DuplexChannel) channel).shutdownOutput();
            server.loop().after(TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS), channel::close);
        }
    }

    /** Ends it where the client doesn't read. */
    void cutOff() {
        server.logClosed("not_read");
        deafen();
        output.cutOff();
    }

    WriteBacklog output() {
        return output;
    }

    /** The listening channel that accepted this one. */
    Channel listener() {
        return channel.parent();
    }

    void close() {
        channel.close();
    }

    /**
     * Ends it unless a request is open or has begun to arrive; in a way that resets nothing: a
     * request that crosses this is read, and its client sees the end and asks again elsewhere.
     */
    void endIfIdle() {
        if (idle() && channel.isActive()) {
            server.readNow(channel);
            if (idle() && channel.isActive()) {
                deafen();
                linger();
            }
        }
    }

    /** Closes it unless a request is open or has begun to arrive. */
    void closeIfIdle() {
        if (idle()) {
            spared();
        }
    }

    /**
     * Closes it, and tells whether it did. Danger: a request may have come and wait unread, after
     * the loop stood still or while others were served; so what the system holds for it is read
     * first.
     */
    boolean spared() {
        if (idle() && channel.isActive() && !input.delivering()) {
            server.readNow(channel);
            if (!idle()) {
                return false;
            }
        }
        channel.close();
        return true;
    }

    /** Whether it has had an answer and waits for the next request. */
    boolean kept() {
        return asked && idle();
    }

    private boolean idle() {
        return exchanges.isEmpty() && !input.begun() && !deaf && !output.waits();
    }

    /**
     * Ends it unless a whole request has come that has no answer yet. Danger: what has come and
     * waits unread has been taken, and closing would lose it; so it is read first. What has come in
     * part may become whole just now, and is refused. And an answer that has been written may wait
     * here for the system to take it; closed now, it would be cut short.
     */
    void closeIfNothingIsOpen() {
        if (exchanges.isEmpty() && channel.isActive()) {
            server.readNow(channel);
        }
        if (!exchanges.isEmpty()) {
            return;
        }
        if (channel.isActive() && !deaf && input.begun()) {
            server.logClosed("service_ends_in_request");
            turnAway("the service ends");
        } else if (channel.isActive() && output.waits()) {
            endWhenTaken();
        } else {
            channel.close();
        }
    }

    /** No answer follows those written: it ends when the system has taken them. */
    private void endWhenTaken() {
        if (!deaf) {
            deafen();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(taken -> linger());
        }
    }

    /**
     * Ends what takes too long. Danger: connections left idle, with a request that never ends or an
     * answer that is never read, would use the descriptors up; what keeps sending a byte now and
     * then is no better.
     */
    void expire(long now, ClientTimeouts times) {
        long stood = TimeUnit.NANOSECONDS.toMillis(now - since);
        if (output.waits(now, WriteBacklog.LONGEST_WAIT)
                || flowing() != null && !channel.isWritable() && now - progress >= LONGEST_UNREAD) {
            cutOff();
        } else if (reading
                && !deaf
                && endless(now, times, head == null ? 0 : body.readableBytes())) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
        } else if (uploading != null && pausedAt == 0 && !deaf && endless(now, times, uploaded)) {
            cutShort(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
        } else if (stood >= (asked ? times.idleMillis() : times.firstRequestMillis())) {
            closeIfIdle();
        }
    }

    /**
     * A body may come as slowly as a bad line brings it, in its own time beside the head's; but
     * come.
     */
    private boolean endless(long now, ClientTimeouts times, long ofBody) {
        return TimeUnit.NANOSECONDS.toMillis(now - heardAt) >= times.requestMillis()
                || TimeUnit.NANOSECONDS.toMillis(now - since)
                        >= times.requestMillis() + ofBody / SLOWEST_BODY;
    }

    /**
     * How readily it is closed to make room for another; 0 for not at all: a request is open or has
     * begun to arrive, or is still to be expected as the first one, which the client would not send
     * again; or its answer is on the way. What has stood for longer goes first among equals.
     */
    int spare(long now) {
        long stood = TimeUnit.NANOSECONDS.toMillis(now - since);
        boolean unread = output.waits(now, TimeUnit.MILLISECONDS.toNanos(ClientTimeouts.HESITATES));
        boolean told = !turnedAway || stood >= TOLD_MILLIS;
        if (lingering && told || unread && exchanges.isEmpty()) {
            return 3;
        }
        if (!idle()) {
            return 0;
        }
        if (asked) {
            return 1;
        }
        return stood >= ClientTimeouts.HESITATES ? 2 : 0;
    }

    long since() {
        return since;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        deaf = true;
        while (!exchanges.isEmpty()) {
            Exchange open = exchanges.poll();
            open.hangUp.run();
            if (open.flow != null) {
                open.flow.end();
            }
            if (open.upload != null) {
                open.upload.end();
            }
        }
        server.closed(this);
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            server.log().failure("a client's connection failed", cause);
        }
        channel.close();
    }

    /** One request and its answer to come. */
    private final class Exchange implements ResponseSink {
        private final boolean keepAlive;

        /** Whether the client knows chunks. */
        private final boolean chunks;

        private FullHttpResponse response;

        /** The answer, where it is passed on in pieces; null else. */
        private StreamedBody flow;

        /** The request's body, where it is passed on in pieces; null else. */
        private StreamedBody upload;

        private boolean begun;
        private boolean flowed;
        private boolean last;
        private Runnable hangUp = () -> {};

        Exchange(boolean keepAlive, boolean chunks) {
            this.keepAlive = keepAlive;
            this.chunks = chunks;
        }

        /** Whether something of it can be written that has not been. */
        boolean canGoOn() {
            return response != null || flow != null && (!begun || flowed);
        }

        @Override
        public void readPendingInput() {
            if (channel.isActive() && channel.config().isAutoRead() && !input.delivering()) {
                server.readNow(channel);
            }
            if (!channel.isActive()) {
                // Danger: that a connection has ended is told to its handlers only in a later task.
                hangUp.run();
            }
        }

        @Override
        public void onResponseStreaming(StreamedResponse answer) {
            flow = (StreamedBody) answer;
            progress = server.loop().nanoTime();
            flush();
        }

        @Override
        public void onResponseComplete() {
            flowed = true;
            flush();
        }

        @Override
        public void onServed(UpstreamResponse reply) {
            HttpUpstreamResponse answer = (HttpUpstreamResponse) reply;
            answer(
                    HttpResponseStatus.OK,
                    Headers.endToEnd(answer.headers()).remove(Headers.LOAD),
                    answer.body());
        }

        @Override
        public void onRejected(long wait) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (wait > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, Headers.seconds(wait));
            }
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, NO_BODY);
        }

        @Override
        public void onFailed(FailureCause cause) {
            HttpResponseStatus status =
                    switch (cause) {
                        case DEADLINE_EXCEEDED -> HttpResponseStatus.GATEWAY_TIMEOUT;
                        case UPSTREAM -> HttpResponseStatus.BAD_GATEWAY;
                        case ID_IN_USE -> HttpResponseStatus.CONFLICT;
                    };
            answer(status, EmptyHttpHeaders.INSTANCE, NO_BODY);
        }

        @Override
        public void abort() {
            if (flow != null && !begun) {
                // Nothing of it has gone out: the answers ahead of it are owed, and so is this one.
                flow.end();
                flow = null;
                onFailed(FailureCause.UPSTREAM);
            } else if (flow != null && !chunks && flow.length() < 0) {
                cutOff();
            } else {
                channel.close();
            }
        }

        private void answer(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
            response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            status,
                            Unpooled.wrappedBuffer(content),
                            new DefaultHttpHeaders().set(headers),
                            EmptyHttpHeaders.INSTANCE);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
            flush();
        }

        /** A short text; with the methods allowed where the method was what was wrong. */
        void say(HttpResponseStatus status, String text, HttpMethod... allowed) {
            HttpHeaders headers =
                    new DefaultHttpHeaders()
                            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
            if (allowed.length > 0) {
                headers.set(HttpHeaderNames.ALLOW, List.of(allowed));
            }
            answer(status, headers, (text + "\n").getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Reads strictly: what could be read in two ways might hide a second request. */
    private static final class Decoder extends HttpRequestDecoder {
        private final HeadLineValidator lines = new HeadLineValidator(true);

        Decoder() {
            super(MessageFraming.strict());
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
                throws Exception {
            if (!lines.inOrder(in)) {
                out.add(MessageFraming.malformed(createInvalidMessage()));
                in.skipBytes(in.readableBytes());
                return;
            }
            int first = out.size();
            super.decode(ctx, in, out);
            lines.decoded(out, first);
        }

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a length and chunks");
        }
    }
}
